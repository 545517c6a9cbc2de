package maintenance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// explore runs every sequence of up to depth steps from a model and visits each state once. It
// returns the number of states visited and the first violation found, or "".
func explore(start *model, depth int, bug string) (states int, found string) {
	seen := map[uint64]bool{}
	frontier := []*model{start}
	for range depth {
		var next []*model
		for _, m := range frontier {
			for choice := range m.choiceCount() {
				successor := *m
				if !successor.step(choice, bug) {
					continue
				}
				if hash := successor.hash(); seen[hash] {
					continue
				} else {
					seen[hash] = true
				}
				states++
				if found = successor.violation(); found != "" {
					return states, found
				}
				next = append(next, &successor)
			}
		}
		frontier = next
	}
	return states, ""
}

// runUntil runs fault-free steps until the lease of the first host has reached a stage.
func (m *model) runUntil(t *testing.T, stage Stage) {
	for range 200 {
		if m.state.stage(hostName(0)) >= stage {
			return
		}
		if m.actual[0] == actuallyOut && stage > StageOut {
			require.True(t, m.step(1+3*len(m.inFlight), "")) // the work is finished
		} else if len(m.inFlight) > 0 {
			require.True(t, m.step(1, ""))
		} else {
			require.True(t, m.step(0, ""))
		}
		require.Empty(t, m.violation())
	}
	require.Fail(t, "the lease makes no progress", "stage %v is not reached", stage)
}

// randomWalk runs random steps, most of them without faults, and returns the first violation found,
// or "".
func randomWalk(t *testing.T, seed uint64, steps int, bug string) (found string) {
	m, rng := newModel(t), rand.New(rand.NewPCG(seed, 0))
	m.maxInFlight *= 3
	for range steps {
		choice := 0
		switch inFlight := len(m.inFlight); {
		case inFlight > 0 && rng.IntN(4) > 0:
			// A newer message is more likely.
			if choice = 1 + 3*(inFlight-1-min(rng.IntN(inFlight), rng.IntN(inFlight))); rng.IntN(3) == 0 {
				choice += rng.IntN(3)
			}
		case rng.IntN(4) == 0:
			choice = 1 + 3*inFlight + rng.IntN(11)
			m.faults = 0
		}
		if successor := *m; successor.step(choice, bug) {
			*m = successor
		}
		if found = m.violation(); found != "" {
			break
		}
	}
	return found
}

// newModelWithStaleRequests returns a model in which a new process has taken over the lease of its
// host, and requests of the previous process with the old fencing token are still in flight.
func newModelWithStaleRequests(t *testing.T) *model {
	m := newModel(t)
	m.runUntil(t, StageGranted)
	staleToken := m.state.leases[hostName(0)].FencingToken
	m.startProcess(0)
	m.runUntil(t, StageGranted)
	for m.state.stage(hostName(0)) != StageDraining {
		require.True(t, m.step(min(1, len(m.inFlight)), ""))
	}
	require.Less(t, staleToken, m.state.leases[hostName(0)].FencingToken)
	for _, requestType := range []RequestType{RequestConfirmUndrain, RequestStartDrain} {
		m.inFlight = append(m.inFlight, message{request: &Request{Host: hostName(0), Name: hostName(0),
			Type: requestType, FencingToken: staleToken}})
	}
	return m
}

// A machine must never be unavailable without holding the only lease, whatever happens to it from
// each stage on: lost, duplicated and reordered messages, crashed and paused processes, crashed
// leaders and halts. Every sequence of four such steps is tried.
func TestUnavailableMachineHoldsOnlyLeaseInEveryInterleaving(t *testing.T) {
	for stage := StageRequested; stage <= StageDone; stage++ {
		if stage == StageRecalled {
			continue // not reached without a fault
		}
		t.Run(stage.String(), func(t *testing.T) {
			t.Parallel()
			m := newModel(t)
			if m.runUntil(t, stage); stage == StageDone {
				m = newModelWithStaleRequests(t)
			}
			states, found := explore(m, 4, "")
			assert.Empty(t, found)
			t.Logf("%d states", states)
		})
	}
}

// The invariant has to be strong enough to detect bugs: each injected bug is found in random walks
// or by exploration, and the code without a bug passes the same walks.
func TestExplorationDetectsInjectedBugs(t *testing.T) {
	for _, bug := range []string{"", "leases are forgotten", "lease ends on arrival", "stale responses are accepted"} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			found, walks := "", 0
			for ; walks < 500 && found == ""; walks++ {
				found = randomWalk(t, uint64(walks), 120, bug)
			}
			assert.Equal(t, bug != "", found != "", found)
			t.Logf("%d walks, violation %q", walks, found)
		})
	}
	states, found := explore(newModelWithStaleRequests(t), 5, "stale requests are accepted")
	assert.NotEmpty(t, found)
	t.Logf("%d states, violation %q", states, found)
}
