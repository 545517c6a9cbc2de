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

// Commands with each field set, the response and the snapshot are encoded to the recorded bytes.
func TestFormsAreAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "command", func(c *Command) ([]byte, error) { return encoder.Marshal(c) }, decodeAs[Command])
	golden.RoundTrip(t, "answer", (*Response).Encode, decodeAs[Response])
	golden.RoundTrip(t, "snapshot", func(s *snapshot) ([]byte, error) { return encoder.Marshal(s) }, decodeAs[snapshot])
}

// The names of all enumeration values that operators read are as recorded.
func TestNamesAreAsRecorded(t *testing.T) {
	text := ""
	for i := range uint8(9) {
		text += Kind(i).String() + "|" + Phase(i).String() + "|" + ZoneState(i).String() + "|" + RequestType(i).String() + "|" +
			Stage(i).String() + "|" + Bound(i).String() + "|" + Action(i).String() + "\n"
	}
	require.NotEmpty(t, text)
	golden.CheckText(t, "names", text)
}

// The last stage has the recorded name, and no stage follows it.
func TestLastStageIsAsRecorded(t *testing.T) {
	golden.CheckText(t, "last-stage", StageDone.String()+"\n"+(StageDone+1).String()+"\n")
}

// A plan with every key is parsed to the recorded values.
func TestPlanIsReadAsRecorded(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	plan, err := Parse(text)
	require.NoError(t, err)
	golden.CheckText(t, "every-key", golden.Values(plan))
}

// A plan is written with the recorded keys; optional ones are left out if they are empty.
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
