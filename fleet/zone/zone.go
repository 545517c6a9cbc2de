// Package zone decides which zones a node evacuates, and returns traffic to them on a recovery ramp. The caller passes
// the outcomes of attempts, by zone and server, to Policy.Observe, calls Policy.Update regularly, and applies the
// fraction of its usual traffic that Policy.TrafficFractions returns for each zone. The package has no clock, socket or
// goroutine; times are on the caller's monotonic clock. docs/design.md ("Zone evacuation") specifies the rules.
//
// A zone is evacuated immediately if most of its attempts fail, and after suspectTime if fewer of them fail. In both
// cases most of its servers must be failing and the other zones must be healthier; otherwise the cause may be this
// node. A zone that responds more slowly than the others receives less traffic.
//
// After an evacuation the traffic is raised step by step while attempts succeed. If they fail, the traffic is reduced
// and the next evacuation lasts longer.
package zone

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Attempts are counted in a sliding window of binCount bins.
const (
	binWidth         = 100 * time.Millisecond
	binCount         = 10   // the window is one second, so that a zone can be evacuated within a second
	minAttempts      = 8    // number of attempts in the window below which a zone is not evaluated
	confidenceZScore = 1.64 // z-score of the bounds of a failure rate: 95% one-sided
)

// Conditions of an evacuation.
const (
	evacuateFailureRate = 0.6             // lower bound of the failure rate from which a zone is evacuated immediately
	suspectFailureRate  = 0.2             // lower bound of the failure rate from which a zone is suspect
	suspectTime         = 3 * time.Second // time after which a suspect zone is evacuated
	minFailureRateGap   = 0.25            // minimum difference to the failure rate of the other zones
	// minFailingServerFraction is the minimum fraction of failing servers among those with attempts. Below it, the
	// cause is taken to be the servers and not the zone.
	minFailingServerFraction = 0.6

	initialEvacuationTime = 3 * time.Second // minimum duration of a first evacuation; it doubles with each flap
	maxEvacuationTime     = 2 * time.Minute // maximum of that duration
	flapResetTime         = time.Minute     // time for which a zone must be healthy before its flaps are forgotten
)

// Limits of the traffic of a zone that is slow, on the recovery ramp, or receives the traffic of another zone.
const (
	slowResponseRatio   = 2.0             // ratio to the response time of the other zones above which a zone is slow
	minSlowFraction     = 0.3             // minimum fraction of its usual traffic that a slow zone keeps
	slowSmoothing       = 0.3             // weight of the new value when ratio and fraction are smoothed, per Update
	initialRampFraction = 0.05            // fraction of the usual traffic in the first step of the ramp
	minRampStepTime     = time.Second     // minimum duration of a step
	maxRampStepTime     = 5 * time.Second // duration of a step if there are too few attempts to show that it succeeded
	maxFillFraction     = 0.8             // fraction of a zone's warm capacity that counts as usable
)

// State is the state of a zone as one node sees it.
type State int

// States of a zone.
const (
	Healthy   State = iota
	Suspect         // attempts fail, but not enough to evacuate the zone immediately
	Evacuated       // receives no traffic while another zone can take it
	Returning       // on the recovery ramp
)

func (s State) String() string {
	return [...]string{"healthy", "suspect", "left", "returning"}[s]
}

// Order is an operator's order on a zone. It takes precedence over the outcomes of attempts.
type Order int

// Orders that an operator can give.
const (
	NoOrder Order = iota
	Leave         // evacuate the zone as long as another zone can take its traffic
	Hold          // keep the present state and fraction
	Return        // start the recovery ramp now if the zone is evacuated
)

var orders = [...]string{"none", "leave", "hold", "return"}

func (o Order) String() string { return orders[o] }

// OrderError is the error for a name that is not an order.
type OrderError struct{ Order string }

func (e *OrderError) Error() string {
	return fmt.Sprintf("zones: unknown order %q; give one of leave, hold, return and none", e.Order)
}

// ParseOrder returns the order with the given name, as returned by Order.String. Its error is an *OrderError.
func ParseOrder(name string) (Order, error) {
	if i := slices.Index(orders[:], name); i >= 0 {
		return Order(i), nil
	}
	return NoOrder, &OrderError{name}
}

// Zone is one zone. The caller of New sets Name, Distance and Capacity.
type Zone struct {
	Name     string
	Distance float64 // by region and cost of crossing zones; the nearest zones receive traffic first
	Capacity float64 // requests per second that the zone's warm servers can serve; 0 means unknown

	state                State
	fraction             float64       // fraction of its usual traffic that the zone may receive
	since                time.Duration // time of the last change of state, reason or ramp step
	suspectSince         time.Duration // time since which the zone is suspect; negative if it is not
	evacuationTime       time.Duration // minimum duration of an evacuation
	order                Order
	reason               string
	bins                 [binCount]outcomeBin // ring, indexed by bin number modulo binCount
	relativeResponseTime float64              // smoothed ratio to the response time of the other zones
}

// Policy decides on the zones for one node. It is not safe for concurrent use.
type Policy struct {
	own    string  // name of the zone that the node is in; no decision depends on it
	zones  []*Zone // the nearest first
	byName map[string]*Zone
}

