// Package zone is the pure part of leaving a zone that fails, and of returning to it. It is told how
// attempts went, by zone and server, and gives the part of its usual traffic that each zone may
// have. It has no clock, no socket and no goroutine; times are on the caller's monotonic clock.
//
// A zone is left at once where most of its servers fail, slowly where it is only worse than the
// others, in part where it serves less than it did, and never where the others can't bear it better or
// where what is seen speaks of this node alone. It is returned to in steps, each held until what comes
// back is good; one that is bad goes back to the step before and has the zone wait longer each time.
package zone

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Figures of the decisions, each with its reason.
const (
	bin       = 100 * time.Millisecond // evidence is counted by bins
	bins      = 10                     // so a second of it counts: to leave within one
	enough    = 8                      // attempts below which a zone is not judged: two of eight say nothing
	strong    = 0.6                    // lower bound of the failing part from which a zone is left at once
	weak      = 0.2                    // and from which it is suspect
	weakFor   = 3 * time.Second        // for which it has to be suspect to be left
	better    = 0.25                   // by which the others have to fail less
	wide      = 0.6                    // part of the servers seen that have to fail: less is the servers' matter, not the zone's
	confident = 1.64                   // deviations of the bounds: 95% one-sided
	slowFrom  = 2.0                    // times the others' answer from which a zone is taken to serve less
	slowLeast = 0.3                    // the least part that slowness alone leaves it
	slowGain  = 0.3                    // of the part, at each look
	holdFirst = 3 * time.Second        // for which a zone is left at first; doubles with each flap
	holdMost  = 2 * time.Minute
	flapAge   = time.Minute     // after which, whole, a flap is forgotten
	stepFirst = 0.05            // of the usual traffic, on return
	stepHold  = time.Second     // the least for which a step is held; evidence may ask for longer
	stepMost  = 5 * time.Second // for which a step without evidence is held: nobody sends there
	spareMost = 0.8             // part of its warm capacity that a zone is filled to by what another leaves
)

// State of a zone as one node sees it.
type State int

// The states.
const (
	Healthy State = iota
	Suspect
	Left
	Returning
)

func (s State) String() string {
	return [...]string{"healthy", "suspect", "left", "returning"}[s]
}

// Order is the operators' word on a zone, which goes before what is seen.
type Order int

// The orders.
const (
	None   Order = iota
	Leave        // send nothing there while another zone is there
	Hold         // change nothing
	Return       // come back now, in steps
)

var orders = [...]string{"none", "leave", "hold", "return"}

func (o Order) String() string { return orders[o] }

// OrderError is a word that is no order.
type OrderError struct{ Order string }

func (e *OrderError) Error() string {
	return fmt.Sprintf("zones: no order %q; give one of leave, hold, return and none", e.Order)
}

// ParseOrder reads an order by its name. Its error is an OrderError.
func ParseOrder(name string) (Order, error) {
	if i := slices.Index(orders[:], name); i >= 0 {
		return Order(i), nil
	}
	return None, &OrderError{name}
}

// Zone is what is known of one zone.
type Zone struct {
	Name     string
	Distance float64 // of its region and its price; the nearest are filled first
	Capacity float64 // requests a second that its warm servers bear, as measured; 0 is not known

	state   State
	part    float64 // of its usual traffic, that it may have
	since   time.Duration
	suspect time.Duration // since when; below zero is not
	hold    time.Duration // for which it is left, when it is
	order   Order
	why     string
	seen    [bins]counts
	slow    float64 // its answers' time over the others', smoothed
}

// Policy decides for one node. It is not safe for concurrent use.
type Policy struct {
	own   string
	zones []*Zone
	of    map[string]*Zone
}

// New makes the policy of a node in the zone own; zones are in any order.
func New(own string, zones []Zone) *Policy {
	p := &Policy{own: own, of: make(map[string]*Zone)}
	for _, z := range zones {
		z.part, z.suspect, z.hold = 1, -1, holdFirst
		p.zones = append(p.zones, &z)
		p.of[z.Name] = &z
	}
	slices.SortStableFunc(p.zones, func(a, b *Zone) int { return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.Name, b.Name)) })
	return p
}

