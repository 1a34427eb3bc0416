// Package wire encodes as CBOR the messages between nodes and the records on
// disk. The CBOR library reads the types' json tags. Decoded values check
// themselves.
package wire

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of a decoded value. maxStateElements is the highest that the library takes.
const (
	maxNesting       = 16
	maxElements      = 1 << 17
	maxStateElements = math.MaxInt32
)

// Checker is a type that can verify a value after it was decoded.
type Checker interface {
	Check() error
}

var (
	encMode   = mustEncMode()
	decMode   = mustDecMode(maxElements)
	stateMode = mustDecMode(maxStateElements)
)

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	// The library's default drops fractions of a second.
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(maxElements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, errors.Wrap(err, "encode")
}

// MustEncode is Encode for types that always encode.
func MustEncode(v any) []byte {
	data, err := Encode(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode reads data into v and runs its check.
func Decode(data []byte, v Checker) error { return decode(decMode, data, v) }

// DecodeState is Decode for what this node or the leader has encoded of its own state,
// which may have grown beyond the limits of messages.
func DecodeState(data []byte, v Checker) error { return decode(stateMode, data, v) }

func decode(mode cbor.DecMode, data []byte, v Checker) error {
	if err := mode.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return errors.Wrap(v.Check(), "check")
}
