package maintenance

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

func decodeAs[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, decoder.Unmarshal(raw, v)
}

// Commands with each field set, the response and the snapshot must be encoded to the recorded bytes,
// which nodes of other versions and stored snapshots rely on.
func TestEncodingsAreAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "command", func(c *Command) ([]byte, error) { return encoder.Marshal(c) }, decodeAs[Command])
	golden.RoundTrip(t, "answer", (*Response).Encode, decodeAs[Response])
	golden.RoundTrip(t, "snapshot", func(s *snapshot) ([]byte, error) { return encoder.Marshal(s) }, decodeAs[snapshot])
}

// The names of all enumeration values that operators read must be as recorded.
func TestNamesAreAsRecorded(t *testing.T) {
	text := ""
	for i := range uint8(9) {
		text += Kind(i).String() + "|" + Phase(i).String() + "|" + ZoneState(i).String() + "|" + RequestType(i).String() + "|" +
			Stage(i).String() + "|" + Bound(i).String() + "|" + Action(i).String() + "\n"
	}
	require.NotEmpty(t, text)
	golden.CheckText(t, "names", text)
}

// The last stage must have the recorded name, and no stage may follow it.
func TestLastStageIsAsRecorded(t *testing.T) {
	golden.CheckText(t, "last-stage", StageDone.String()+"\n"+(StageDone+1).String()+"\n")
}

// A plan with every key must be parsed to the recorded values.
func TestPlanIsReadAsRecorded(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	plan, err := Parse(text)
	require.NoError(t, err)
	golden.CheckText(t, "every-key", golden.Values(plan))
}

// A plan must be written with the recorded keys, without optional ones that are empty.
func TestPlanIsWrittenAsRecorded(t *testing.T) {
	plan, err := Parse([]byte(validPlan))
	require.NoError(t, err)
	text, err := toml.Marshal(plan)
	require.NoError(t, err)
	golden.CheckText(t, "plan", string(text))
	plan.AntiAffinityGroups, plan.Jobs[0].Deadline = nil, 0
	text, err = toml.Marshal(plan)
	require.NoError(t, err)
	golden.CheckText(t, "plan-least", string(text))
}
