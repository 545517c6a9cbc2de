package prefetch

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// phaseCount is the number of phases of a cycle. Each has an estimate of its own.
	phaseCount = 12
	// retainedPerCycle is the weight that past observations of a phase keep in each further cycle.
	retainedPerCycle = 0.7
	// recentTimeConstant is the time constant of the decay of a tenant's present rate.
	recentTimeConstant = 2 * time.Minute
	// marginRoots is the margin in square roots of the expected tokens: two standard deviations for requests
	// of about four tokens each.
	marginRoots = 4
	// minObservation is the minimum time by which recent tokens are divided. Without it a tenant's first
	// request would make a high rate.
	minObservation = 10 * time.Second
)

// Demand estimates the tokens that tenants request at this edge, separately for each phase of the cycle
// in which its outages recur. It holds a limited number of tenants and evicts the least recently observed
// one.
type Demand struct {
	cycle     time.Duration // 0 means no cycle: estimates use the present rate only
	tenants   *simplelru.LRU[uint64, *tenantDemand]
	startedAt time.Duration
}

// tenantDemand holds the observations of one tenant.
type tenantDemand struct {
	phases       [phaseCount]phaseDemand
	recentTokens float64 // tokens, weighted by an exponential decay with recentTimeConstant
	updatedAt    time.Duration
	firstSeenAt  time.Duration
}

// phaseDemand holds the observations of one phase of the cycle: tokens and the time in which they were
// requested. Both are weighted down by each further cycle.
type phaseDemand struct {
	tokens, seconds float64
	cycle           int64 // number of the cycle in which it was last updated
}

// NewDemand returns an estimator for at most maxTenants tenants, whose first cycle starts now. A cycle of
// less than one second per phase, such as 0, disables the estimates by phase.
func NewDemand(cycle time.Duration, maxTenants int, now time.Duration) *Demand {
	tenants, err := simplelru.NewLRU[uint64, *tenantDemand](max(1, maxTenants), nil)
	if err != nil { // only for a size below 1
		panic(err)
	}
	return &Demand{cycle: cycle, tenants: tenants, startedAt: now}
}

// Len returns the number of tenants held.
func (d *Demand) Len() int { return d.tenants.Len() }

// position returns the number of the cycle and the phase that a time is in, and the seconds since that
// phase started.
func (d *Demand) position(now time.Duration) (cycle int64, phase int, secondsInto float64) {
	width := d.cycle / phaseCount
	elapsed := now - d.startedAt
	return int64(elapsed / d.cycle), int(elapsed % d.cycle / width), (elapsed % width).Seconds()
}

// Observe records tokens that a tenant has requested, whether or not they were admitted.
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

// afterCycles returns the observations after a number of further cycles, without requests in them. Each
// reduces the weight of earlier observations and adds the length of one phase, width, in seconds.
func (p phaseDemand) afterCycles(cycles int64, width float64) phaseDemand {
	if p.seconds == 0 {
		return phaseDemand{seconds: width, cycle: p.cycle}
	}
	retained := math.Pow(retainedPerCycle, float64(cycles))
	return phaseDemand{p.tokens * retained, p.seconds*retained + width*(1-retained)/(1-retainedPerCycle), p.cycle}
}

// tokensPerSecond returns the expected rate of a tenant in a phase: the mean of past cycles with a small
// weight of the present rate. It is the present rate if the phase has no observations or is negative.
func (d *Demand) tokensPerSecond(demand *tenantDemand, now time.Duration, phase int) float64 {
	observed := math.Max(minObservation.Seconds(), math.Min(recentTimeConstant.Seconds(), (now-demand.firstSeenAt).Seconds()))
	present := demand.recentTokens * math.Exp(-(now-demand.updatedAt).Seconds()/recentTimeConstant.Seconds()) / observed
	if phase < 0 || demand.phases[phase].seconds == 0 {
		return present
	}
	p, width := demand.phases[phase], (d.cycle / phaseCount).Seconds()
	cycle, currentPhase, secondsInto := d.position(now)
	if idleCycles := cycle - p.cycle - 1; idleCycles > 0 { // cycles without a request
		p = p.afterCycles(idleCycles, width)
	}
	if demand.phases[phase].cycle == cycle && currentPhase == phase { // the phase has not ended yet
		p.seconds -= width - secondsInto
	}
	const recentWeight = 10.0 // weight of the present rate, in seconds of observation
	return (p.tokens + present*recentWeight) / (math.Max(p.seconds, 0) + recentWeight)
}

// Expect returns the tokens that a tenant is expected to request in a period that starts in startsIn and
// lasts length, and the margin to add for the variation of demand. Both are 0 for an unknown tenant.
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

// Tenants returns the tenants held, least recently observed first.
func (d *Demand) Tenants() []uint64 { return d.tenants.Keys() }
