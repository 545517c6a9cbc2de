package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The state file has the recorded bytes, with its head and sum.
func TestStateIsAsRecorded(t *testing.T) {
	s := &State{}
	golden.Fill(s)
	golden.RoundTripOf(t, "state", s, encode, func(raw []byte) (*State, error) { return decode("state", raw, s.Node) })
	require.Equal(t, "state lock state.bad-", stateName+" "+lockName+" "+quarantineName)
}
