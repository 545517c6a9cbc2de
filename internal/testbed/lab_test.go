package testbed

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/scenario"
)

// small is a day of a few seconds for fakes, none of which knows of quotas: all ask little.
func small(t *testing.T, set ...string) *scenario.Day {
	t.Helper()
	f, err := scenario.Read("../../scenarios/calm.toml", append([]string{"seconds = 3", "fleet.nodes = 2", "fleet.servers = 4",
		"fleet.zones = 2", "load.inside = 0.3", "load.heavy = 0", "load.spiky = 0", "load.full = 0", "server.error_rate = 0",
		"clients.retries = 0", "discovery.notice_s = 0.1", "discovery.add_s = 0.1", "discovery.node_ms = 10",
		// The tests of many packages share the machine.
		"server.handshake_ms = 0.4"}, set...)...)
	if err != nil {
		t.Fatal(err)
	}
	d, err := f.Draw(7)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// atOnce bounds the plays side by side: the tests of other packages share the cores.
var atOnce = make(chan struct{}, 3)

func playFake(t *testing.T, how string, d *scenario.Day) *judge.Verdict {
	t.Helper()
	atOnce <- struct{}{}
	defer func() { <-atOnce }()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	v, err := Play(t.Context(), d, Options{Deploy: &Deploy{Root: t.TempDir(), Run: "exec " + self}, Env: []string{fakeVariable + "=" + how}})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Each rule is broken by one fake, and the judge finds that rule broken, and no other.
func TestJudgeFindsEachCheat(t *testing.T) {
	drained := lines("[[fault]]", `kind = "replace"`, "at_s = 0.2", "for_s = 0.2", "share = 0.5")
	pushed := lines("[[fault]]", `kind = "replace"`, "at_s = 0.2", "for_s = 0.2", "share = 0.25")
	// listed is a day on which half of the servers are told to drain, stay for long and are forgiven little.
	listed := func(seconds, at, more string, set ...string) []string {
		return append(set, "seconds = "+seconds, "rules.drain_grace_ms = 500", "server.drain_s = 12",
			lines("[[fault]]", `kind = "replace"`, "at_s = "+at, "for_s = 0.2", "share = 0.5", more))
	}
	refused := lines("[[fault]]", `kind = "full"`, "at_s = 0", "for_s = 0.5")
	// A site's other class, which may not be repeated and has no key.
	unsafe := `class = [{name = "look", share = 0.5, work_ms = 30, cv = 0.5, aim_ms = 375, deadline_ms = 1500, worth = 1, effect = "free"}, ` +
		`{name = "pay", share = 0.5, work_ms = 30, cv = 0.5, aim_ms = 300, deadline_ms = 750, worth = 2, effect = "single_shot"}]`
	for _, x := range []struct {
		how, rule string
		set       []string
	}{
		{"honest", "", nil},
		// What a node's clients never hear while their link fails is not the node's fault.
		{"honest", "", []string{lines("[[fault]]", `kind = "stall"`, "at_s = 0.5", "for_s = 2.2", "share = 0.5", `links = ["clients"]`,
			"[[fault]]", `kind = "drop"`, "at_s = 0.5", "for_s = 1", "share = 0.5", "size = 0.5", "reset = true", `links = ["clients", "servers"]`)}},
		{"lost", "lost", nil},
		{"broken", "lost", nil},
		{"forge", "lost", nil},
		{"refusal", "refusal", nil},
		{"halls", "duplicate", nil},
		{"window", "duplicate", nil},
		{"many", "duplicate", nil},
		{"honest", "", []string{unsafe}},
		{"repeats", "duplicate", []string{unsafe}},
		{"twice", "duplicate", []string{unsafe}},
		{"stray", "stray", nil},
		{"honest", "", []string{"clients.hasty = 1"}},
		{"again", "gone", []string{"clients.hasty = 1"}},
		{"queues", "gone", []string{"clients.hasty = 1"}},
		{"advice", "advice", nil},
		{"crash", "crash", nil},
		{"memory", "crash", nil},
		{"tardy", "ready", []string{"seconds = 13", lines("[[fault]]", `kind = "kill"`, "at_s = 0.5", "for_s = 0.2", "share = 0.5")}},
		{"improper", "improper", []string{"seconds = 5", "clients.improper = 20"}},
		{"drain", "drain", []string{"seconds = 5", drained}},
		{"deaf", "drain", []string{"seconds = 5", drained}},
		{"late", "drain", []string{"seconds = 5", drained}},
		// The clock of the list: asked for, 6 s, also after a call that was refused; once a watch fell silent,
		// 6 s after that; 4 s after SIGHUP; at once to a new process.
		{"honest", "", listed("9", "0.1", refused, "discovery.asked = true")},
		{"seldom", "drain", listed("9", "0.1", "", "discovery.asked = true")},
		{"refused", "drain", listed("9", "0.1", refused, "discovery.asked = true")},
		{"silent", "drain", listed("8", "0.1", lines("[[fault]]", `kind = "silent"`, "at_s = 0"))},
		{"moved", "drain", listed("6", "1.8", lines("[[fault]]", `kind = "move"`, "at_s = 0.5"))},
		{"stale", "drain", listed("4", "0.1", lines("[[fault]]", `kind = "kill"`, "at_s = 1", "for_s = 0.2", "share = 1"))},
		{"cold", "cold", []string{"seconds = 5", "load.inside = 0.6", pushed}},
	} {
		t.Run(x.how, func(t *testing.T) {
			t.Parallel()
			v := playFake(t, x.how, small(t, x.set...))
			if x.rule != "" && v.Count[x.rule] == 0 {
				t.Errorf("rule %s is not found broken; found: %v", x.rule, v.Broken)
			}
			for rule := range v.Count {
				// A node that crashes also loses what it held; so does one that pushes servers over,
				// holds a request for as long as its key is remembered, or sends eight for one.
				if rule != x.rule && (rule != "lost" || x.how == "honest") {
					t.Errorf("rule %s is found broken too: %v", rule, v.Broken[rule])
				}
			}
		})
	}
}

// Clients send on each connection that stays open after SIGTERM: a node that reads such a request and
// closes on it is found, and one that answers it as failed pays as for a refusal.
func TestRequestsAfterSIGTERMAreSentAndJudged(t *testing.T) {
	ends := lines("[[fault]]", `kind = "restart"`, "at_s = 1", "share = 0.5")
	for how, lost := range map[string]bool{"honest": false, "drops": true, "fails": false} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			v := playFake(t, how, small(t, "seconds = 6", ends))
			assert.Equal(t, lost, v.Count["lost"] > 0, "%v", v.Broken)
			assert.Greater(t, v.Figures.Get("kept"), 0.0)
			if how == "fails" {
				assert.Greater(t, v.Figures.Get("refused"), 0.1) // half of the nodes for half of the day
			}
			for rule := range v.Count {
				assert.Equal(t, "lost", rule, "%v", v.Broken)
			}
		})
	}
}

// A program that was not built for the lab can't be played with disks that fail.
func TestDisksNeedTheLabsProgram(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	require.NoError(t, err)
	d := small(t, lines("[[fault]]", `kind = "disk"`, "at_s = 0.5", "for_s = 1", "share = 0.5", `how = "full"`))
	_, err = Play(t.Context(), d, Options{Deploy: &Deploy{Root: t.TempDir(), Run: "exec " + self}, Env: []string{fakeVariable + "=honest"}})
	require.ErrorContains(t, err, "build the program with the tag lab")
}

// A node that grants all that is asked sends on what is beyond quotas; the judge's own account of
// the stores shows it.
func TestJudgeFindsGrantsBeyondQuota(t *testing.T) {
	t.Parallel()
	d := small(t, "load.heavy = 0.5", "load.heavy_x = 4")
	v := playFake(t, "honest", d)
	assert.NotZero(t, v.Count["quota"], "over_cost %.3f", v.Figures.Get("over_cost"))
	if over := v.Figures.Get("over_units"); over < 0.2 {
		t.Errorf("over_units %.3f of a node that grants all where half of the customers ask four times their rate", over)
	}
}
