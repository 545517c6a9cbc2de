// Package canonical defines how data that is stored or sent between nodes is encoded as CBOR. Encoder encodes in
// canonical form (RFC 8949, section 4.2), and Limits.Decoder returns decoders that limit the size of the decoded
// values, so that a message cannot exhaust the receiver's memory.
package canonical

import "github.com/fxamacker/cbor/v2"

// Encoder encodes values in canonical form, so that equal values have equal bytes.
var Encoder = must(cbor.CanonicalEncOptions().EncMode())

// Limits are the limits of a decoder. For the numbers, 0 means the default of the CBOR library.
type Limits struct {
	MaxArrayElements int // elements of an array
	MaxMapPairs      int // key-value pairs of a map
	MaxNestedLevels  int // nesting depth of arrays and maps
	// RejectUnknownFields makes the decoder reject a field that the target type does not have. If it is false, such
	// fields are ignored, because nodes with a later version of the program may send them.
	RejectUnknownFields bool
}

// Decoder returns a decoder with the limits. It rejects duplicate map keys and values of indefinite length. It panics
// if the CBOR library does not accept the limits.
func (l Limits) Decoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: l.MaxArrayElements,
		MaxMapPairs:      l.MaxMapPairs,
		MaxNestedLevels:  l.MaxNestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}
	if l.RejectUnknownFields {
		options.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	}
	return must(options.DecMode())
}

// must returns v. It panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are fixed in the program, so this is a programming error
	}
	return v
}
