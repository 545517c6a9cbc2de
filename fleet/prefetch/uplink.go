package prefetch

import (
	"fmt"
	"time"
)

// State is how an edge stands to its link.
type State int

// The states.
const (
	Clear     State = iota // the link is there and no window near
	Fetching               // a window is near: what is needed in it is on its way
	Ready                  // all that was chosen is there
	Cut                    // the link is gone, as the calendar has it
	Returning              // the link is back: units go back, others are heard again
	Surprised              // the link went or stayed against the calendar
)

var stateNames = [...]string{"clear", "fetching", "ready", "cut", "returning", "surprised"}

func (s State) String() string { return stateNames[s] }

const (
	// Early is how long before its published start a window may begin and still be the known one, clock skew included.
	Early = 5 * time.Second
	// Late is how long after its published start a window may begin and still be the known one, clock skew included.
	Late = 5 * time.Second

	goneAfter = 1500 * time.Millisecond // without a word of anybody outside, by which the link counts as gone
	backFor   = 500 * time.Millisecond  // of words from outside, by which it counts as back
	calmFor   = 3 * time.Second         // after which a return is over; longer than a link is gone before that shows
	spread    = time.Second             // over which the edges of one window come back
	stepEach  = 250 * time.Millisecond  // between two looks at the link
)

// Change is a change of state with its reason.
type Change struct {
	From, To State
	Reason   string
}

// Uplink is the state of an edge's link. Not safe for concurrent use.
type Uplink struct {
	state   State
	lead    time.Duration // before a window, in which is fetched
	turn    float64       // of 0 to 1, this edge's place in a return
	span    Span          // the window that the state is about; empty is none
	has     bool
	since   time.Duration // own time of the last change
	heardAt time.Duration // last word from outside
	fromAt  time.Duration // from which words came without a gap
	left    int           // of what was chosen, not there yet
	doneTo  time.Duration // end of the last window in which the link was gone and came back: nothing more is fetched for it
}

// NewUplink makes one that fetches for lead before each window. turn, from 0 to 1, is this edge's
// place among those that come back together.
func NewUplink(lead time.Duration, turn float64, now time.Duration) *Uplink {
	return &Uplink{lead: lead, turn: turn, since: now, heardAt: now, fromAt: now}
}

// State gives the state and, if it is about a window, that window.
func (u *Uplink) State() (State, Span, bool) { return u.state, u.span, u.has }

// Heard takes a word from outside the site.
func (u *Uplink) Heard(now time.Duration) {
	if now-u.heardAt > goneAfter {
		u.fromAt = now
	}
	u.heardAt = now
}

// Fetched takes how much of what was chosen is not there yet.
func (u *Uplink) Fetched(left int) { u.left = left }

// Step brings the state up to now. at is the fleet time with its error, next the window that the
// calendar has then or after it. It tells the change, if there is one, and when to step again at the
// latest. A window that has begun while the link stays is not fetched for any more.
func (u *Uplink) Step(now, at, err time.Duration, next Span, has bool) (c Change, changed bool, again time.Duration) {
	to, reason := u.decide(now, at, err, next, has)
	if to != u.state {
		c, changed = Change{u.state, to, reason}, true
		if u.state == Cut && u.has && at >= u.span.From {
			u.doneTo = u.span.To
		}
		u.state, u.since = to, now
	}
	if u.state != Cut && u.state != Returning {
		u.span, u.has = next, has
	}
	return c, changed, now + stepEach
}

func (u *Uplink) decide(now, at, err time.Duration, next Span, has bool) (State, string) {
	gone := now-u.heardAt > goneAfter
	back := !gone && now-u.fromAt >= backFor
	near := has && at+err >= next.From-Early // the window may have begun
	past := has && at-err > next.From+Late+goneAfter
	switch u.state {
	case Clear:
		switch {
		case gone && near:
			return Cut, "the link went before anything was fetched"
		case gone:
			return Surprised, "the link went and no window is known"
		case has && next.To > u.doneTo && at+err >= next.From-u.lead && !past:
			return Fetching, fmt.Sprintf("a window begins in %.1f s", (next.From - at).Seconds())
		}
	case Fetching, Ready:
		switch {
		case gone && near:
			return Cut, "the link went in its window"
		case gone:
			return Surprised, "the link went before its window"
		case past:
			return Surprised, "the window began and the link stays"
		case !has || at+err < next.From-u.lead-Early:
			return Clear, "the calendar has another window now"
		case u.state == Fetching && u.left == 0:
			return Ready, "all that was chosen is there"
		case u.state == Ready && u.left > 0:
			return Fetching, "more was chosen"
		}
	case Cut:
		if back && now-u.fromAt >= backFor+time.Duration(u.turn*float64(spread)) {
			return Returning, "the link is back"
		}
	case Returning:
		switch {
		case gone:
			return Cut, "the link went again"
		case now-u.since >= calmFor:
			return Clear, "the return is over"
		}
	case Surprised:
		switch {
		case gone && near:
			return Cut, "the link is gone in its window"
		case back && now-u.since >= calmFor:
			return Returning, "the link is there against the calendar"
		}
	}
	return u.state, ""
}