// Tell takes the operators' order on a zone; false is a zone that is not known.
func (p *Policy) Tell(now time.Duration, zone string, o Order) bool {
	z := p.of[zone]
	if z == nil {
		return false
	}
	z.order = o
	switch o {
	case Leave:
		z.turn(now, Left, 0, "ordered")
	case Return:
		if z.state == Left {
			z.turn(now, Returning, stepFirst, "ordered")
		}
		z.order = None
	}
	return true
}

// turn changes a zone's state.
func (z *Zone) turn(now time.Duration, s State, part float64, why string) {
	if z.state != s || why != z.why {
		z.since = now
	}
	z.state, z.part, z.why, z.suspect = s, part, why, -1
}

// Look decides anew; it is called now and then, each 100 ms or so.
func (p *Policy) Look(now time.Duration) {
	seen := make([]evidence, len(p.zones))
	for i, z := range p.zones {
		seen[i] = z.evidence(now)
	}
	for i, z := range p.zones {
		rest := p.rest(seen, i)
		switch {
		case z.order != None:
		case z.state == Left:
			if now >= z.since+z.hold {
				z.turn(now, Returning, stepFirst, "returning")
			}
		case z.state == Returning:
			p.step(now, z, seen[i], rest)
		default:
			p.judge(now, z, seen[i], rest)
		}
	}
}

// judge decides on a zone that has all of its traffic, or nearly.
func (p *Policy) judge(now time.Duration, z *Zone, e, rest evidence) {
	if z.state == Healthy && now >= z.since+flapAge {
		z.hold = holdFirst
	}
	bad := e.n >= enough && e.failed >= wide && elsewhere(e, rest)
	switch {
	case bad && e.low >= strong:
		p.leave(now, z, "most of it fails")
		return
	case bad && e.low >= weak:
		if z.suspect < 0 {
			z.suspect = now
		}
		if z.state = Suspect; now >= z.suspect+weakFor {
			p.leave(now, z, "a part of it fails")
			return
		}
	default:
		z.suspect = -1
		if z.state == Suspect {
			z.turn(now, Healthy, z.part, "")
		}
	}
	p.brownout(z, e, rest)
}

// brownout lets a zone that answers slower than the others have less, in proportion, and gives it
// back as it answers faster.
func (p *Policy) brownout(z *Zone, e, rest evidence) {
	if e.n < enough || rest.n < enough || e.answer == 0 || rest.answer == 0 {
		return
	}
	z.slow += slowGain * (e.answer/rest.answer - z.slow)
	want := 1.0
	if z.slow > slowFrom {
		want = math.Max(slowLeast, slowFrom/z.slow)
	}
	if z.part += slowGain * (want - z.part); z.part > 0.99 {
		z.part = 1
	}
}

// leave sends no more to a zone, for longer each time.
func (p *Policy) leave(now time.Duration, z *Zone, why string) {
	if z.state == Returning || now < z.since+flapAge && z.since > 0 {
		z.hold = min(2*z.hold, holdMost)
	}
	z.turn(now, Left, 0, why)
}

// step takes the way back: the next step where this one was good, the one before at once where it
// was not, and the zone is left anew where that was the first.
func (p *Policy) step(now time.Duration, z *Zone, e, rest evidence) {
	held := now - z.since
	switch {
	case e.n >= enough && e.low >= weak && elsewhere(e, rest):
		z.hold = min(2*z.hold, holdMost)
		if z.part /= 4; z.part < stepFirst {
			z.turn(now, Left, 0, "failed on return")
			return
		}
		z.since = now
	case held >= stepHold && e.n >= enough && e.high < weak, held >= stepMost && e.low < weak:
		if z.part = math.Min(1, 2*z.part); z.part == 1 {
			z.turn(now, Healthy, 1, "")
			return
		}
		z.since = now
	}
}
