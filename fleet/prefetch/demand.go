package prefetch

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	phaseCount         = 12               // parts of a cycle that are learnt apart
	retainedPerCycle   = 0.7              // of what a part of the cycle has taught, that stays to the next cycle
	recentTimeConstant = 2 * time.Minute  // over which the present rate of a customer is reckoned
	marginRoots        = 4                // two deviations of what requests of some four units ask, in roots of the units
	minObservation     = 10 * time.Second // of watching, below which a rate is taken for that of so long
)

// Demand learns what customers ask at this edge, by part of the cycle in which its windows recur.
// It remembers so many customers at most; beyond it the one met longest ago is forgotten.
type Demand struct {
	cycle     time.Duration // 0 is none: the present rate alone
	tenants   *simplelru.LRU[uint64, *tenantDemand]
	startedAt time.Duration
}

// asked is one customer's units.
type tenantDemand struct {
	phases       [phaseCount]phaseDemand
	recentTokens float64 // units, each weighed down with its age by recentSpan
	updatedAt    time.Duration
	firstSeenAt  time.Duration
}

// part is what one part of the cycle has taught: units and the time in which they were asked, both
// weighed down by each cycle.
type phaseDemand struct {
	tokens, seconds float64
	cycle           int64 // cycle in which it was last touched
}

// NewDemand makes one for so many customers. now begins what is learnt.
func NewDemand(cycle time.Duration, maxTenants int, now time.Duration) *Demand {
	tenants, err := simplelru.NewLRU[uint64, *tenantDemand](max(1, maxTenants), nil)
	if err != nil { // of a size below one alone
		panic(err)
	}
	return &Demand{cycle: cycle, tenants: tenants, startedAt: now}
}

// Len is how many customers are remembered.
func (d *Demand) Len() int { return d.tenants.Len() }

// place gives the cycle and the part of it that a time is in, and how far it is into that part, s.
func (d *Demand) position(now time.Duration) (cycle int64, phase int, secondsInto float64) {
	width := d.cycle / phaseCount
	elapsed := now - d.startedAt
	return int64(elapsed / d.cycle), int(elapsed % d.cycle / width), (elapsed % width).Seconds()
}

// Saw takes units that a customer has asked for, let in or not.
func (d *Demand) Observe(now time.Duration, tenant uint64, tokens float64) {
	demand, ok := d.tenants.Get(tenant)
	if !ok {
		demand = &tenantDemand{updatedAt: now, firstSeenAt: now}
		d.tenants.Add(tenant, demand)
	}
	demand.recentTokens = demand.recentTokens*math.Exp(-(now-demand.updatedAt).Seconds()/recentTimeConstant.Seconds()) + tokens
	demand.updatedAt = now
	if d.cycle < phaseCount*time.Second {
		return
	}
	cycle, phase, _ := d.position(now)
	p := &demand.phases[phase]
	if p.seconds == 0 || p.cycle != cycle {
		*p = p.afterCycles(cycle-p.cycle, (d.cycle / phaseCount).Seconds())
		p.cycle = cycle
	}
	p.tokens += tokens
}

// after gives a part when so many more cycles have come to it, the last of them without a request yet:
// each weighs what was before down.
func (p phaseDemand) afterCycles(cycles int64, width float64) phaseDemand {
	if p.seconds == 0 {
		return phaseDemand{seconds: width, cycle: p.cycle}
	}
	retained := math.Pow(retainedPerCycle, float64(cycles))
	return phaseDemand{p.tokens * retained, p.seconds*retained + width*(1-retained)/(1-retainedPerCycle), p.cycle}
}

// rate is what a customer is taken to ask in a part of the cycle, units a second: what past cycles
// taught, with a little of the present rate; where they taught nothing, the present rate.
func (d *Demand) tokensPerSecond(demand *tenantDemand, now time.Duration, phase int) float64 {
	observed := math.Max(minObservation.Seconds(), math.Min(recentTimeConstant.Seconds(), (now-demand.firstSeenAt).Seconds()))
	present := demand.recentTokens * math.Exp(-(now-demand.updatedAt).Seconds()/recentTimeConstant.Seconds()) / observed
	if phase < 0 || demand.phases[phase].seconds == 0 {
		return present
	}
	p, width := demand.phases[phase], (d.cycle / phaseCount).Seconds()
	cycle, currentPhase, secondsInto := d.position(now)
	if idleCycles := cycle - p.cycle - 1; idleCycles > 0 { // without a request
		p = p.afterCycles(idleCycles, width)
	}
	if demand.phases[phase].cycle == cycle && currentPhase == phase { // this part is not over
		p.seconds -= width - secondsInto
	}
	const recentWeight = 10.0 // s that the present counts for beside what past cycles taught
	return (p.tokens + present*recentWeight) / (math.Max(p.seconds, 0) + recentWeight)
}

// Expect gives the units that a customer is taken to ask in a span that begins in so long, and for
// how much more than that it should be ready.
func (d *Demand) Expect(now time.Duration, tenant uint64, startsIn, length time.Duration) (tokens, margin float64) {
	demand, ok := d.tenants.Peek(tenant)
	if !ok {
		return 0, 0
	}
	if d.cycle < phaseCount*time.Second {
		tokens = d.tokensPerSecond(demand, now, -1) * length.Seconds()
		return tokens, marginRoots * math.Sqrt(tokens)
	}
	width := d.cycle / phaseCount
	for from, end := now+startsIn, now+startsIn+length; from < end; {
		_, phase, _ := d.position(from)
		phaseEnd := from + width - (from-d.startedAt)%width
		tokens += d.tokensPerSecond(demand, now, phase) * (min(phaseEnd, end) - from).Seconds()
		from = phaseEnd
	}
	return tokens, marginRoots * math.Sqrt(tokens)
}

// Customers gives those remembered, the one met longest ago first.
func (d *Demand) Tenants() []uint64 { return d.tenants.Keys() }
