package maintenance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

func decodeAs[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, decoder.Unmarshal(raw, v)
}

// Commands of each kind, the answer and the snapshot have the recorded bytes.
func TestFormsAreAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "command", func(c *Command) ([]byte, error) { return encoder.Marshal(c) }, decodeAs[Command])
	golden.RoundTrip(t, "answer", (*Answer).Encode, decodeAs[Answer])
	golden.RoundTrip(t, "snapshot", func(s *snapshot) ([]byte, error) { return encoder.Marshal(s) }, decodeAs[snapshot])
}

// What each state, phase and verb is called where staff read it is as recorded.
func TestNamesAreAsRecorded(t *testing.T) {
	text := ""
	for i := range uint8(9) {
		text += Kind(i).String() + "|" + Phase(i).String() + "|" + ZoneState(i).String() + "|" + Verb(i).String() + "|" +
			Stage(i).String() + "|" + Bound(i).String() + "|" + Act(i).String() + "\n"
	}
	require.NotEmpty(t, text)
	golden.CheckText(t, "names", text)
}
