package maintenanceday

import (
	"fmt"
	"slices"
	"time"

	"sloestile/fleet/maintenance"
	"sloestile/internal/testbed/judge"
)

// Figures gives what was measured, against the best order that some steps of search find.
func (p *Play) Figures(steps int) judge.Figures {
	took, bound := p.Makespan.Seconds(), Bound(p.d).Seconds()
	f := judge.Figures{
		{Name: "broken", Value: float64(len(p.Broken)), Unit: "bounds"},
		{Name: "makespan", Value: took / 60, Unit: "min"},
		{Name: "over_bound", Value: took / bound, Unit: "times a lower bound"},
		{Name: "forecast", Value: float64(p.Forecast.DoneAt-begin) / 1000 / took, Unit: "of the makespan, as said at the plan's acceptance"},
		{Name: "most_away", Value: float64(p.Most), Unit: "machines"},
		{Name: "halts", Value: float64(p.Halts)},
		{Name: "recalled", Value: float64(p.Recalled), Unit: "drains"},
		{Name: "log", Value: float64(p.LookBytes) / took, Unit: "bytes of evidence a second"},
	}
	if steps > 0 {
		f = append(f, judge.Figure{Name: "over_best", Value: took / Best(p.d, steps).Seconds(), Unit: "times the best order found"})
	}
	return f
}

// seenAfter is how old a death has to be for a step out to reckon with it.
const seenAfter = time.Second

// judge looks at what is truly away at the moment at which a machine begins its drain, by formulas of
// its own.
func (p *Play) judge(a *actor) {
	b, away := &p.d.Plan.Bounds, 0
	broken := func(what string, have, most int) {
		if have > most {
			p.Broken = append(p.Broken, fmt.Sprintf("%v: %s goes: %s: %d of %d", p.now, a.Host, what, have, most))
		}
	}
	gone := func(m *actor) bool {
		return m.truth != serves && (m.truth != isDown || p.now-m.down > seenAfter)
	}
	zones, lost, voters := map[string]uint64{}, uint64(0), 0
	inZone, ofZone := 0, 0
	ring := make([]bool, p.d.Nodes)
	for _, m := range p.all {
		g := gone(m)
		if g {
			away++
		}
		if g && m.Voter {
			voters++
		}
		if g && m.Kind == maintenance.Node {
			ring[m.Index] = true
		}
		if m.Kind != a.Kind {
			continue
		}
		if zones[m.Zone] += uint64(m.Capacity); g {
			lost += uint64(m.Capacity)
		}
		if m.Zone == a.Zone {
			if ofZone++; g {
				inZone++
			}
		}
	}
	p.Most = max(p.Most, away)
	part := func(p maintenance.Fraction, n int) int { return max(1, n*int(p)/1000) }
	broken("its zone", inZone, part(b.MaxZoneFraction, ofZone))
	sum, worst := uint64(0), uint64(0)
	for _, c := range zones {
		sum, worst = sum+c, max(worst, c)
	}
	broken("warm capacity", int(lost), int((sum-worst)*uint64(b.MaxCapacityFraction)/1000))
	if a.Voter {
		broken("voters", voters, 1)
	}
	for _, size := range b.SetSizes {
		for first := 0; a.Kind == maintenance.Node && first < len(ring); first++ {
			n, has := 0, false
			for i := range size {
				at := (first + i) % len(ring)
				has = has || at == a.Index
				if ring[at] {
					n++
				}
			}
			if has {
				broken("a customer's set", n, part(b.MaxSetFraction, size))
			}
		}
	}
	for _, group := range p.d.Plan.AntiAffinityGroups {
		if n := 0; slices.Contains(group.Hosts, a.Host) {
			for _, h := range group.Hosts {
				if gone(p.of[h]) {
					n++
				}
			}
			broken(group.Name, n, group.MaxUnavailable)
		}
	}
	wall := int64(begin) + p.now.Milliseconds()
	for _, u := range p.d.Uplinks {
		if ends := wall + p.planned(a).Milliseconds() + time.Duration(b.UplinkMargin).Milliseconds() - 1000; u.Zone == a.Zone && wall < int64(u.End) && ends > int64(u.Start) {
			broken("a window", 1, 0)
		}
	}
	if a.Zone == p.d.Lost && p.now > p.d.At+seenAfter && p.now < p.d.At+p.d.For {
		broken("a zone that is lost", 1, 0)
	}
}

// planned is what the plan says that a host's turn takes.
func (p *Play) planned(a *actor) time.Duration {
	for _, j := range p.d.Plan.Jobs {
		if slices.Contains(j.Hosts, a.Host) {
			return time.Duration(p.d.Plan.DrainDuration + j.WorkDuration + p.d.Plan.WarmUpDuration)
		}
	}
	return 0
}
