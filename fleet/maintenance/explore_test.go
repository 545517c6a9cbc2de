package maintenance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// explore plays all that can happen to a depth from a world, each state once.
func explore(from *world, depth int, bug string) (states int, found string) {
	seen := map[uint64]bool{}
	level := []*world{from}
	for range depth {
		var next []*world
		for _, w := range level {
			for c := range w.choices() {
				n := *w
				if !n.step(c, bug) {
					continue
				}
				if h := n.hash(); seen[h] {
					continue
				} else {
					seen[h] = true
				}
				states++
				if found = n.wrong(); found != "" {
					return states, found
				}
				next = append(next, &n)
			}
		}
		level = next
	}
	return states, ""
}

// pass lets all go well until the first machine's turn has come to a stage.
func (w *world) pass(t *testing.T, to Stage) {
	for range 200 {
		if w.state.stage(host(0)) >= to {
			return
		}
		if w.truth[0] == isOut && to > StageOut {
			require.True(t, w.step(1+3*len(w.air), "")) // its work is done
		} else if len(w.air) > 0 {
			require.True(t, w.step(1, ""))
		} else {
			require.True(t, w.step(0, ""))
		}
		require.Empty(t, w.wrong())
	}
	require.Fail(t, "the turn stands still", "before %v", to)
}

// walk lets things happen by chance, mostly well.
func walk(t *testing.T, seed uint64, steps int, bug string) (found string) {
	w, rng := newWorld(t), rand.New(rand.NewPCG(seed, 0))
	w.inAir *= 3
	for range steps {
		choice := 0
		switch n := len(w.air); {
		case n > 0 && rng.IntN(4) > 0:
			if choice = 1 + 3*(n-1-min(rng.IntN(n), rng.IntN(n))); rng.IntN(3) == 0 { // the newest mostly
				choice += rng.IntN(3)
			}
		case rng.IntN(4) == 0:
			choice = 1 + 3*n + rng.IntN(11)
			w.faults = 0
		}
		if next := *w; next.step(choice, bug) {
			*w = next
		}
		if found = w.wrong(); found != "" {
			break
		}
	}
	return found
}

// late is a world in which another process of a host has taken its turn over, and what the one before
// said under the old number is still on its way.
func late(t *testing.T) *world {
	w := newWorld(t)
	w.pass(t, StageGranted)
	old := w.state.turns[host(0)].FencingToken
	w.start(0)
	w.pass(t, StageGranted)
	for w.state.stage(host(0)) != StageDraining {
		require.True(t, w.step(min(1, len(w.air)), ""))
	}
	require.Less(t, old, w.state.turns[host(0)].FencingToken)
	for _, verb := range []RequestType{RequestConfirmUndrain, RequestStartDrain} {
		w.air = append(w.air, letter{word: &Request{Host: host(0), Name: host(0), Type: verb, FencingToken: old}})
	}
	return w
}

// Every interleaving from each stage on, with messages lost, doubled and overtaken, processes that
// die and stand still, leaders that die, and halts: a machine that is away holds the only place.
func TestEveryInterleaving(t *testing.T) {
	for stage := StageRequested; stage <= StageDone; stage++ {
		if stage == StageRecalled {
			continue // is not on the way of a turn that goes well
		}
		t.Run(stage.String(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			if w.pass(t, stage); stage == StageDone {
				w = late(t)
			}
			states, found := explore(w, 4, "")
			assert.Empty(t, found)
			t.Logf("%d states", states)
		})
	}
}

// Long days by chance find nothing wrong, and each bug that is planted is found in some of them or
// in the interleavings.
func TestPlantedBugsAreFound(t *testing.T) {
	for _, bug := range []string{"", "a turn is forgotten", "back is returned", "old answers act"} {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			found, walks := "", 0
			for ; walks < 500 && found == ""; walks++ {
				found = walk(t, uint64(walks), 120, bug)
			}
			assert.Equal(t, bug != "", found != "", found)
			t.Logf("%d walks: %s", walks, found)
		})
	}
	states, found := explore(late(t), 5, "old words count")
	assert.NotEmpty(t, found)
	t.Logf("%d states: %s", states, found)
}
