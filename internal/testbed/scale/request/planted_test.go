package request

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
	"sloestile/internal/testbed/scale"
)

// Regressions are planted here and nowhere else: the quick form has to fail for them.

// subsetSweep is the part of the sweep of servers that a node with a subset has, under a choice.
func subsetSweep(choose choice) scale.Sweep {
	s := serverSet()
	s.Costs = setCosts("subset", 0)
	s.Measure = func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
		return measureSet(ctx, size, seed, "subset", choose)
	}
	return s
}

func quick(t *testing.T, s scale.Sweep) *scale.Result {
	t.Helper()
	r, err := scale.Run(context.Background(), []scale.Sweep{s}, nil, scale.Options{Quick: true, Seeds: []uint64{1}, Most: time.Minute})
	require.NoError(t, err)
	t.Log(r.Last())
	return r
}

func TestSubsetPassesTheQuickForm(t *testing.T) {
	assert.True(t, quick(t, subsetSweep(subsetOf)).Passed())
}

// scanned reckons the cost of all servers behind the subset for each request, as a choice among all of them does.
func scanned(all []subset.Server, group int) (*known, error) {
	k, err := subsetOf(all, group)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(1, 1))
	k.handle = func(c *control.Controller, at time.Duration, e control.Event) {
		if _, ok := e.(control.Request); ok && cheapest(all, random) < 0 {
			return
		}
		c.Handle(at, e)
	}
	return k, nil
}

// cheapest returns the index of the available server with the least cost: its capacity's, which decays, with a jitter.
func cheapest(all []subset.Server, random *rand.Rand) int {
	best, least := -1, math.Inf(1)
	for i := range all {
		cost := (1 + math.Exp(-all[i].Capacity)) * (1 + random.Float64())
		if all[i].State == subset.Available && cost < least {
			best, least = i, cost
		}
	}
	return best
}

func TestScanOfAllServersFailsTheQuickForm(t *testing.T) {
	r := quick(t, subsetSweep(scanned))
	assert.False(t, r.Passed())
	assert.Regexp(t, "^FAIL scale: servers: subset/request-cpu: ", r.Last())
}

func TestChangeOfOneEntryPassesTheQuickForm(t *testing.T) {
	assert.True(t, quick(t, listBytes()).Passed())
}

// exchanged sends the whole state for each change.
func exchanged(all []subset.Server, change int) discovery.Update {
	state := append([]subset.Server(nil), all...)
	state[0] = drained(all, change)
	return listing(state, true)
}

func TestFullExchangeForEachChangeFailsTheQuickForm(t *testing.T) {
	s := listBytes()
	s.Measure = func(_ context.Context, size int, _ uint64) ([]scale.Reading, error) {
		return changeBytes(size, exchanged)
	}
	r := quick(t, s)
	assert.False(t, r.Passed())
	assert.Regexp(t, "^FAIL scale: list-bytes: list-bytes/change: ", r.Last())
}
