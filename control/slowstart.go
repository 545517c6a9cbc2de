package control

import (
	"cmp"
	"math"
	"time"
)

// slowStart limits what this node sends to servers that are warming up. A server's warm-up fraction is
// the fraction of its capacity that it has reached; what all nodes together send must stay under
// OverloadFactor times that capacity over any OverloadWindow. Each node has a token bucket for each such
// server with its part of that.
type slowStart struct {
	env     *environment
	servers *serverSet
	traffic *trafficStats
}

// warmUp is the state of one server's slow start.
type warmUp struct {
	warmingUp    bool
	warmingSince time.Duration
	tokens       float64 // of the bucket; below zero it is in debt
	refilledAt   time.Duration
}

const (
	minWarmupFraction = 0.1 // least warm-up fraction that is assumed
	// maxInFlightWarm is the number of attempts that a node has in flight at a server at the end of its slow
	// start; earlier its warm-up fraction of that, one at least.
	maxInFlightWarm = 2.0
	// slowStartSafety is the fraction of a server's capacity that all nodes together use.
	slowStartSafety = 0.5
	// assumedConcurrency is how many requests a warm server of a large fleet is taken to work on at a time.
	assumedConcurrency = 4.0
	minIdleLatency     = 0.1 // s, assumed at least for the servers of a large fleet
	// preferredReserve is the fraction of a server's capacity that is for the nodes that prefer it: they reuse
	// their connections to it. Without it nearly each attempt would open a new one.
	preferredReserve = 0.8
	// initialOutcomeRate is the rate of answers per second that a node is taken to have right after its start.
	initialOutcomeRate = 10.0
	// maxCatchUpFactor times its part is what a node of a large fleet sends at most where its bucket is full.
	maxCatchUpFactor = 1.5
)

// usableWarmingUp reports whether the server is usable and warming up.
func (s *server) usableWarmingUp() bool { return s.usable() && s.warmingUp }

// begin puts a server into slow start if it has started lately by its list entry.
func (w *slowStart) begin(s *server, listed Endpoint) {
	if !listed.HasStartedAt || w.env.now >= listed.StartedAt+w.env.settings.SlowStartDuration {
		return
	}
	s.warmingUp = true
	s.warmingSince = max(listed.StartedAt, s.warmingSince)
	s.tokens = 0
	s.refilledAt = w.env.now
	if w.env.largeFleet() { // so that not all nodes send at the same moment
		s.tokens = -w.env.random.Float64() * w.traffic.meanTokens
	}
}

// warmupFraction returns the fraction of its capacity that a server has reached at least.
func (w *slowStart) warmupFraction(s *server) float64 {
	settings := &w.env.settings
	if settings.SlowStartDuration <= 0 {
		return 1
	}
	elapsed := w.env.since(s.warmingSince) / settings.SlowStartDuration.Seconds()
	initial := settings.SlowStartInitialFraction
	return min(1, max(minWarmupFraction, initial)+(1-initial)*max(0, elapsed))
}

// admits reports whether a server may get a request of some tokens now. A server that is not warming up may
// always. It refills the server's bucket, and ends a slow start that is over.
func (w *slowStart) admits(s *server, tokens float64) bool {
	if !s.warmingUp {
		return true
	}
	if w.env.now >= s.warmingSince+w.env.settings.SlowStartDuration {
		s.warmingUp = false
		s.preferred = w.servers.isPreferred(s)
		return true
	}
	fraction := w.warmupFraction(s)
	if float64(s.activeAttempts()+s.abandoned) >= max(1, math.Floor(fraction*maxInFlightWarm)) {
		return false
	}
	if w.env.largeFleet() {
		return w.admitsInLargeFleet(s, w.largeFleetRate(s, fraction))
	}
	rate := max(slowStartSafety*w.observedCapacity(fraction), 1/w.servers.nodesPerServer)
	s.tokens += rate * w.env.since(s.refilledAt)
	s.refilledAt = w.env.now
	s.tokens = min(s.tokens, max(tokens, w.burst(rate)))
	return s.tokens >= tokens
}

// burst returns what a bucket with a rate holds at most: half of what the overload window refills.
func (w *slowStart) burst(rate float64) float64 {
	return rate * w.env.settings.OverloadWindow.Seconds() / 2
}

// observedCapacity returns the tokens per second that a server with a warm-up fraction can take from this
// node, by what warm servers do for it.
func (w *slowStart) observedCapacity(fraction float64) float64 {
	warm := w.servers.count(func(s *server) bool { return s.usable() && !s.warmingUp })
	return w.env.settings.OverloadFactor * fraction * w.traffic.servedRate / max(1, warm)
}

// largeFleetRate returns the tokens per second that a node of a large fleet may send to a server. Too
// little passes through each node to measure what a server does, so its capacity is estimated from the idle
// latency. Most of it is for the nodes that prefer the server.
func (w *slowStart) largeFleetRate(s *server, fraction float64) float64 {
	requestsPerSecond := assumedConcurrency / max(w.traffic.idleLatency, minIdleLatency) // of all nodes
	capacity := w.env.settings.OverloadFactor * fraction * w.traffic.meanTokens * requestsPerSecond
	part := capacity / w.servers.nodesPerServer
	preferring := w.servers.preferredFraction(s)
	reserved := preferredReserve * (1 - preferring)
	rate := (1 - reserved) * max(w.observedCapacity(fraction), part)
	if s.preferred {
		rate += reserved * part / preferring
	}
	return slowStartSafety * rate
}

// admitsInLargeFleet refills the bucket and reports whether it lets a request through. Any request may
// take the bucket into debt, as small ones would else keep it too low for large ones. A node with a full
// bucket sends by chance, so that not all nodes send at one moment.
func (w *slowStart) admitsInLargeFleet(s *server, rate float64) bool {
	s.tokens += rate * w.env.since(s.refilledAt)
	s.refilledAt = w.env.now
	full := w.burst(rate)
	s.tokens = min(s.tokens, full)
	if s.tokens < 0 {
		return false
	}
	if s.tokens < full {
		return true
	}
	answers := cmp.Or(w.traffic.outcomeRate, initialOutcomeRate)
	return w.env.random.Float64()*w.traffic.meanTokens*answers < maxCatchUpFactor*rate
}
