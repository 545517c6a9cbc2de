package virtual

import (
	"fmt"
	"math"

	"sloestile/internal/testbed/judge"
)

func (p *play) figures() judge.Figures {
	s, n := p.d.Length.Seconds(), float64(len(p.nodes))
	all := judge.Figures{
		{Name: "over_units", Value: p.over / math.Max(1, p.units), Unit: "of units sent on"},
		{Name: "refused", Value: p.refused / math.Max(1, p.tries), Unit: "of tries"},
		{Name: "refused_with_room", Value: p.room / math.Max(1, p.tries), Unit: "of tries"},
		{Name: "blind", Value: p.blind / math.Max(1, p.tries), Unit: "of tries"},
		{Name: "tries", Value: p.tries / n / s, Unit: "a second and node"},
		{Name: "messages", Value: p.sent / n / s, Unit: "sent a second and node"},
		{Name: "bytes", Value: p.bytes / n / s, Unit: "sent a second and node"},
		{Name: "age_p99", Value: float64(p.age.ValueAtQuantile(99)) / 1000, Unit: "ms"},
	}
	if p.win != nil {
		all = append(all, p.win.site.figures("hall")...)
		all = append(all, p.win.others.figures("others")...)
		all = append(all, p.win.after.figures("after")...)
	}
	return all
}

// shares tells whether nodes tell each other of uses.
func (p *play) shares() bool { return p.way != Alone && p.way != Lease }

// Ways lists the ways by name.
func Ways(names []string) ([]Way, error) {
	var ways []Way
	for _, n := range names {
		switch w := Way(n); w {
		case Alone, Lease, Notices, Uncut, Cut, Provided, RulesOverlap, RulesExclusive:
			ways = append(ways, w)
		default:
			return nil, fmt.Errorf("way %q is none of alone, lease, notices, uncut, cut, provided, rules-overlap and rules-exclusive", n)
		}
	}
	return ways, nil
}
