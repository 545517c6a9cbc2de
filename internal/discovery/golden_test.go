package discovery

import (
	"encoding/json"
	"fmt"
	"testing"

	"sloestile/internal/golden"
)

// The JSON keys of a discovery message and the status for each state of a target match the golden files.
func TestUpdateMatchesGoldenFiles(t *testing.T) {
	golden.RoundTrip(t, "update", func(u *Update) ([]byte, error) { return json.MarshalIndent(u, "", " ") }, func(raw []byte) (*Update, error) {
		u := &Update{}
		return u, json.Unmarshal(raw, u)
	})
	text := ""
	for _, state := range []string{stateUp, stateDraining, stateRemoved, "later", ""} {
		target := Target{State: state}
		text += fmt.Sprintf("%q %d\n", state, target.Status())
	}
	golden.CheckText(t, "states", text)
}
