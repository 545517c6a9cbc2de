package prefetch

import "time"

const (
	maxClockDrift = 200e-6 // by which a machine's clock may run fast or slow, in parts of one
	maxRoundTrip  = 2 * time.Second
	maxReadingAge = 10 * time.Minute // after which a new reading goes before one that is nearer
)

// Clock turns the own monotonic clock into fleet time. It asks nobody: a reading is a round trip to
// a voter, and fleet time lay between its two ends when the voter answered (Cristian's algorithm).
type Clock struct {
	fleetTime time.Duration // fleet time in the middle of the trip
	localTime time.Duration // own time in the middle of the trip
	halfTrip  time.Duration // of the trip
	known     bool
}

// Read takes a round trip: the own times at which the question went and the answer came, and the
// fleet time in it. It tells whether the reading is used: the one with the least error is.
func (c *Clock) AddReading(sentAt, receivedAt, fleetTime time.Duration) bool {
	roundTrip := receivedAt - sentAt
	if roundTrip < 0 || roundTrip > maxRoundTrip {
		return false
	}
	if _, maxError := c.FleetTime(receivedAt); c.known && maxError <= roundTrip/2 && receivedAt < c.localTime+maxReadingAge {
		return false
	}
	*c = Clock{fleetTime: fleetTime, localTime: sentAt + roundTrip/2, halfTrip: roundTrip / 2, known: true}
	return true
}

// Known tells whether there was a reading.
func (c *Clock) Known() bool { return c.known }

// At gives fleet time and by how much it may be wrong, either way: half of the round trip, and what
// the clock may have drifted since.
func (c *Clock) FleetTime(now time.Duration) (fleetTime, maxError time.Duration) {
	elapsed := now - c.localTime
	return c.fleetTime + elapsed, c.halfTrip + time.Duration(maxClockDrift*float64(max(elapsed, -elapsed)))
}

// Now gives the own time of a fleet time, and by how much it may be wrong.
func (c *Clock) LocalTime(fleetTime time.Duration) (now, maxError time.Duration) {
	now = c.localTime + fleetTime - c.fleetTime
	_, maxError = c.FleetTime(now)
	return now, maxError
}
