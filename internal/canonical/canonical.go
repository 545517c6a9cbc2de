// Package canonical has the CBOR form of everything that is stored, or sent between nodes: canonical encoding, and
// decoding with bounds on what a message can make the reader build. The specification is RFC 8949, section 4.2.
package canonical

import "github.com/fxamacker/cbor/v2"

// Encoder encodes values in canonical form, so that equal values have equal bytes.
var Encoder = must(cbor.CanonicalEncOptions().EncMode())

// Limits bound what a decoder accepts.
type Limits struct {
	MaxArrayElements int // of an array, at most
	MaxMapPairs      int // of a map, at most
	MaxNestedLevels  int // of arrays and maps, at most
	// RejectUnknownFields makes fields an error that the target does not have. Without it they are ignored, as messages
	// come from nodes with later programs too.
	RejectUnknownFields bool
}

// Decoder returns a decoder with the limits. It rejects repeated map keys and values of indefinite length. It panics
// where the limits are out of the library's range.
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

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // options of the program's own
	}
	return v
}
