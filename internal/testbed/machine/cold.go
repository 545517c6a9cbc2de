package machine

import (
	"math"
	"time"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// Bears is how many requests of mean work a cold server of the platform bears within the rule's
// time, where the settings allow it n of them: chance has its part.
func Bears(n float64) float64 { return n + 3*math.Sqrt(n) + 3 }

// Allows is how many all nodes together may send: less than the platform's servers bear, so that
// nodes which keep to it have some to spare there.
func Allows(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// budget is what a cold server has been sent within the rule's time.
type budget struct {
	multiple float64
	span     time.Duration
	mean     float64 // core-seconds of a request
	sends    []record.Send
}

func newBudget(d *scenario.Day) budget {
	r := d.File.Rules
	return budget{multiple: r.FallMultiple, span: time.Duration(r.FallMS * float64(time.Millisecond)), mean: d.MeanWork().Seconds()}
}

// Allowed is how many requests of mean work the settings let a server have now within the rule's
// time, all nodes together.
func (m *Machine) Allowed(now time.Duration) float64 {
	able := float64(m.Cores) * m.Speed * m.Warmth(now)
	return m.budget.multiple * able * m.budget.span.Seconds() / m.budget.mean
}

// Pushed counts a request that has come, also one that the server turns away, and tells whether a
// cold server falls over under it, and under what.
func (m *Machine) Pushed(node int, work float64, now time.Duration) (sends []record.Send, falls bool) {
	if m.Warmth(now) == 1 {
		return nil, false
	}
	b := &m.budget
	b.sends = append(b.sends, record.Send{Node: node, At: now, Work: work})
	for b.sends[0].At < now-b.span {
		b.sends = b.sends[1:]
	}
	sum := 0.0
	for _, s := range b.sends {
		sum += s.Work
	}
	return b.sends, sum > m.Bears(m.Allowed(now))*b.mean
}
