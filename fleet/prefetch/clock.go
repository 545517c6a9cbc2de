package prefetch

import "time"

const (
	driftMost  = 200e-6 // by which a machine's clock may run fast or slow, in parts of one
	tripMost   = 2 * time.Second
	readingAge = 10 * time.Minute // after which a new reading goes before one that is nearer
)

// Clock turns the own monotonic clock into fleet time. It asks nobody: a reading is a round trip to
// a voter, and fleet time lay between its two ends when the voter answered (Cristian's algorithm).
type Clock struct {
	at    time.Duration // fleet time in the middle of the trip
	now   time.Duration // own time in the middle of the trip
	half  time.Duration // of the trip
	known bool
}

// Read takes a round trip: the own times at which the question went and the answer came, and the
// fleet time in it. It tells whether the reading is used: the one with the least error is.
func (c *Clock) Read(asked, answered, at time.Duration) bool {
	trip := answered - asked
	if trip < 0 || trip > tripMost {
		return false
	}
	if _, err := c.At(answered); c.known && err <= trip/2 && answered < c.now+readingAge {
		return false
	}
	*c = Clock{at: at, now: asked + trip/2, half: trip / 2, known: true}
	return true
}

// Known tells whether there was a reading.
func (c *Clock) Known() bool { return c.known }

// At gives fleet time and by how much it may be wrong, either way: half of the round trip, and what
// the clock may have drifted since.
func (c *Clock) At(now time.Duration) (at, most time.Duration) {
	since := now - c.now
	return c.at + since, c.half + time.Duration(driftMost*float64(max(since, -since)))
}

// Now gives the own time of a fleet time, and by how much it may be wrong.
func (c *Clock) Now(at time.Duration) (now, most time.Duration) {
	now = c.now + at - c.at
	_, most = c.At(now)
	return now, most
}
