package control

import (
	"math/rand/v2"
	"time"
)

// environment is what every rule may read: the settings, the time of the event being handled and the
// source of random numbers. The Controller alone changes it.
type environment struct {
	settings       Settings
	random         *rand.Rand
	now            time.Duration // time of the event being handled
	sinceLastEvent time.Duration // time between the last two events that differ in time
	actions        []Action      // of the event being handled

	rules         *Rules             // in force for new requests
	evacuated     map[string]float64 // by zone: fraction of its traffic that stays away
	sharingQuotas bool               // another process decides for this node too; see handover.go
}

const (
	// largeFleetNodes is the fleet size from which each node knows little of how busy a server is.
	largeFleetNodes = 8
	// retryAfterAdvice is the Retry-After of a rejection, if the settings allow as long.
	retryAfterAdvice = time.Second
	// epsilon keeps quotients finite.
	epsilon = 1e-9
)

func (e *environment) emit(a Action) { e.actions = append(e.actions, a) }

// since returns the seconds between a time and the event being handled.
func (e *environment) since(t time.Duration) float64 { return (e.now - t).Seconds() }

// largeFleet reports whether so many nodes share the load that each knows little of it.
func (e *environment) largeFleet() bool { return e.settings.FleetSize >= largeFleetNodes }

// retryAfter returns the Retry-After of a rejection.
func (e *environment) retryAfter() time.Duration {
	return min(retryAfterAdvice, e.settings.MaxRetryAfter)
}

// quotaFraction returns the fraction of the node's quotas that this process may grant: half while two
// processes decide for the node.
func (e *environment) quotaFraction() float64 {
	if e.sharingQuotas {
		return 0.5
	}
	return 1
}

// evacuationDraw returns a random number against which evacuated fractions are held. It draws none where
// no zone is evacuated.
func (e *environment) evacuationDraw() float64 {
	if len(e.evacuated) == 0 {
		return 0
	}
	return e.random.Float64()
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateAverage moves an exponential average by a fraction of its distance to a value. The first value is
// taken as it is.
func updateAverage(average *float64, value, gain float64) {
	if *average == 0 {
		*average = value
	}
	*average += gain * (value - *average)
}
