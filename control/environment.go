package control

import (
	"math/rand/v2"
	"time"
)

// environment is the state that all rules may read: the settings, the time of the event being handled, the
// source of random numbers and the operators' rules in force. Only the Controller changes it; the rules draw
// random numbers from it and emit actions to it.
type environment struct {
	settings       Settings
	random         *rand.Rand
	now            time.Duration // time of the event being handled
	sinceLastEvent time.Duration // time between the last two events that differ in time
	actions        []Action      // actions of the event being handled

	rules         *Rules             // rules in force for new requests
	evacuated     map[string]float64 // fraction of a zone's usual traffic that is kept away from it, by zone
	sharingQuotas bool               // another process decides for this node too; see handover.go
}

const (
	// largeFleetNodes is the fleet size from which each node knows little of how busy a server is.
	largeFleetNodes = 8
	// epsilon keeps the divisors of quotients above zero.
	epsilon = 1e-9
)

// emit appends an action to those that Handle returns.
func (e *environment) emit(a Action) { e.actions = append(e.actions, a) }

// since returns the seconds from t to the event being handled.
func (e *environment) since(t time.Duration) float64 { return (e.now - t).Seconds() }

// largeFleet reports whether the fleet has at least largeFleetNodes nodes.
func (e *environment) largeFleet() bool { return e.settings.FleetSize >= largeFleetNodes }

// quotaFraction returns the fraction of the node's quotas that this process may use: half while two processes
// decide for the node, otherwise 1.
func (e *environment) quotaFraction() float64 {
	if e.sharingQuotas {
		return 0.5
	}
	return 1
}

// evacuationDraw returns a random number that is compared with the evacuated fraction of a zone. It returns 0
// without a draw if no zone is evacuated.
func (e *environment) evacuationDraw() float64 {
	if len(e.evacuated) == 0 {
		return 0
	}
	return e.random.Float64()
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateAverage moves an exponential average by the fraction gain of its distance to a value. An average of 0
// is set to the value.
func updateAverage(average *float64, value, gain float64) {
	if *average == 0 {
		*average = value
	}
	*average += gain * (value - *average)
}
