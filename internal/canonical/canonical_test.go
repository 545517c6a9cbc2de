package canonical

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type entry struct {
	A int `cbor:"1,keyasint"`
}

// A decoder rejects values that exceed its limits or are ambiguous, and unknown fields only with RejectUnknownFields.
func TestDecoderEnforcesLimits(t *testing.T) {
	lenient := Limits{MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4}.Decoder()
	strict := Limits{MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4, RejectUnknownFields: true}.Decoder()
	unknown := []byte{0xa2, 1, 7, 2, 8}
	var e entry
	require.NoError(t, lenient.Unmarshal(unknown, &e))
	require.Equal(t, 7, e.A)
	require.Error(t, strict.Unmarshal(unknown, &e))
	for name, raw := range map[string][]byte{
		"a repeated key":      {0xa2, 1, 7, 1, 8},
		"an indefinite map":   {0xbf, 1, 7, 0xff},
		"a long array":        append([]byte{0x91}, make([]byte, 17)...),
		"too many levels":     {0x81, 0x81, 0x81, 0x81, 0x81, 0},
		"more than one value": {0xa1, 1, 7, 0},
	} {
		var into any
		require.Error(t, lenient.Unmarshal(raw, &into), name)
	}
}

// Equal values have equal bytes, with sorted keys.
func TestEncodingIsCanonical(t *testing.T) {
	raw, err := Encoder.Marshal(map[int]int{2: 1, 1: 2, 300: 3})
	require.NoError(t, err)
	require.Equal(t, []byte{0xa3, 1, 2, 2, 1, 0x19, 1, 44, 3}, raw)
}
