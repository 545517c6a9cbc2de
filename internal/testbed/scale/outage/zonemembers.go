package outage

import (
	"context"
	"time"

	"sloestile/fleet/rules"
	"sloestile/internal/testbed/scale"
)

const zoneMembersName = "zone-members"

// The course: the nodes of a zone without voters are lost at once, and come back at once as new processes.
const (
	churnZone      = 7
	churnLostAt    = 15 * time.Second
	churnPublishAt = 17 * time.Second // before any node's membership knows of the loss
	churnBackAt    = 45 * time.Second
	churnSecondAt  = 47 * time.Second // and when the zone is back
	churnEnd       = 75 * time.Second
	joinMost       = 2 * time.Second // until a node that comes back, and each other, knows the members
	// backWithin bounds the time from the return until all nodes of the zone act by the newest version.
	backWithin = 2 + inForceWithin
)

// zoneMembers is the loss and the return of a zone's nodes, as membership and rule sets see it.
func zoneMembers() scale.Event {
	return scale.Event{
		Name: zoneMembersName,
		About: "341 nodes of a zone are lost at once and come back at once 30 s later; a rule set is published 2 s after the loss, and " +
			"another 2 s after the return",
		Costs: costsOf(zoneMembersName,
			scale.Cost{Name: "loss-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "loss-in-force-max", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "return-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "return-in-force-max", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "back-current-max", Unit: scale.Seconds, Budget: backWithin},
			scale.Cost{Name: "nodes-not-current-at-end", Unit: scale.Count, Budget: none},
			scale.Cost{Name: "asks-refused-full", Unit: scale.Count},
			scale.Cost{Name: "requests-by-passed-version", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "peak-node-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-leader-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-node-cpu", Unit: scale.CorePercent, Budget: controlCorePercent, Timed: true},
			scale.Cost{Name: "peak-leader-cpu", Unit: scale.CorePercent, Timed: true},
		),
		Play: measure(zoneMembersName, measureZoneMembers),
	}
}

// churnRun is a zone's loss and return in progress.
type churnRun struct {
	*ruleFleet
	zone, others []int
	first        uint64 // versions published at the loss and at the return
	second       uint64
	current      map[int]time.Duration // when a node of the zone first acted by a version that was the newest
}

func measureZoneMembers(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	r := planChurn(newRuleFleet(ctx, f, usualLinks(), churnEnd, seed))
	if err := r.run(); err != nil {
		return err
	}
	r.report(out)
	return nil
}

func planChurn(s *ruleFleet) *churnRun {
	r := &churnRun{ruleFleet: s, current: map[int]time.Duration{}}
	s.textSize = 4 << 10
	for i := range s.nodes {
		if s.size.zoneOf(i) == churnZone {
			r.zone = append(r.zone, i)
		} else {
			r.others = append(r.others, i)
		}
	}
	s.after(time.Second, func() { s.publish(s.activate) })
	s.after(churnLostAt, r.lose)
	s.after(churnPublishAt, func() {
		s.publish(func(number uint64) {
			r.first = number
			s.activate(number)
		})
	})
	s.after(churnBackAt, r.back)
	s.after(churnSecondAt, func() {
		s.publish(func(number uint64) {
			r.second = number
			s.activate(number)
		})
	})
	return r
}

func (r *churnRun) lose() {
	r.meter.restart(r.Now)
	for _, i := range r.zone {
		r.nodes[i].dead = true
	}
	r.membersChange(r.others, detectFrom, detectMost)
}

// back starts the zone's nodes again: what they held in memory is gone, their mark is on the disk.
func (r *churnRun) back() {
	for _, i := range r.zone {
		n := &r.nodes[i]
		mark := n.keeping
		*n = ruleNode{skew: n.skew, rate: n.rate, keeping: mark, changed: r.Now}
		n.Node = rules.NewNode(rules.Config{Node: i, Incarnation: uint64(i+1) + uint64(r.size.nodes), HighWaterMark: mark, LeaseParams: rules.DefaultLeaseParams},
			r.clock(i))
	}
	r.membersChange(r.zone, 0, joinMost)
	r.membersChange(r.others, 0, joinMost)
	r.watchBack()
}

// watchBack looks each 50 ms which nodes of the zone act by the newest version.
func (r *churnRun) watchBack() {
	for _, i := range r.zone {
		if _, done := r.current[i]; !done && r.nodes[i].acting != 0 && r.nodes[i].acting == r.newest {
			r.current[i] = r.Now - churnBackAt
		}
	}
	if len(r.current) < len(r.zone) {
		r.after(50*time.Millisecond, r.watchBack)
	}
}

func (r *churnRun) report(out *figures) {
	late := r.lateness(r.first, r.first, len(r.others))
	if len(late) > len(r.others) { // those that came back have it late by their absence
		late = late[:len(r.others)]
	}
	out.add("loss-in-force-p99", quantile(late, 0.99))
	out.add("loss-in-force-max", quantile(late, 1))
	late = r.lateness(r.second, r.second, len(r.nodes))
	out.add("return-in-force-p99", quantile(late, 0.99))
	out.add("return-in-force-max", quantile(late, 1))
	back, behind := time.Duration(0), 0
	for _, i := range r.zone {
		at, done := r.current[i]
		if !done {
			at = r.end - churnBackAt // not even then
		}
		back = max(back, at)
	}
	for i := range r.nodes {
		if r.nodes[i].acting != r.newest {
			behind++
		}
	}
	out.add("back-current-max", back.Seconds())
	out.add("nodes-not-current-at-end", float64(behind))
	out.add("asks-refused-full", float64(r.full))
	out.add("requests-by-passed-version", r.wrong.staleRequests())
	of := r.byRole()
	out.add("peak-node-bytes", r.meter.peakBytes(of[ordinary]))
	out.add("peak-leader-bytes", r.meter.peakBytes(of[leader]))
	out.add("peak-node-cpu", r.meter.peakCPU(ordinary, len(of[ordinary])))
	out.add("peak-leader-cpu", r.meter.peakCPU(leader, 1))
}
