package exchange

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sloestile/internal/membership"
	"sloestile/internal/testbed/scale"
)

// The library has no clock that could be set, so these fleets run in real time with intervals that are a
// fraction of the library's own. Counts of messages are the same by it; times are given in the library's.
const (
	steadyWhile  = 500 * time.Millisecond // in which probes are counted
	quietLooks   = 3                      // gossip intervals without gossip, after which a fleet is quiet
	gossipEach   = 200 * time.Millisecond // the library's interval for one site
	quietWithin  = 30 * time.Second
	zonesOfChurn = targetZones // a zone is that part of the members
)

// paces say by how much intervals are shorter than the library's.
type paces struct{ gossip, probe float64 }

// paceOf is slow in large fleets: where the machine is busy, fast probes take members for dead.
func paceOf(size int) paces {
	if size <= 30 {
		return paces{10, 10}
	}
	return paces{5, 5}
}

// churn measures what members tell each other at rest and when a zone goes and comes back at once, by the
// number of members. The sizes end at 200: in one process and in real time 300 members do not keep up.
// Bytes are those of one node; those of a change are for each member that came or went.
func churn() scale.Sweep {
	const name = "churn/"
	timed := func(cost string, unit scale.Unit, budget, exponent float64) scale.Cost {
		return scale.Cost{Name: name + cost, Unit: unit, Budget: budget, Exponent: exponent, Timed: true}
	}
	costs := []scale.Cost{
		timed("probe-rate", scale.BytesPerSecond, budgetBytes, 0.1),
		timed("return-bytes", scale.Bytes, 0, 0.5),
		timed("return-messages", scale.Count, 0, 0.5),
		timed("return-rate", scale.BytesPerSecond, budgetBytes, 1),
		timed("return-known", scale.Seconds, 0, 0.4),
		timed("gone-bytes", scale.Bytes, 0, 0.5),
		timed("gone-messages", scale.Count, 0, 0.5),
		timed("gone-known", scale.Seconds, 0, 0.4),
	}
	return scale.Sweep{Name: "churn", Dimension: "members, a seventeenth of which goes and returns at once",
		Target: targetNodes, Sizes: []int{2, 10, 30, 100, 200}, Quick: []int{3, 30}, Costs: costs,
		Measure: func(ctx context.Context, size int, _ uint64) ([]scale.Reading, error) {
			values, err := measureChurn(ctx, size)
			if err != nil {
				return nil, err
			}
			return readings(costs, values.all()), nil
		}}
}

// churnFigures are in the order of the costs.
type churnFigures struct {
	probes     float64
	back, gone change
	backRate   float64
}

// change is what it costs a node that some members came or went.
type change struct {
	bytes, messages float64 // for each of them
	known           float64 // seconds until all know
}

func (f *churnFigures) all() []float64 {
	return []float64{f.probes, f.back.bytes, f.back.messages, f.backRate, f.back.known, f.gone.bytes, f.gone.messages, f.gone.known}
}

// liveFleet is members in real time.
type liveFleet struct {
	mesh    *mesh
	peers   *membership.Peers // for what members say of themselves
	pace    paces
	members []*hollowMember
}

func measureChurn(ctx context.Context, size int) (out churnFigures, err error) {
	f, err := startLiveFleet(ctx, size)
	if err != nil {
		return out, err
	}
	defer f.close()
	if out.probes, err = f.steady(ctx); err != nil {
		return out, err
	}
	zone := max(1, size/zonesOfChurn)
	if out.gone, _, err = f.measure(ctx, size-zone, zone, f.pace.probe, func() error { return f.lose(zone) }); err != nil {
		return out, err
	}
	out.back, out.backRate, err = f.measure(ctx, size, zone, f.pace.gossip, func() error { return f.add(ctx, size-zone, size) })
	return out, err
}

