package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The state file, including header and checksum, has the bytes in the golden file, so that another version of the
// program can read it.
func TestStateFileMatchesGoldenFile(t *testing.T) {
	s := &State{}
	golden.Fill(s)
	golden.RoundTripOf(t, "state", s, encode, func(raw []byte) (*State, error) { return decode("state", raw, s.Node) })
	require.Equal(t, "state lock state.bad-", stateName+" "+lockName+" "+quarantinePrefix)
}
