package prefetch

import (
	"fmt"
	"time"
)

// State is the state of an edge's uplink.
type State int

// The states of an uplink.
const (
	Clear     State = iota // The link is up and no outage is near.
	Fetching               // An outage is near, and the chosen items are being fetched.
	Ready                  // All chosen items have been fetched.
	Cut                    // The link is down, as planned in the calendar.
	Returning              // The link is up again: reservations are released and peers are received.
	Surprised              // The link is down or up contrary to the calendar.
)

var stateNames = [...]string{"clear", "fetching", "ready", "cut", "returning", "surprised"}

func (s State) String() string { return stateNames[s] }

const (
	// MaxEarlyStart is the time before the start of a planned outage from which a loss of the link counts as
	// its start. It includes clock skew.
	MaxEarlyStart = 5 * time.Second
	// MaxLateStart is the time after the start of a planned outage until which a loss of the link counts as its
	// start. It includes clock skew.
	MaxLateStart = 5 * time.Second

	// lossTimeout is the time without a message from outside the site after which the link counts as down.
	lossTimeout = 1500 * time.Millisecond
	// restoreDelay is the time of uninterrupted messages after which the link counts as up again.
	restoreDelay = 500 * time.Millisecond
	// settleDelay is the time after which a return is complete, and the minimum time in Surprised before a
	// return. It exceeds lossTimeout, so that another loss of the link is noticed before.
	settleDelay = 3 * time.Second
	// returnSpread is the period over which the edges of one outage return.
	returnSpread = time.Second
	// stepInterval is the maximum time between two calls of Step.
	stepInterval = 250 * time.Millisecond
)

// Change is a change of state with its reason.
type Change struct {
	From, To State
	Reason   string
}

// Uplink is the state machine of an edge's uplink. It is not safe for concurrent use.
type Uplink struct {
	state          State
	fetchLead      time.Duration // time before an outage at which fetching starts
	returnOrder    float64       // position of this edge in returnSpread, from 0 to 1
	outage         Outage        // the outage that the state refers to, if hasOutage
	hasOutage      bool
	changedAt      time.Duration // time of the last change of state
	receivedAt     time.Duration // time of the last message from outside the site
	receivingSince time.Duration // start of the present series of messages without a gap of lossTimeout
	missing        int           // number of chosen items that are not fetched yet
	finishedUntil  time.Duration // end of the last outage after which the link was up again; no more is fetched for it
}

// NewUplink returns an uplink in state Clear that starts to fetch fetchLead before each outage.
// returnOrder, from 0 to 1, is the position of this edge among those that return together: it delays the
// return by that fraction of returnSpread.
func NewUplink(fetchLead time.Duration, returnOrder float64, now time.Duration) *Uplink {
	return &Uplink{fetchLead: fetchLead, returnOrder: returnOrder, changedAt: now, receivedAt: now, receivingSince: now}
}

// State returns the state and the outage that it refers to. The last result is false if there is none.
func (u *Uplink) State() (State, Outage, bool) { return u.state, u.outage, u.hasOutage }

// Received records that a message from outside the site has arrived.
func (u *Uplink) Received(now time.Duration) {
	if now-u.receivedAt > lossTimeout {
		u.receivingSince = now
	}
	u.receivedAt = now
}

// SetMissing sets the number of chosen items that are not fetched yet.
func (u *Uplink) SetMissing(missing int) { u.missing = missing }

// Step updates the state. fleetTime is wrong by at most maxError, and next is the outage of the calendar at
// or after that time, if hasNext. It returns the change of state, if there is one, and the latest time for
// the next call. If an outage should have started and the link stays up, nothing more is fetched for it.
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

// decide returns the next state, with a reason if it differs from the present one.
func (u *Uplink) decide(now, fleetTime, maxError time.Duration, next Outage, hasNext bool) (State, string) {
	lost := now-u.receivedAt > lossTimeout
	restored := !lost && now-u.receivingSince >= restoreDelay
	mayHaveStarted := hasNext && fleetTime+maxError >= next.Start-MaxEarlyStart // the outage may have started
	startMissed := hasNext && fleetTime-maxError > next.Start+MaxLateStart+lossTimeout
	switch u.state {
	case Clear:
		switch {
		case lost && mayHaveStarted:
			return Cut, "the link was lost before anything was fetched"
		case lost:
			return Surprised, "the link was lost outside planned outages"
		case hasNext && next.End > u.finishedUntil && fleetTime+maxError >= next.Start-u.fetchLead && !startMissed:
			return Fetching, fmt.Sprintf("an outage starts in %.1f s", (next.Start - fleetTime).Seconds())
		}
	case Fetching, Ready:
		switch {
		case lost && mayHaveStarted:
			return Cut, "the link was lost in a planned outage"
		case lost:
			return Surprised, "the link was lost before a planned outage"
		case startMissed:
			return Surprised, "a planned outage has started but the link stays up"
		case !hasNext || fleetTime+maxError < next.Start-u.fetchLead-MaxEarlyStart:
			return Clear, "the calendar has changed"
		case u.state == Fetching && u.missing == 0:
			return Ready, "all chosen items have been fetched"
		case u.state == Ready && u.missing > 0:
			return Fetching, "further items were chosen"
		}
	case Cut:
		if restored && now-u.receivingSince >= restoreDelay+time.Duration(u.returnOrder*float64(returnSpread)) {
			return Returning, "the link is up again"
		}
	case Returning:
		switch {
		case lost:
			return Cut, "the link was lost again"
		case now-u.changedAt >= settleDelay:
			return Clear, "the return is complete"
		}
	case Surprised:
		switch {
		case lost && mayHaveStarted:
			return Cut, "the link is down in a planned outage"
		case restored && now-u.changedAt >= settleDelay:
			return Returning, "the link is up contrary to the calendar"
		}
	}
	return u.state, ""
}
