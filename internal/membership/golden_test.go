package membership

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sloestile/internal/golden"
)

// The encoding of a member's metadata must not change: members of other versions of the program read it.
func TestMetadataMatchesGoldenFile(t *testing.T) {
	golden.RoundTrip(t, "meta", func(m *meta) ([]byte, error) { return cbor.Marshal(*m) }, func(raw []byte) (*meta, error) {
		m := &meta{}
		return m, cbor.Unmarshal(raw, m)
	})
}
