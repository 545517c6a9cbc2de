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
	MaxEarlyStart = 5 * time.Second
	// Late is how long after its published start a window may begin and still be the known one, clock skew included.
	MaxLateStart = 5 * time.Second

	lossTimeout  = 1500 * time.Millisecond // without a word of anybody outside, by which the link counts as gone
	restoreDelay = 500 * time.Millisecond  // of words from outside, by which it counts as back
	settleDelay  = 3 * time.Second         // after which a return is over; longer than a link is gone before that shows
	returnSpread = time.Second             // over which the edges of one window come back
	stepInterval = 250 * time.Millisecond  // between two looks at the link
)

// Change is a change of state with its reason.
type Change struct {
	From, To State
	Reason   string
}

// Uplink is the state of an edge's link. Not safe for concurrent use.
type Uplink struct {
	state          State
	fetchLead      time.Duration // before a window, in which is fetched
	returnOrder    float64       // of 0 to 1, this edge's place in a return
	outage         Outage        // the window that the state is about; empty is none
	hasOutage      bool
	changedAt      time.Duration // own time of the last change
	receivedAt     time.Duration // last word from outside
	receivingSince time.Duration // from which words came without a gap
	missing        int           // of what was chosen, not there yet
	finishedUntil  time.Duration // end of the last window in which the link was gone and came back: nothing more is fetched for it
}

// NewUplink makes one that fetches for lead before each window. turn, from 0 to 1, is this edge's
// place among those that come back together.
func NewUplink(fetchLead time.Duration, returnOrder float64, now time.Duration) *Uplink {
	return &Uplink{fetchLead: fetchLead, returnOrder: returnOrder, changedAt: now, receivedAt: now, receivingSince: now}
}

// State gives the state and, if it is about a window, that window.
func (u *Uplink) State() (State, Outage, bool) { return u.state, u.outage, u.hasOutage }

// Heard takes a word from outside the site.
func (u *Uplink) Received(now time.Duration) {
	if now-u.receivedAt > lossTimeout {
		u.receivingSince = now
	}
	u.receivedAt = now
}

// Fetched takes how much of what was chosen is not there yet.
func (u *Uplink) SetMissing(missing int) { u.missing = missing }

// Step brings the state up to now. at is the fleet time with its error, next the window that the
// calendar has then or after it. It tells the change, if there is one, and when to step again at the
// latest. A window that has begun while the link stays is not fetched for any more.
func (u *Uplink) Step(now, fleetTime, maxError time.Duration, next Outage, hasNext bool) (change Change, changed bool, stepAt time.Duration) {
	to, reason := u.decide(now, fleetTime, maxError, next, hasNext)
	if to != u.state {
		change, changed = Change{u.state, to, reason}, true
		if u.state == Cut && u.hasOutage && fleetTime >= u.outage.Start {
			u.finishedUntil = u.outage.End
		}
		u.state, u.changedAt = to, now
	}
	if u.state != Cut && u.state != Returning {
		u.outage, u.hasOutage = next, hasNext
	}
	return change, changed, now + stepInterval
}

func (u *Uplink) decide(now, fleetTime, maxError time.Duration, next Outage, hasNext bool) (State, string) {
	lost := now-u.receivedAt > lossTimeout
	restored := !lost && now-u.receivingSince >= restoreDelay
	mayHaveStarted := hasNext && fleetTime+maxError >= next.Start-MaxEarlyStart // the window may have begun
	startMissed := hasNext && fleetTime-maxError > next.Start+MaxLateStart+lossTimeout
	switch u.state {
	case Clear:
		switch {
		case lost && mayHaveStarted:
			return Cut, "the link went before anything was fetched"
		case lost:
			return Surprised, "the link went and no window is known"
		case hasNext && next.End > u.finishedUntil && fleetTime+maxError >= next.Start-u.fetchLead && !startMissed:
			return Fetching, fmt.Sprintf("a window begins in %.1f s", (next.Start - fleetTime).Seconds())
		}
	case Fetching, Ready:
		switch {
		case lost && mayHaveStarted:
			return Cut, "the link went in its window"
		case lost:
			return Surprised, "the link went before its window"
		case startMissed:
			return Surprised, "the window began and the link stays"
		case !hasNext || fleetTime+maxError < next.Start-u.fetchLead-MaxEarlyStart:
			return Clear, "the calendar has another window now"
		case u.state == Fetching && u.missing == 0:
			return Ready, "all that was chosen is there"
		case u.state == Ready && u.missing > 0:
			return Fetching, "more was chosen"
		}
	case Cut:
		if restored && now-u.receivingSince >= restoreDelay+time.Duration(u.returnOrder*float64(returnSpread)) {
			return Returning, "the link is back"
		}
	case Returning:
		switch {
		case lost:
			return Cut, "the link went again"
		case now-u.changedAt >= settleDelay:
			return Clear, "the return is over"
		}
	case Surprised:
		switch {
		case lost && mayHaveStarted:
			return Cut, "the link is gone in its window"
		case restored && now-u.changedAt >= settleDelay:
			return Returning, "the link is there against the calendar"
		}
	}
	return u.state, ""
}
