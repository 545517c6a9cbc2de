package prefetch

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	phases     = 12               // parts of a cycle that are learnt apart
	demandKeep = 0.7              // of what a part of the cycle has taught, that stays to the next cycle
	recentSpan = 2 * time.Minute  // over which the present rate of a customer is reckoned
	spareRoots = 4                // two deviations of what requests of some four units ask, in roots of the units
	spanLeast  = 10 * time.Second // of watching, below which a rate is taken for that of so long
)

// Demand learns what customers ask at this edge, by part of the cycle in which its windows recur.
// It remembers so many customers at most; beyond it the one met longest ago is forgotten.
type Demand struct {
	cycle time.Duration // 0 is none: the present rate alone
	who   *simplelru.LRU[uint64, *asked]
	born  time.Duration
}

// asked is one customer's units.
type asked struct {
	parts  [phases]part
	recent float64 // units, each weighed down with its age by recentSpan
	at     time.Duration
	since  time.Duration
}

// part is what one part of the cycle has taught: units and the time in which they were asked, both
// weighed down by each cycle.
type part struct {
	units, span float64
	turn        int64 // cycle in which it was last touched
}

// NewDemand makes one for so many customers. now begins what is learnt.
func NewDemand(cycle time.Duration, customers int, now time.Duration) *Demand {
	who, err := simplelru.NewLRU[uint64, *asked](max(1, customers), nil)
	if err != nil { // of a size below one alone
		panic(err)
	}
	return &Demand{cycle: cycle, who: who, born: now}
}

// Len is how many customers are remembered.
func (d *Demand) Len() int { return d.who.Len() }

// place gives the cycle and the part of it that a time is in, and how far it is into that part, s.
func (d *Demand) place(now time.Duration) (turn int64, phase int, into float64) {
	width := d.cycle / phases
	since := now - d.born
	return int64(since / d.cycle), int(since % d.cycle / width), (since % width).Seconds()
}

// Saw takes units that a customer has asked for, let in or not.
func (d *Demand) Saw(now time.Duration, customer uint64, units float64) {
	a, ok := d.who.Get(customer)
	if !ok {
		a = &asked{at: now, since: now}
		d.who.Add(customer, a)
	}
	a.recent = a.recent*math.Exp(-(now-a.at).Seconds()/recentSpan.Seconds()) + units
	a.at = now
	if d.cycle < phases*time.Second {
		return
	}
	turn, phase, _ := d.place(now)
	p := &a.parts[phase]
	if p.span == 0 || p.turn != turn {
		*p = p.after(turn-p.turn, (d.cycle / phases).Seconds())
		p.turn = turn
	}
	p.units += units
}

// after gives a part when so many more cycles have come to it, the last of them without a request yet:
// each weighs what was before down.
func (p part) after(turns int64, width float64) part {
	if p.span == 0 {
		return part{span: width, turn: p.turn}
	}
	keep := math.Pow(demandKeep, float64(turns))
	return part{p.units * keep, p.span*keep + width*(1-keep)/(1-demandKeep), p.turn}
}

// rate is what a customer is taken to ask in a part of the cycle, units a second: what past cycles
// taught, with a little of the present rate; where they taught nothing, the present rate.
func (d *Demand) rate(a *asked, now time.Duration, phase int) float64 {
	watched := math.Max(spanLeast.Seconds(), math.Min(recentSpan.Seconds(), (now-a.since).Seconds()))
	present := a.recent * math.Exp(-(now-a.at).Seconds()/recentSpan.Seconds()) / watched
	if phase < 0 || a.parts[phase].span == 0 {
		return present
	}
	p, width := a.parts[phase], (d.cycle / phases).Seconds()
	turn, at, into := d.place(now)
	if missed := turn - p.turn - 1; missed > 0 { // without a request
		p = p.after(missed, width)
	}
	if a.parts[phase].turn == turn && at == phase { // this part is not over
		p.span -= width - into
	}
	const few = 10.0 // s that the present counts for beside what past cycles taught
	return (p.units + present*few) / (math.Max(p.span, 0) + few)
}

// Expect gives the units that a customer is taken to ask in a span that begins in so long, and for
// how much more than that it should be ready.
func (d *Demand) Expect(now time.Duration, customer uint64, in, length time.Duration) (units, spare float64) {
	a, ok := d.who.Peek(customer)
	if !ok {
		return 0, 0
	}
	if d.cycle < phases*time.Second {
		units = d.rate(a, now, -1) * length.Seconds()
		return units, spareRoots * math.Sqrt(units)
	}
	width := d.cycle / phases
	for from, end := now+in, now+in+length; from < end; {
		_, phase, _ := d.place(from)
		next := from + width - (from-d.born)%width
		units += d.rate(a, now, phase) * (min(next, end) - from).Seconds()
		from = next
	}
	return units, spareRoots * math.Sqrt(units)
}

// Customers gives those remembered, the one met longest ago first.
func (d *Demand) Customers() []uint64 { return d.who.Keys() }
