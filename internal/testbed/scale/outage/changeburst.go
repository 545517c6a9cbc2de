package outage

import (
	"context"
	"time"

	"sloestile/internal/testbed/scale"
)

const changeBurstName = "change-burst"

// A burst of configuration changes: one each 600 ms is 100 in a minute.
const (
	burstAt       = 12 * time.Second
	burstGap      = 600 * time.Millisecond
	burstChanges  = 100
	eachChanges   = 6 // of them where each is activated by itself, which takes far longer than the bound
	quickChanges  = 12
	burstSettle   = 10 * time.Second // after the last one
	eachSettleMax = 3 * time.Minute
)

// changeBurst is a hundred configuration changes in a minute, published in two ways.
func changeBurst() scale.Event {
	return scale.Event{
		Name: changeBurstName,
		About: "100 rule sets of 64 kB in a minute, by one publisher that activates its newest once the one before is active; " +
			"and 6 at the same rate, each activated by itself",
		Costs: costsOf(changeBurstName,
			scale.Cost{Name: "each-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "each-in-force-max", Unit: scale.Seconds},
			scale.Cost{Name: "each-activations-refused", Unit: scale.Count},
			scale.Cost{Name: "coalesced-in-force-p99", Unit: scale.Seconds, Budget: inForceWithin},
			scale.Cost{Name: "coalesced-in-force-max", Unit: scale.Seconds},
			scale.Cost{Name: "coalesced-activations", Unit: scale.Count},
			scale.Cost{Name: "requests-by-passed-version", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "peak-node-bytes", Unit: scale.BytesPerSecond, Budget: controlBytesPerSecond},
			scale.Cost{Name: "mean-node-bytes", Unit: scale.BytesPerSecond, Budget: controlBytesPerSecond},
			scale.Cost{Name: "peak-relay-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-leader-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "peak-node-messages", Unit: scale.PerSecond},
			scale.Cost{Name: "peak-leader-messages", Unit: scale.PerSecond},
			scale.Cost{Name: "peak-node-cpu", Unit: scale.CorePercent, Budget: controlCorePercent, Timed: true},
			scale.Cost{Name: "peak-leader-cpu", Unit: scale.CorePercent, Timed: true},
		),
		Play: measure(changeBurstName, measureChangeBurst),
	}
}

func measureChangeBurst(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	each, coalesced := eachChanges, burstChanges
	if f == quickSize {
		coalesced = quickChanges
	}
	b, err := runBurst(ctx, f, seed, each, false)
	if err != nil {
		return err
	}
	b.inForce("each", out)
	out.add("each-activations-refused", float64(b.refused))
	stale := b.wrong.staleRequests()
	if b, err = runBurst(ctx, f, seed, coalesced, true); err != nil {
		return err
	}
	b.inForce("coalesced", out)
	out.add("coalesced-activations", float64(b.activations))
	out.add("requests-by-passed-version", stale+b.wrong.staleRequests())
	b.traffic(out)
	return nil
}

// inForce gives the time from publication until in force.
func (b *burstRun) inForce(way string, out *figures) {
	late := b.lateness(2, uint64(1+b.changes), b.size.nodes)
	out.add(way+"-in-force-p99", quantile(late, 0.99))
	out.add(way+"-in-force-max", quantile(late, 1))
}

// traffic gives the bytes, messages and CPU of a burst.
func (b *burstRun) traffic(out *figures) {
	of := b.byRole()
	out.add("peak-node-bytes", b.meter.peakBytes(of[ordinary]))
	out.add("mean-node-bytes", b.meter.meanBytes(of[ordinary], b.Now))
	out.add("peak-relay-bytes", b.meter.peakBytes(of[relay]))
	out.add("peak-leader-bytes", b.meter.peakBytes(of[leader]))
	out.add("peak-node-messages", b.meter.peakMessages(of[ordinary]))
	out.add("peak-leader-messages", b.meter.peakMessages(of[leader]))
	out.add("peak-node-cpu", b.meter.peakCPU(ordinary, len(of[ordinary])))
	out.add("peak-leader-cpu", b.meter.peakCPU(leader, 1))
}

// burstRun is a burst of changes in progress.
type burstRun struct {
	*ruleFleet
	changes     int
	coalesce    bool
	last        uint64 // version published last
	asked       uint64 // and activated last
	activations int
}

func runBurst(ctx context.Context, f fleetSize, seed uint64, changes int, coalesce bool) (*burstRun, error) {
	length := burstGap * time.Duration(changes)
	settle := burstSettle
	if !coalesce {
		settle = eachSettleMax
	}
	b := &burstRun{ruleFleet: newRuleFleet(ctx, f, usualLinks(), burstAt+length+settle, seed), changes: changes,
		coalesce: coalesce}
	b.after(time.Second, func() { b.publish(b.activate) })
	b.after(burstAt, func() { b.meter.restart(b.Now) })
	for i := range changes {
		b.after(burstAt+burstGap*time.Duration(i), b.change)
	}
	b.after(burstAt+length, b.endEarly)
	return b, b.run()
}

// endEarly ends the simulation once the newest version is in force at all nodes and nothing is awaited.
func (b *burstRun) endEarly() {
	waits := b.registry.State().Prepared.Number != 0
	if _, _, due := b.registry.NextActivation(); waits || due || b.newest < b.last && b.coalesce || b.trailing() {
		b.after(time.Second, b.endEarly)
		return
	}
	b.end = b.Now
}

// trailing reports whether a node does not act by the newest version.
func (b *burstRun) trailing() bool {
	for i := range b.nodes {
		if b.nodes[i].highest < b.newest {
			return true
		}
	}
	return false
}

func (b *burstRun) change() {
	b.publish(func(number uint64) {
		b.last = max(b.last, number)
		if !b.coalesce {
			b.activate(number)
			return
		}
		b.activateNewest()
	})
}

// activateNewest activates the newest version where none is awaited, and goes on once it is active.
// A rule set is whole, so the newest one holds all changes before it.
func (b *burstRun) activateNewest() {
	if b.asked > b.newest || b.last <= b.asked {
		return
	}
	b.asked = b.last
	b.activations++
	b.activate(b.asked)
	b.waitActive(b.asked)
}

func (b *burstRun) waitActive(number uint64) {
	const look = 50 * time.Millisecond
	if b.newest >= number {
		b.activateNewest()
		return
	}
	b.after(look, func() { b.waitActive(number) })
}
