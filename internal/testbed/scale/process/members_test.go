package process

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The interval of full exchanges grows in large fleets as the library's does.
func TestExchangeInterval(t *testing.T) {
	for members, want := range map[int]time.Duration{2: 30 * time.Second, 32: 30 * time.Second, 33: time.Minute, 64: time.Minute,
		65: 90 * time.Second, 1000: 3 * time.Minute, 5800: 270 * time.Second} {
		assert.Equal(t, want, exchangeInterval(members), "%d members", members)
	}
}

// A fleet beyond what internal/membership remembers is refused before anything starts.
func TestMembersBeyondTheMostAreRefused(t *testing.T) {
	b, err := newBench(nil, shortSpans)
	require.NoError(t, err)
	defer b.close()
	_, err = b.startHollow(membersMost+1, 1)
	var capacity *CapacityError
	require.ErrorAs(t, err, &capacity)
	assert.Equal(t, membersMost, capacity.Have)
}

// A real node knows hollow members, they know it, and a full exchange carries all their states.
func TestRealNodeJoinsHollowMembers(t *testing.T) {
	const size = 8
	b := short(t)
	p := &memberPoint{lag: startLag(t.Context())}
	var err error
	p.hollow, err = b.startHollow(size, 1)
	require.NoError(t, err)
	require.NoError(t, p.gather(t.Context()))
	require.NoError(t, b.startReal(t.Context(), p, size, 1))
	x, err := p.exchange(t.Context(), 0)
	require.NoError(t, err)
	assert.Greater(t, x.out, 20.0*size, "bytes")
	assert.Greater(t, x.in, 20.0*size, "bytes")
	costs := map[string]bool{}
	for _, r := range (&memberFigures{exchange: x}).readings("process/members", size+1) {
		costs[r.Cost] = true
	}
	for _, c := range memberSweep(b.deploy).Costs {
		assert.True(t, costs[c.Name], c.Name)
	}
	assert.Len(t, costs, len(memberSweep(b.deploy).Costs))
	require.NoError(t, p.hollow.members[size-1].AnnounceLeave())
	p.lag = &lagMeter{}
	require.Eventually(t, func() bool {
		figures, err := p.real.nodes[0].metrics(t.Context())
		return err == nil && int(figures["node_peers"]) == size-1
	}, joinWithin, settleLook)
	var dead *DeadMembersError
	require.ErrorAs(t, p.whole(t.Context(), "x"), &dead)
	assert.Equal(t, size-1, dead.Known)
}

// A few real nodes share limits: they tell each other, and with the membership alone they do not.
func TestLimitsAreShared(t *testing.T) {
	deploy, err := built()
	require.NoError(t, err)
	const size = 3
	sharing, err := measureGroup(t.Context(), deploy, shortSpans, size, 1, true)
	require.NoError(t, err)
	assert.Positive(t, sharing.load.messages)
	assert.Positive(t, sharing.load.bytes)
	alone, err := measureGroup(t.Context(), deploy, shortSpans, size, 1, false)
	require.NoError(t, err)
	assert.Zero(t, alone.load.messages)
	assert.Positive(t, alone.load.bytes, "of the membership")
	costs := map[string]bool{}
	for _, r := range sharing.readings("process/limits", alone) {
		costs[r.Cost] = true
	}
	for _, c := range limitSweep(deploy).Costs {
		assert.True(t, costs[c.Name], c.Name)
	}
	assert.Len(t, costs, len(limitSweep(deploy).Costs))
}

// The tenants' weights are those of their plans, and their tokens within the bounds of the settings.
func TestLimitedTenants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	all := limitedTenants(rng, 40)
	assert.Len(t, all, 55) // 40 x 9 requests a second at 6.6 each
	mean := 0.0
	for _, x := range all {
		assert.LessOrEqual(t, x.spread, 40)
		mean += x.usage / float64(len(all))
	}
	assert.InDelta(t, (usageLeast+usageMost)/2, mean, 0.3)
	for range 1000 {
		e := limitTokens(rng)
		assert.GreaterOrEqual(t, e.tokens, 1)
		assert.GreaterOrEqual(t, e.actual, 1)
		assert.LessOrEqual(t, e.tokens, tokensMost)
	}
}
