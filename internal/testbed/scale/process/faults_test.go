package process

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/scenario"
)

const (
	faultScenario = "../../../../scenarios/subset.toml"
	faultRuns     = 3 // at most: a run that is void does not show that a rule is broken
)

// Five processes use a part of the servers each. They are killed, stopped and cut off while servers
// drain, crash and start cold; the stand-in's judge holds all rules of the platform from its own
// records: one final answer to each request, nothing to a server 2 s after the node was told that it
// drains, slow start in the sum of all nodes, and no crash.
func TestRulesHoldWhileNodesFailAndTheListChanges(t *testing.T) {
	deploy, err := built()
	require.NoError(t, err)
	file, err := scenario.Read(faultScenario)
	require.NoError(t, err)
	require.Positive(t, file.On.Subset, "the subset is on")
	requireFaults(t, file, "kill", "stop", "drop", "replace", "crash")
	var v *judge.Verdict
	for run := range faultRuns {
		day, err := file.Draw(uint64(run + 1))
		require.NoError(t, err)
		v, err = testbed.Play(t.Context(), day, testbed.Options{Deploy: deploy})
		require.NoError(t, err)
		t.Logf("seed %d: served %.3f, %.2f attempts a try, void: %q", run+1, v.Figures.Get("served"), v.Figures.Get("attempts"), v.Void)
		if v.Void == "" || len(v.Count) == 0 {
			break
		}
	}
	for rule, cases := range v.Broken {
		assert.Empty(t, cases, "rule %s, %d times", rule, v.Count[rule])
	}
	assert.Greater(t, v.Figures.Get("served"), 0.5, "of worth offered: the nodes went on serving")
}

// requireFaults checks that the scenario has faults of the kinds that the test speaks of.
func requireFaults(t *testing.T, file *scenario.File, kinds ...string) {
	t.Helper()
	has := map[string]bool{}
	for _, fault := range file.Fault {
		has[fault.Kind] = true
	}
	for _, kind := range kinds {
		require.True(t, has[kind], "the scenario has no fault of kind %s", kind)
	}
}
