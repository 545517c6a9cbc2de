package simwire

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/internal/golden"
)

// Batches with every event, every field of each and every key of the settings are decoded as recorded, so that a rename
// in the code does not change the protocol.
func TestDecodingEveryEventMatchesGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-event.txt"))
	require.NoError(t, err)
	d := NewDecoder(strings.NewReader(string(text)))
	var out strings.Builder
	for range 2 {
		b, err := d.Next()
		require.NoError(t, err)
		out.WriteString(golden.Values(b))
	}
	golden.CheckText(t, "every-event", out.String())
}

// The outcomes of an attempt have the recorded numbers in the protocol.
func TestOutcomeNumbersMatchGolden(t *testing.T) {
	golden.CheckText(t, "outcomes", golden.Values([]control.Outcome{control.OK, control.Errored, control.Overloaded, control.TimedOut,
		control.ConnectFailed, control.ResetByPeer, control.Cancelled, control.NeverSent}))
}