// New returns the policy of a node. own is the name of the zone that the node is in; zones may be in any order.
func New(own string, zones []Zone) *Policy {
	p := &Policy{own: own, byName: make(map[string]*Zone)}
	for _, z := range zones {
		z.fraction, z.suspectSince, z.evacuationTime = 1, -1, initialEvacuationTime
		p.zones = append(p.zones, &z)
		p.byName[z.Name] = &z
	}
	slices.SortStableFunc(p.zones, func(a, b *Zone) int { return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.Name, b.Name)) })
	return p
}

// SetOrder applies an operator's order to a zone. It returns false if the zone is unknown.
func (p *Policy) SetOrder(now time.Duration, zone string, o Order) bool {
	z := p.byName[zone]
	if z == nil {
		return false
	}
	z.order = o
	switch o {
	case Leave:
		z.setState(now, Evacuated, 0, "ordered")
	case Return:
		if z.state == Evacuated {
			z.setState(now, Returning, initialRampFraction, "ordered")
		}
		z.order = NoOrder
	}
	return true
}

// setState sets the state, fraction and reason of a zone and ends its time as a suspect.
func (z *Zone) setState(now time.Duration, s State, fraction float64, reason string) {
	if z.state != s || reason != z.reason {
		z.since = now
	}
	z.state, z.fraction, z.reason, z.suspectSince = s, fraction, reason, -1
}

// Update evaluates all zones without an order and changes their states and fractions. It is to be called about every
// 100 ms.
func (p *Policy) Update(now time.Duration) {
	byZone := make([]attemptStats, len(p.zones))
	for i, z := range p.zones {
		byZone[i] = z.attemptStats(now)
	}
	for i, z := range p.zones {
		others := p.statsOfOthers(byZone, i)
		switch {
		case z.order != NoOrder:
		case z.state == Evacuated:
			if now >= z.since+z.evacuationTime {
				z.setState(now, Returning, initialRampFraction, "returning")
			}
		case z.state == Returning:
			p.advanceRamp(now, z, byZone[i], others)
		default:
			p.evaluate(now, z, byZone[i], others)
		}
	}
}

// evaluate evaluates a zone that is healthy or suspect.
func (p *Policy) evaluate(now time.Duration, z *Zone, stats, others attemptStats) {
	if z.state == Healthy && now >= z.since+flapResetTime {
		z.evacuationTime = initialEvacuationTime
	}
	failing := stats.attempts >= minAttempts && stats.failingServerFraction >= minFailingServerFraction && othersHealthier(stats, others)
	switch {
	case failing && stats.failureRateLow >= evacuateFailureRate:
		p.evacuate(now, z, "most of it fails")
		return
	case failing && stats.failureRateLow >= suspectFailureRate:
		if z.suspectSince < 0 {
			z.suspectSince = now
		}
		z.state = Suspect
		if now >= z.suspectSince+suspectTime {
			p.evacuate(now, z, "a part of it fails")
			return
		}
	default:
		z.suspectSince = -1
		if z.state == Suspect {
			z.setState(now, Healthy, z.fraction, "")
		}
	}
	p.adjustForResponseTime(z, stats, others)
}

// adjustForResponseTime reduces the traffic of a zone in proportion as it responds more slowly than the others, and
// raises it again when the zone responds faster.
func (p *Policy) adjustForResponseTime(z *Zone, stats, others attemptStats) {
	if stats.attempts < minAttempts || others.attempts < minAttempts || stats.responseSeconds == 0 || others.responseSeconds == 0 {
		return
	}
	z.relativeResponseTime += slowSmoothing * (stats.responseSeconds/others.responseSeconds - z.relativeResponseTime)
	target := 1.0
	if z.relativeResponseTime > slowResponseRatio {
		target = math.Max(minSlowFraction, slowResponseRatio/z.relativeResponseTime)
	}
	z.fraction += slowSmoothing * (target - z.fraction)
	if z.fraction > 0.99 {
		z.fraction = 1
	}
}

// evacuate evacuates a zone, for longer if it was healthy for less than flapResetTime.
func (p *Policy) evacuate(now time.Duration, z *Zone, reason string) {
	if z.state == Returning || (now < z.since+flapResetTime && z.since > 0) {
		z.evacuationTime = min(2*z.evacuationTime, maxEvacuationTime)
	}
	z.setState(now, Evacuated, 0, reason)
}

// advanceRamp moves a zone along the recovery ramp. If the attempts of the present step succeed, the fraction is
// doubled; if they fail, it is immediately divided by 4, and the zone is evacuated again if that is below the first
// step.
func (p *Policy) advanceRamp(now time.Duration, z *Zone, stats, others attemptStats) {
	elapsed := now - z.since
	switch {
	case stats.attempts >= minAttempts && stats.failureRateLow >= suspectFailureRate && othersHealthier(stats, others):
		z.evacuationTime = min(2*z.evacuationTime, maxEvacuationTime)
		z.fraction /= 4
		if z.fraction < initialRampFraction {
			z.setState(now, Evacuated, 0, "failed on return")
			return
		}
		z.since = now
	case elapsed >= minRampStepTime && stats.attempts >= minAttempts && stats.failureRateHigh < suspectFailureRate, elapsed >= maxRampStepTime && stats.failureRateLow < suspectFailureRate:
		z.fraction = math.Min(1, 2*z.fraction)
		if z.fraction == 1 {
			z.setState(now, Healthy, 1, "")
			return
		}
		z.since = now
	}
}
