package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is one write: magic, length, CRC32C of the payload, payload. All
// that is written between two syncs is one frame, so that only the last one
// can be torn.
const (
	frameHeader = 12
	maxFrame    = 256 << 20
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
// of the whole frame. It reports false if there is no whole frame.
func readFrame(b []byte) (payload []byte, length int, ok bool) {
	if len(b) < frameHeader || !bytes.Equal(b[:4], frameMagic) {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:8]))
	if n > maxFrame || n > len(b)-frameHeader {
		return nil, 0, false
	}
	payload = b[frameHeader : frameHeader+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:12]) {
		return nil, 0, false
	}
	return payload, frameHeader + n, true
}

// frameFollows reports whether a whole frame stands anywhere in b after its
// first byte.
func frameFollows(b []byte) bool {
	for at := 1; at < len(b); {
		next := bytes.Index(b[at:], frameMagic)
		if next < 0 {
			return false
		}
		if _, _, ok := readFrame(b[at+next:]); ok {
			return true
		}
		at += next + 1
	}
	return false
}
