package outage

import (
	"context"
	"time"

	"sloestile/internal/testbed/scale"
)

const shareLossName = "share-loss"

// The course: the owner of the tenants' stores dies, then the relay of the most nodes.
const (
	shareOwnerAt = 10 * time.Second
	shareRelayAt = 45 * time.Second
	shareEnd     = 80 * time.Second
	shareLook    = 250 * time.Millisecond
	// blindMost is the part of the nodes that may know nothing of a store while nothing fails: by loss, a
	// level is not heard again within its life of 1 s.
	blindMost = 0.1
	// shareWithin bounds the time from a death until nodes know the stores again: membership takes detectMost,
	// nothing told is used for 2 s after a change of owners, and a level is told each 0.7 s.
	shareWithin = 20 + 2 + 1.0
)

// shareLoss is the death of the owner of tenants' shared token buckets, then of a relay.
func shareLoss() scale.Event {
	return scale.Event{
		Name: shareLossName,
		About: "the owner of 40 tenants' token buckets dies, then the relay that tells most nodes; each tenant asks for 1.5 of its " +
			"limit through 58 nodes; membership notices a death in 15 to 20 s",
		Costs: costsOf(shareLossName,
			scale.Cost{Name: "owner-known-again", Unit: scale.Seconds, Budget: shareWithin},
			scale.Cost{Name: "relay-known-again", Unit: scale.Seconds, Budget: shareWithin},
			scale.Cost{Name: "blind-part-before", Unit: scale.Count, Budget: blindMost},
			scale.Cost{Name: "owner-blind-requests", Unit: scale.Count},
			scale.Cost{Name: "relay-blind-requests", Unit: scale.Count},
			scale.Cost{Name: "over-limit-before", Unit: scale.Count},
			scale.Cost{Name: "owner-over-limit", Unit: scale.Count},
			scale.Cost{Name: "relay-over-limit", Unit: scale.Count},
			scale.Cost{Name: "peak-node-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-node-messages", Unit: scale.PerSecond},
		),
		Play: measure(shareLossName, measureShareLoss),
	}
}

// shareRun is the deaths in progress.
type shareRun struct {
	*shareFleet
	before             float64 // part of the nodes that knew nothing just before the first death
	ownerDark          time.Duration
	relayDark          time.Duration // last times at which too many knew nothing
	calm, owner, relay shareCounts   // until the first death, and after each
}

func measureShareLoss(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	s, owner := newShareFleet(ctx, f, usualLinks(), shareEnd, seed)
	r := planShareLoss(s, owner)
	if err := r.run(); err != nil {
		return err
	}
	r.relay = r.counts
	r.report(out)
	return nil
}

func planShareLoss(s *shareFleet, owner int) *shareRun {
	r := &shareRun{shareFleet: s}
	s.after(shareOwnerAt/2, func() { s.counts = shareCounts{} }) // stores begin full
	s.after(shareOwnerAt, func() {
		r.before = s.blindPart()
		r.calm, s.counts = s.counts, shareCounts{}
		s.kill(owner)
		r.look()
	})
	s.after(shareRelayAt, func() {
		r.owner, s.counts = s.counts, shareCounts{}
		s.kill(r.busiestRelay())
	})
	return r
}

// look notes until when nodes know nothing of stores.
func (r *shareRun) look() {
	if r.blindPart() > blindMost {
		if r.Now < shareRelayAt {
			r.ownerDark = r.Now - shareOwnerAt
		} else {
			r.relayDark = r.Now - shareRelayAt
		}
	}
	r.after(shareLook, r.look)
}

// busiestRelay returns the node that has told most others.
func (r *shareRun) busiestRelay() int {
	best := 0
	for i := range r.nodes {
		if !r.nodes[i].dead && r.nodes[i].relays > r.nodes[best].relays {
			best = i
		}
	}
	return best
}

// overPart returns the part of the units sent on that the limits did not allow.
func (c *shareCounts) overPart() float64 { return c.over / max(1, c.sent) }

// blindPart returns the part of the requests that were decided without knowing the store.
func (c *shareCounts) blindRequests() float64 { return c.blind / max(1, c.requests) }

func (r *shareRun) report(out *figures) {
	all := make([]int, len(r.nodes))
	for i := range all {
		all[i] = i
	}
	out.add("owner-known-again", r.ownerDark.Seconds())
	out.add("relay-known-again", r.relayDark.Seconds())
	out.add("blind-part-before", r.before)
	out.add("owner-blind-requests", r.owner.blindRequests())
	out.add("relay-blind-requests", r.relay.blindRequests())
	out.add("over-limit-before", r.calm.overPart())
	out.add("owner-over-limit", r.owner.overPart())
	out.add("relay-over-limit", r.relay.overPart())
	out.add("peak-node-bytes", r.meter.peakBytes(all))
	out.add("peak-node-messages", r.meter.peakMessages(all))
}
