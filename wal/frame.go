package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of writing: magic, length, CRC-32C of the payload,
// payload. Everything that is written between two syncs goes into one frame,
// so that only the last frame can be torn.
const (
	frameHeaderBytes = 12
	maxFrameBytes    = 256 << 20
)

var (
	frameMagic = []byte{0xf5, 'h', 'l', 'j'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func appendFrame(b, payload []byte) []byte {
	b = append(b, frameMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// readFrame returns the payload of the frame at the start of b and the length
// of the whole frame. It reports false if the frame is incomplete or damaged.
func readFrame(b []byte) (payload []byte, length int, ok bool) {
	if len(b) < frameHeaderBytes || !bytes.Equal(b[:4], frameMagic) {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:8]))
	if n > maxFrameBytes || n > len(b)-frameHeaderBytes {
		return nil, 0, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:12]) {
		return nil, 0, false
	}
	return payload, frameHeaderBytes + n, true
}

// hasLaterFrame reports whether b holds an intact frame at any offset after
// its first byte.
func hasLaterFrame(b []byte) bool {
	for offset := 1; offset < len(b); {
		next := bytes.Index(b[offset:], frameMagic)
		if next < 0 {
			return false
		}
		if _, _, ok := readFrame(b[offset+next:]); ok {
			return true
		}
		offset += next + 1
	}
	return false
}
