// Package zone decides which zones a node evacuates, and how it returns to them by a recovery ramp. It gets the outcomes of
// attempts by zone and server, and gives the fraction of its usual traffic that each zone may have. It has no clock, no
// socket and no goroutine; times are on the caller's monotonic clock. The rules are in docs/design.md, "Zone evacuation".
//
// A zone is evacuated at once where most of its servers fail, after a while where it only fails more than the others, in
// part where it answers slower than they do, and never where the others are not better or the evidence is about this node
// alone. The ramp goes on where the attempts of its step succeed; a step that fails goes back to the one before and has the
// zone stay evacuated for longer the next time.
package zone

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Evidence is counted over a sliding window of evidenceBins bins.
const (
	binWidth         = 100 * time.Millisecond
	binCount         = 10   // a window of one second, so that a zone can be evacuated within one
	minAttempts      = 8    // in the window, below which a zone is not judged
	confidenceZScore = 1.64 // of the bounds of a failure rate: 95% one-sided
)

// Conditions of an evacuation.
const (
	evacuateFailureRate = 0.6             // lower bound of the failure rate from which a zone is evacuated at once
	suspectFailureRate  = 0.2             // and from which it is suspect
	suspectTime         = 3 * time.Second // for which it has to be suspect to be evacuated
	minFailureRateGap   = 0.25            // by which the other zones have to fail less
	minFailingServers   = 0.6             // fraction of the servers seen that have to fail; less is not the zone's fault

	initialEvacuationTime = 3 * time.Second // least time of a first evacuation; it doubles with each flap
	maxEvacuationTime     = 2 * time.Minute
	flapResetTime         = time.Minute // healthy time after which flaps are forgotten
)

// Bounds of what a zone gets that is slow, on the ramp, or takes another one's traffic.
const (
	slowResponseRatio   = 2.0 // of the answer time to that of the other zones, from which a zone gets less
	minSlowFraction     = 0.3 // least fraction that slowness alone leaves it
	slowSmoothing       = 0.3 // of ratio and fraction, at each Update
	initialRampFraction = 0.05
	minRampStepTime     = time.Second
	maxRampStepTime     = 5 * time.Second
	maxFillFraction     = 0.8 // of a zone's warm capacity that another one's traffic may fill
)

// State of a zone as one node sees it.
type State int

// The states.
const (
	Healthy State = iota
	Suspect
	Evacuated
	Returning
)

func (s State) String() string {
	return [...]string{"healthy", "suspect", "left", "returning"}[s]
}

// Order is an operator's order on a zone. It goes before the evidence.
type Order int

// The orders.
const (
	NoOrder Order = iota
	Leave         // send nothing there while another zone is there
	Hold          // change nothing
	Return        // come back now, in steps
)

var orders = [...]string{"none", "leave", "hold", "return"}

func (o Order) String() string { return orders[o] }

// OrderError is a name that is no order.
type OrderError struct{ Order string }

func (e *OrderError) Error() string {
	return fmt.Sprintf("zones: no order %q; give one of leave, hold, return and none", e.Order)
}

// ParseOrder returns the order with a name. Its error is an *OrderError.
func ParseOrder(name string) (Order, error) {
	if i := slices.Index(orders[:], name); i >= 0 {
		return Order(i), nil
	}
	return NoOrder, &OrderError{name}
}

// Zone is one zone. Name, Distance and Capacity are given to New.
type Zone struct {
	Name     string
	Distance float64 // by region and cost of crossing; the nearest are filled first
	Capacity float64 // requests a second that its warm servers can take; 0 is not known

	state                State
	fraction             float64 // of its usual traffic that it may have
	since                time.Duration
	suspectSince         time.Duration // since when; below zero is not
	evacuationTime       time.Duration // least time of an evacuation
	order                Order
	reason               string
	bins                 [binCount]outcomeBin
	relativeResponseTime float64 // to the other zones, smoothed
}

// Policy is the decisions of one node. It is not safe for concurrent use.
type Policy struct {
	own    string
	zones  []*Zone
	byName map[string]*Zone
}

// New returns the policy of a node in the zone own; zones may be in any order.
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

// SetOrder takes an operator's order on a zone. It returns false where the zone is not known.
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

// setState changes a zone's state.
func (z *Zone) setState(now time.Duration, s State, fraction float64, reason string) {
	if z.state != s || reason != z.reason {
		z.since = now
	}
	z.state, z.fraction, z.reason, z.suspectSince = s, fraction, reason, -1
}

// Update decides anew. It is to be called every 100 ms or so.
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

// judge decides on a zone that is healthy or suspect.
func (p *Policy) evaluate(now time.Duration, z *Zone, stats, others attemptStats) {
	if z.state == Healthy && now >= z.since+flapResetTime {
		z.evacuationTime = initialEvacuationTime
	}
	failing := stats.attempts >= minAttempts && stats.failingServers >= minFailingServers && othersHealthier(stats, others)
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

// brownout gives a zone that answers slower than the others less traffic, in proportion, and gives it back as the zone
// answers faster.
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

// evacuate stops sending to a zone, for longer at each flap.
func (p *Policy) evacuate(now time.Duration, z *Zone, reason string) {
	if z.state == Returning || (now < z.since+flapResetTime && z.since > 0) {
		z.evacuationTime = min(2*z.evacuationTime, maxEvacuationTime)
	}
	z.setState(now, Evacuated, 0, reason)
}

// rampStep decides on a zone on the recovery ramp: the next step where the attempts of this one succeed, the one before at
// once where they fail, and an evacuation where that was the first step.
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
