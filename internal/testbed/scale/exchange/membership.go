package exchange

import (
	"context"
	"math"
	"runtime"
	"time"

	"github.com/hashicorp/memberlist"

	"sloestile/internal/membership"
	"sloestile/internal/testbed/scale"
)

const (
	// The library makes the interval of its full state exchanges longer in large fleets.
	fullStateInterval = 30 * time.Second
	fullStateScaled   = 32 // members from which on

	endedWithin = 2 * time.Second
)

// membership measures the state of the members at a node and the periodic exchange of all of it, by the
// number of members. The most that internal/membership takes in is 1,024; the state is measured beyond as well,
// as if that limit were lifted.
func membershipSweep() scale.Sweep {
	const name = "membership/"
	costs := []scale.Cost{
		// The library's goroutines decide what they still hold, so it is not the same each time, as times are not.
		{Name: name + "heap", Unit: scale.Bytes, Budget: budgetMemory, Exponent: 1, Slack: 2, Timed: true},
		{Name: name + "full-state", Unit: scale.Bytes, Exponent: 1},
		{Name: name + "full-state-rate", Unit: scale.BytesPerSecond, Budget: budgetBytes, Exponent: 0.75},
		{Name: name + "merge-cpu", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
		// A hard limit: no node knows more, whatever the size.
		{Name: name + "members-known", Unit: scale.Count, Exponent: 1},
	}
	return scale.Sweep{Name: "membership", Dimension: "members", Target: targetNodes,
		Sizes: []int{10, 60, 300, 1000, 5800, 11600}, Quick: []int{60, 300, 1000}, Costs: costs,
		Measure: func(ctx context.Context, size int, _ uint64) ([]scale.Reading, error) {
			s, err := measureMembership(ctx, size)
			if err != nil {
				return nil, err
			}
			return readings(costs, []float64{s.heap, s.fullState, fullStateRate(s.fullState, size), float64(s.merge.Microseconds()) / 1000, s.known}), nil
		}}
}

// membershipState is what was measured at one size.
type membershipState struct {
	heap      float64       // bytes that the other members add to the library's and internal/membership's state, with news not yet passed on
	fullState float64       // bytes of all members' states in one direction
	merge     time.Duration // CPU in which the two sides of an exchange give and take all states
	known     float64       // members that internal/membership takes in
}

func measureMembership(ctx context.Context, size int) (s membershipState, err error) {
	defer awaitGoroutines(ctx, runtime.NumGoroutine()) // what is left of this must not end during the next
	p, err := startPeers()
	if err != nil {
		return s, err
	}
	defer func() { _ = p.Close() }()
	m := newMesh()
	root, err := newMember(m, memberConfig{delegate: p, events: p})
	if err != nil {
		return s, err
	}
	defer func() { _ = root.Shutdown() }()
	before, goroutines := scale.Heap(), runtime.NumGoroutine()
	if err := gather(ctx, m, root, p, size); err != nil {
		return s, err
	}
	awaitGoroutines(ctx, goroutines)
	s.heap = scale.Heap() - before
	runtime.KeepAlive(root)
	if err := ctx.Err(); err != nil {
		return s, err
	}
	if s.fullState, s.merge, err = exchangeStates(m, root, p, size); err != nil {
		return s, err
	}
	s.known, err = knownMembers(root)
	return s, err
}

// awaitGoroutines waits until the goroutines of members that have ended are gone, with what they hold, so
// that it is not taken for the state of the one that is measured. It gives up after a while: the heap is
// then too large by that.
func awaitGoroutines(ctx context.Context, most int) {
	ctx, end := context.WithTimeout(ctx, endedWithin)
	defer end()
	for runtime.NumGoroutine() > most && ctx.Err() == nil {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// exchangeStates has a new member join the root, and then exchange all states with it again.
func exchangeStates(m *mesh, root *hollowMember, p *membership.Peers, size int) (bytes float64, merge time.Duration, err error) {
	meta, err := metaOf(p, size)
	if err != nil {
		return 0, 0, err
	}
	h, err := newMember(m, memberConfig{index: size, meta: meta})
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = h.Shutdown() }()
	if err := h.join(root); err != nil {
		return 0, 0, err
	}
	sent := h.end.counts.streamBytes.Load()
	merge = scale.CPUOf(func() { err = h.join(root) })
	return float64(h.end.counts.streamBytes.Load() - sent), merge, err
}

// knownMembers is how many of the members internal/membership takes in, at a node that begins anew.
func knownMembers(root *hollowMember) (float64, error) {
	p, err := startPeers()
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.Close() }()
	for _, n := range root.Members() {
		if p.NotifyAlive(n) == nil {
			p.NotifyJoin(n)
		}
	}
	return float64(p.Counts.Live.Load()), nil
}

// fullStateRate is the bytes a second that a node sends for the periodic exchanges: it begins one in each
// interval and answers one on average, and gives all states in both. What it hears is the same. The
// interval repeats the rule of the library's pushPullScale, which is not exported.
func fullStateRate(bytes float64, members int) float64 {
	interval := fullStateInterval.Seconds()
	if members > fullStateScaled {
		interval *= math.Ceil(math.Log2(float64(members))-math.Log2(fullStateScaled)) + 1
	}
	return 2 * bytes / interval
}

var (
	_ memberlist.Delegate      = (*membership.Peers)(nil)
	_ memberlist.EventDelegate = (*membership.Peers)(nil)
)
