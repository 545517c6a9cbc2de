package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	leastLeft   = 50 * time.Millisecond // with less a client does not try again
	hastyPart   = 0.2                   // of the usual time, that a hasty client waits
	advisedMost = time.Second           // that a client waits as a refusal says
)

// Manner is how the client of one arrival acts, drawn from the arrival's seed.
type Manner struct {
	*rand.Rand
	Hasty, Slow bool    // gives up early; reads late
	Tries       int     // at most
	Place       float64 // draws its node
	day         *Day
	arrival     *Arrival
	share       float64       // of the deadline, for one try
	back        time.Duration // before the next try, in the mean
}

// Manner draws the client of an arrival.
func (d *Day) Manner(a *Arrival) *Manner {
	rng := rand.New(rand.NewPCG(a.Seed, 0))
	m := &Manner{Rand: rng, day: d, arrival: a, share: d.Clients.TryShare, back: d.Clients.Backoff}
	m.Hasty, m.Slow = rng.Float64() < d.File.Clients.Hasty, rng.Float64() < d.File.Clients.SlowReaders
	if m.Hasty {
		m.share *= hastyPart
	}
	whole := math.Floor(d.Clients.Retries)
	if m.Tries = 1 + int(whole); rng.Float64() < d.Clients.Retries-whole {
		m.Tries++
	}
	m.Place = rng.Float64()
	return m
}

// Left is how long the client waits for a try that is due at a time; it makes none where that is
// too little.
func (m *Manner) Left(due time.Duration) (left time.Duration, ok bool) {
	deadline := spanMS(m.day.Classes[m.arrival.Class].DeadlineMS)
	left = min(time.Duration(m.share*float64(deadline)), deadline-(due-m.arrival.At))
	return left, left >= leastLeft
}

// Wait draws the pause before the next try, which may follow the advice of a refusal, and where that
// one goes.
func (m *Manner) Wait(advice bool) time.Duration {
	wait := time.Duration(float64(m.back) * (0.75 + m.Float64()/2))
	if advice && m.Float64() < m.day.Clients.Honour {
		wait = min(spanMS(m.day.File.Clients.MaxRetryAfter), advisedMost)
	}
	if m.back *= 2; m.Float64() < m.day.Clients.Elsewhere {
		m.Place = m.Float64()
	}
	return wait
}