func startLiveFleet(ctx context.Context, size int) (*liveFleet, error) {
	p, err := startPeers()
	if err != nil {
		return nil, err
	}
	f := &liveFleet{mesh: newMesh(), peers: p, pace: paceOf(size)}
	if err := errors.Join(f.add(ctx, 0, size), f.known(ctx, size), f.quiet(ctx)); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// add has members join the first one, all at once.
func (f *liveFleet) add(ctx context.Context, first, end int) error {
	var joins sync.WaitGroup
	errs := make([]error, end)
	for i := first; i < end; i++ {
		meta, err := metaOf(f.peers, i)
		if err != nil {
			return err
		}
		h, err := newMember(f.mesh, memberConfig{index: i, meta: meta, pace: f.pace})
		if err != nil {
			return err
		}
		f.members = append(f.members, h)
		if i > 0 {
			joins.Go(func() { errs[i] = f.joinFirst(ctx, h) })
		}
	}
	joins.Wait()
	return errors.Join(errs...)
}

// joinFirst tries until the first member has room for the stream.
func (f *liveFleet) joinFirst(ctx context.Context, h *hollowMember) error {
	for {
		err := h.join(f.members[0])
		if err == nil || ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// lose ends the last members without a leave of theirs.
func (f *liveFleet) lose(n int) (err error) {
	keep := len(f.members) - n
	for _, h := range f.members[keep:] {
		err = errors.Join(err, h.Shutdown())
	}
	f.members = f.members[:keep]
	return err
}

func (f *liveFleet) close() {
	for _, h := range f.members {
		_ = h.Shutdown()
	}
	_ = f.peers.Close()
}

// known waits until all members know so many.
func (f *liveFleet) known(ctx context.Context, live int) error {
	for _, h := range f.members {
		if err := h.known.wait(ctx, live); err != nil {
			return fmt.Errorf("member %d: %w", h.index, err)
		}
	}
	return nil
}

// total is what the first so many members have sent.
func (f *liveFleet) total(members int) (t liveTraffic) {
	for _, h := range f.members[:min(members, len(f.members))] {
		c := &h.end.counts
		t.probeBytes += float64(c.probeBytes.Load())
		t.gossipBytes += float64(c.gossipBytes.Load())
		t.gossipPackets += float64(c.gossipPackets.Load())
	}
	return t
}

type liveTraffic struct{ probeBytes, gossipBytes, gossipPackets float64 }

// quiet waits until nobody passes news on.
func (f *liveFleet) quiet(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, quietWithin)
	defer end()
	each := time.NewTicker(time.Duration(float64(gossipEach) / f.pace.gossip))
	defer each.Stop()
	for last, still := f.total(len(f.members)), 0; still < quietLooks; {
		select {
		case <-each.C:
		case <-ctx.Done():
			return fmt.Errorf("%d members are not quiet: %w", len(f.members), ctx.Err())
		}
		now := f.total(len(f.members))
		if still++; now.gossipPackets != last.gossipPackets {
			last, still = now, 0
		}
	}
	return nil
}

// steady gives the bytes a second that a node sends to see who is there, in the library's time.
func (f *liveFleet) steady(ctx context.Context) (float64, error) {
	before, from := f.total(len(f.members)), time.Now()
	select {
	case <-time.After(steadyWhile):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return (f.total(len(f.members)).probeBytes - before.probeBytes) / float64(len(f.members)) / since(from, f.pace.probe), nil
}

// since is the time since then, in seconds of the library's time.
func since(from time.Time, pace float64) float64 { return time.Since(from).Seconds() * pace }

// measure has some members come or go, and gives what that costs a node until all is quiet, and the bytes
// a second meanwhile.
func (f *liveFleet) measure(ctx context.Context, live, changed int, pace float64, do func() error) (c change, rate float64, err error) {
	before, from := f.total(live), time.Now()
	if err := errors.Join(do(), f.known(ctx, live)); err != nil {
		return c, 0, err
	}
	c.known = since(from, pace)
	if err := f.quiet(ctx); err != nil {
		return c, 0, err
	}
	now, n := f.total(live), float64(len(f.members))
	c.bytes = (now.gossipBytes - before.gossipBytes) / n / float64(changed)
	c.messages = (now.gossipPackets - before.gossipPackets) / n / float64(changed)
	return c, (now.gossipBytes - before.gossipBytes) / n / since(from, pace), nil
}
