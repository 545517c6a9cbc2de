package outage

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/rules"
	"sloestile/fleet/subset"
	"sloestile/internal/testbed/scale"
)

// Each event in quick form gives a finite reading for each of its costs, once and in their order, and
// the same readings for the same seed, but for timed ones.
func TestEventsGiveAllCostsAndRepeat(t *testing.T) {
	for _, event := range Events() {
		t.Run(event.Name, func(t *testing.T) {
			first, err := event.Play(context.Background(), true, 7)
			require.NoError(t, err)
			again, err := event.Play(context.Background(), true, 7)
			require.NoError(t, err)
			require.Len(t, first, len(event.Costs))
			for i, cost := range event.Costs {
				require.Equal(t, cost.Name, first[i].Cost)
				assert.False(t, math.IsNaN(first[i].Value) || math.IsInf(first[i].Value, 0) || first[i].Value < 0,
					"%s is %g", cost.Name, first[i].Value)
				if !cost.Timed {
					assert.Equal(t, first[i], again[i])
				}
			}
		})
	}
}

// Another seed is another fleet.
func TestEventsDependOnTheSeed(t *testing.T) {
	first, err := relayLoss().Play(context.Background(), true, 1)
	require.NoError(t, err)
	other, err := relayLoss().Play(context.Background(), true, 2)
	require.NoError(t, err)
	assert.NotEqual(t, first[0].Value, other[0].Value)
}

// A simulation ends with the context's error.
func TestEventsEndWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, event := range Events() {
		_, err := event.Play(ctx, true, 1)
		var failed *FailedError
		require.ErrorAs(t, err, &failed, event.Name)
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, event.Name, failed.Event)
	}
}

// bound returns the budget of an event's cost.
func bound(t *testing.T, event scale.Event, name string) float64 {
	t.Helper()
	for _, cost := range event.Costs {
		if cost.Name == event.Name+"/"+name {
			require.Positive(t, cost.Budget)
			return cost.Budget
		}
	}
	t.Fatalf("event %s has no cost %s", event.Name, name)
	return 0
}

// reading returns the value of an event's cost.
func reading(t *testing.T, event string, readings []scale.Reading, name string) float64 {
	t.Helper()
	for _, r := range readings {
		if r.Cost == event+"/"+name {
			return r.Value
		}
	}
	t.Fatalf("event %s gave no reading of %s", event, name)
	return 0
}

// Planted fault: what tells a node of a new version is lost, and is not repeated for it. The bound of
// the fan-out notices it; without the fault it holds.
func TestLostFanOutBreaksItsBound(t *testing.T) {
	const victim = 60
	run := func(loses func(from, to int, m *rules.Message) bool) float64 {
		s := newRuleFleet(context.Background(), quickSize, usualLinks(), lossEnd, 3)
		r := planLoss(s)
		s.loses = loses
		require.NoError(t, r.run())
		out := &figures{event: relayLossName}
		r.report(out)
		return reading(t, relayLossName, out.readings, "relay-in-force-max")
	}
	limit := bound(t, relayLoss(), "relay-in-force-max")
	assert.LessOrEqual(t, run(nil), limit)
	assert.Greater(t, run(func(_, to int, m *rules.Message) bool {
		news := m.State != nil && m.State.Active.Number > 1 || m.Grant != nil && m.Grant.State != nil && m.Grant.State.Active.Number > 1
		return to == victim && news
	}), limit)
}

// Planted fault: a node acts by a version for longer after the next became active than two versions may
// overlap. The count of requests by a passed version notices it; without the fault it is 0.
func TestPassedVersionIsCounted(t *testing.T) {
	s := newRuleFleet(context.Background(), quickSize, usualLinks(), lossEnd, 3)
	r := planLoss(s)
	require.NoError(t, r.run())
	assert.Zero(t, s.wrong.staleRequests())
	n := &s.nodes[60]
	n.acting, n.changed = r.of[0], s.Now
	s.Now += 2 * rules.DefaultLeaseParams.MaxOverlap
	s.acts(60, r.of[1])
	assert.Greater(t, s.wrong.staleRequests(), none)
}

// Planted fault: nodes do not refill their subsets when servers are lost. The bounds on what a node lacks
// notice it; without the fault they hold.
func TestSubsetNotRefilledBreaksItsBounds(t *testing.T) {
	notRefilled := func(*subset.Set, []subset.Server) (subset.Change, error) { return subset.Change{}, nil }
	for name, simulate := range map[string]func(applier, *figures) error{
		rackLossName: func(apply applier, out *figures) error {
			return simulateRackLoss(context.Background(), quickSize, 5, apply, out)
		},
		zoneLossName: func(apply applier, out *figures) error {
			return simulateZoneLoss(context.Background(), quickSize, 5, apply, out)
		},
	} {
		cost := map[string]string{rackLossName: "servers-missing-max", zoneLossName: "capacity-lost-after-max"}[name]
		event := map[string]scale.Event{rackLossName: rackLoss(), zoneLossName: zoneLoss()}[name]
		for _, run := range []struct {
			apply applier
			holds bool
		}{{applyDelta, true}, {notRefilled, false}} {
			out := &figures{event: name}
			require.NoError(t, simulate(run.apply, out))
			got := reading(t, name, out.readings, cost)
			assert.Equal(t, run.holds, got <= bound(t, event, cost), "%s is %g", cost, got)
		}
	}
}

// Planted fault: the list does not tell that servers have just started. The bound on the sum of what all
// nodes send to a cold one notices it; without the fault it holds.
func TestHiddenStartsBreakTheirBound(t *testing.T) {
	limit := bound(t, zoneLoss(), "cold-sum-over-limit-max")
	run := func(hidden bool) float64 {
		r := newZoneRun(quickSize, 5)
		require.NoError(t, r.loseAndReturn(context.Background(), applyDelta))
		w := newColdWorld(context.Background(), r.list, 5)
		w.rate, w.hidesStarts, w.end = requestsPerSecond, hidden, coldWarmUp+4*time.Second
		result, err := simulateColdStart(w, r.list, r.watched, r.gone, 5)
		require.NoError(t, err)
		return result.worst
	}
	assert.LessOrEqual(t, run(false), limit)
	assert.Greater(t, run(true), limit)
}

// A node's choice from the part of the list that hollow nodes are given is its choice from the whole list.
func TestPartOfTheListGivesTheSameChoice(t *testing.T) {
	l := newServerList(targetSize, 3)
	for _, node := range []int{0, 1, 2899, 5799} {
		whole, err := newSet(node, l.servers)
		require.NoError(t, err)
		part, err := newSet(node, l.near(node))
		require.NoError(t, err)
		assert.Equal(t, whole.Chosen(), part.Chosen())
		assert.InDelta(t, whole.Sharers(targetSize.nodes), l.sharers(part, targetSize.servers), 1e-9)
	}
}
