package prefetch

import "time"

const (
	maxClockDrift = 200e-6           // maximum rate error of a machine's clock in either direction, as a fraction
	maxRoundTrip  = 2 * time.Second  // round trip above which a reading is discarded
	maxReadingAge = 10 * time.Minute // age after which a new reading replaces a more precise one
)

// Clock converts between the local monotonic clock and fleet time. The caller supplies readings: round
// trips to a voter, which reads fleet time between the two ends of the trip (Cristian's algorithm). The
// zero Clock has no reading; its conversions are meaningless until Known returns true.
type Clock struct {
	fleetTime time.Duration // fleet time in the middle of the round trip
	localTime time.Duration // local time in the middle of the round trip
	halfTrip  time.Duration // half of the round trip
	known     bool
}

// AddReading adds a round trip: the local times at which the request was sent and the reply received, and
// the fleet time in the reply. It reports whether the reading is used. A reading that took longer than
// maxRoundTrip is discarded, and so is one that is no more precise than the present one, unless that is
// older than maxReadingAge.
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

// Known reports whether the clock has a reading.
func (c *Clock) Known() bool { return c.known }

// FleetTime converts a local time to fleet time. maxError bounds the error in either direction: half of
// the round trip plus the possible drift since then.
func (c *Clock) FleetTime(now time.Duration) (fleetTime, maxError time.Duration) {
	elapsed := now - c.localTime
	return c.fleetTime + elapsed, c.halfTrip + time.Duration(maxClockDrift*float64(max(elapsed, -elapsed)))
}

// LocalTime converts a fleet time to local time, and returns the maximum error in either direction.
func (c *Clock) LocalTime(fleetTime time.Duration) (now, maxError time.Duration) {
	now = c.localTime + fleetTime - c.fleetTime
	_, maxError = c.FleetTime(now)
	return now, maxError
}
