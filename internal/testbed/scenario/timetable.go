package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// drawFaults fixes when each fault comes and whom it takes, and lists the servers that a release
// brings.
func (d *Day) drawFaults(f *File) {
	rng := rngFor(d.Seed, "faults")
	taken := make([][]int, len(f.Fault)) // nodes, by fault
	for i, x := range f.Fault {
		e := Event{At: span(x.AtS.draw(rng)), For: span(x.ForS.draw(rng)), Kind: x.Kind, Size: x.Size.draw(rng), Reset: x.Reset, How: x.How}
		share, zone := x.Share.draw(rng), rng.IntN(len(d.Zones))
		if x.Zone != nil {
			zone = *x.Zone
		}
		some := func(n int) []int { return rng.Perm(n)[:max(1, int(math.Round(share*float64(n))))] }
		nodes := func() []int {
			if x.Same > 0 {
				return taken[x.Same-1]
			}
			return some(len(d.Nodes))
		}
		switch x.Kind {
		case "kill", "stop", "throttle":
			e.Targets = nodes()
		case "disk", "power":
			if x.Same > 0 {
				e.Targets = taken[x.Same-1]
				break
			}
			in := d.nodesIn(x.Zone)
			for _, k := range some(len(in)) {
				e.Targets = append(e.Targets, in[k])
			}
		case "drop", "stall", "trickle", "lag":
			e.Targets, e.Links = d.drawLinks(x, taken, share, rng)
		case "slow", "errors", "pause", "crash", "reset":
			e.Targets = some(d.started())
		case "zone", "split", "oneway", "delay", "loss":
			e.Targets = []int{zone}
		case "restart":
			taken[i] = nodes()
			for i, n := range taken[i] {
				step := e
				step.At += span(float64(i) * x.EachS)
				step.Targets = []int{n}
				d.Faults = append(d.Faults, step)
			}
			continue
		case "replace":
			d.replace(e, some(d.started()), rng)
		}
		taken[i] = e.Targets
		d.Faults = append(d.Faults, e)
	}
	slices.SortStableFunc(d.Faults, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// started counts the servers that run when the day begins.
func (d *Day) started() int {
	n := 0
	for _, s := range d.Servers {
		if s.From < 0 {
			n++
		}
	}
	return n
}

// replace lets new servers come one after the other, each in the zone and with the figures of an
// old one, which drains when it has started.
func (d *Day) replace(e Event, old []int, rng *rand.Rand) {
	for i, s := range old {
		at := e.At + time.Duration(float64(e.For)*float64(i)/float64(len(old)))
		m := d.Servers[s]
		m.UID, m.From = fmt.Sprintf("s-%08x", rng.Uint32()), at
		d.Servers = append(d.Servers, m)
		d.Servers[s].Drain = at + 500*time.Millisecond
		d.Servers[s].Gone = d.Servers[s].Drain + span(d.File.Server.DrainS)
	}
}
