package outage

import (
	"context"
	"time"

	"sloestile/internal/testbed/scale"
)

const relayLossName = "relay-loss"

// The course: a relay dies when a quarter of the fleet has a version, and the leader with the next.
const (
	lossAt     = 15 * time.Second
	lossNextAt = 45 * time.Second
	lossPoorAt = 75 * time.Second
	lossEnd    = 105 * time.Second
)

// relayLoss is the death of a relay, then of the leader, in the middle of a fan-out; and a fan-out
// over poor links.
func relayLoss() scale.Event {
	return scale.Event{
		Name:  relayLossName,
		About: "a relay dies amid a fan-out, then the leader; then a fan-out with 250 ms and 10% loss between regions",
		Costs: costsOf(relayLossName,
			scale.Cost{Name: "relay-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "relay-in-force-max", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "leader-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "leader-in-force-max", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "poor-links-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "poor-links-in-force-max", Unit: scale.Seconds},
			scale.Cost{Name: "requests-by-passed-version", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "steps-back", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "asks-refused-full", Unit: scale.Count},
			scale.Cost{Name: "peak-node-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-node-cpu", Unit: scale.CorePercent, Budget: controlCorePercent, Timed: true},
		),
		Play: measure(relayLossName, measureRelayLoss),
	}
}

// lossRun is a relay's and a leader's death in progress.
type lossRun struct {
	*ruleFleet
	of []uint64 // versions measured
}

func measureRelayLoss(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	r := planLoss(newRuleFleet(ctx, f, usualLinks(), lossEnd, seed))
	if err := r.run(); err != nil {
		return err
	}
	r.report(out)
	return nil
}

// report gives the figures of a run that has ended.
func (r *lossRun) report(out *figures) {
	names := []string{"relay", "leader", "poor-links"}
	for k, number := range r.of {
		dead := min(k+1, 2)
		late := r.lateness(number, number, r.size.nodes-dead)
		out.add(names[k]+"-in-force-p99", quantile(late, 0.99))
		out.add(names[k]+"-in-force-max", quantile(late, 1))
	}
	out.add("requests-by-passed-version", r.wrong.staleRequests())
	out.add("steps-back", float64(r.wrong.stepsBack))
	out.add("asks-refused-full", float64(r.full))
	of := r.byRole()
	out.add("peak-node-bytes", r.meter.peakBytes(of[ordinary]))
	out.add("peak-node-cpu", r.meter.peakCPU(ordinary, len(of[ordinary])))
}

func planLoss(s *ruleFleet) *lossRun {
	r := &lossRun{ruleFleet: s}
	s.textSize = 4 << 10
	s.after(time.Second, func() { s.publish(s.activate) })
	s.after(lossAt, func() {
		s.meter.restart(s.Now)
		r.fanOut(r.busiestRelay)
	})
	s.after(lossNextAt, func() { r.fanOut(func() int { return s.leader }) })
	s.after(lossPoorAt, func() {
		s.links = poorLinks()
		r.fanOut(nil)
	})
	return r
}

// fanOut publishes a version; the node that victim gives dies once a quarter of the nodes act by it.
func (r *lossRun) fanOut(victim func() int) {
	r.publish(func(number uint64) {
		r.of = append(r.of, number)
		r.activate(number)
		if victim != nil {
			r.waitQuarter(number, victim)
		}
	})
}

func (r *lossRun) waitQuarter(number uint64, victim func() int) {
	const look = 2 * time.Millisecond
	if 4*len(r.versions[number].late) < len(r.nodes) {
		r.after(look, func() { r.waitQuarter(number, victim) })
		return
	}
	r.kill(victim())
}

// busiestRelay returns the relay that most nodes ask and that does not act by the newest version yet.
func (r *lossRun) busiestRelay() int {
	asked := map[int]int{}
	for i := range r.nodes {
		if p := r.nodes[i].parents; len(p) > 1 {
			asked[p[0]]++
		}
	}
	best := -1
	for i := range r.nodes {
		if asked[i] > 0 && r.nodes[i].acting != r.newest && (best < 0 || asked[i] > asked[best]) {
			best = i
		}
	}
	return best
}

// kill ends a node's process, and has another voter lead if it led.
func (r *lossRun) kill(i int) {
	if i < 0 {
		return
	}
	r.nodes[i].dead = true
	var others []int
	for j := range r.nodes {
		if !r.nodes[j].dead {
			others = append(others, j)
		}
	}
	if r.leader == i {
		r.leader = -1
		r.after(electTake, func() { r.elect(1) })
	}
	r.membersChange(others, detectFrom, detectMost)
}
