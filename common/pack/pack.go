// Package pack compresses message bodies that nodes exchange.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// Deflate compresses data.
func Deflate(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// Inflate decompresses what Deflate returned. A result of more than limit bytes
// is an error.
func Inflate(data []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > limit {
		return nil, errors.Errorf("decompressed to more than %d bytes", limit)
	}
	return out, nil
}
