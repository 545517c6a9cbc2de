package control

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// slowStart limits what this node sends to servers that are warming up. The warm-up fraction of a server is
// the fraction of its capacity that it has reached. All nodes together must send less than OverloadFactor
// times that capacity over any OverloadWindow, so each node has a token bucket for each such server with its
// part of that.
type slowStart struct {
	env     *environment
	servers *serverSet
	traffic *trafficStats
	ends    slowStartEnds // ends of the slow starts; one that began anew is superseded
}

// warmUp is the state of one server's slow start.
type warmUp struct {
	warmingUp    bool          // the server is in slow start
	warmingSince time.Duration // start of the slow start
	tokens       float64       // level of the bucket; negative while it is in debt
	refilledAt   time.Duration // time of the last refill
}

const (
	minWarmupFraction = 0.1 // minimum warm-up fraction that is assumed
	// maxInFlightWarm is the maximum number of attempts that a node has in flight at a server at the end of its
	// slow start. Before, it is multiplied by the warm-up fraction, but is at least one.
	maxInFlightWarm = 2.0
	// slowStartSafety is the fraction of the load that a server bears (OverloadFactor times its capacity) that
	// all nodes together send to it.
	slowStartSafety = 0.5
	// assumedConcurrency is the number of requests that a warm server of a large fleet is assumed to process
	// concurrently.
	assumedConcurrency = 4.0
	minIdleLatency     = 0.1 // minimum idle latency of a server of a large fleet that is assumed, in seconds
	// preferredReserve is the fraction of a server's capacity that is reserved for the nodes that prefer it.
	// These reuse their connections to it; without the reserve nearly each attempt would open a new connection.
	preferredReserve = 0.8
	// initialOutcomeRate is the rate of outcomes, per second, that is assumed until one is measured.
	initialOutcomeRate = 10.0
	// maxCatchUpFactor is the maximum rate at which a node of a large fleet sends while its bucket is full, as a
	// multiple of the bucket's rate.
	maxCatchUpFactor = 1.5
)

// begin begins the slow start of a server if its entry in the endpoint list shows that it has started
// recently.
func (w *slowStart) begin(s *server, listed Endpoint) {
	if !listed.HasStartedAt || w.env.now >= listed.StartedAt+w.env.settings.SlowStartDuration {
		return
	}
	since := max(listed.StartedAt, s.warmingSince)
	if !s.warmingUp || since != s.warmingSince {
		s.warmingUp = true
		s.warmingSince = since
		w.scheduleEnd(s)
	}
	s.tokens = 0
	s.refilledAt = w.env.now
	if w.env.largeFleet() { // spreads the first attempts of the nodes over time
		s.tokens = -w.env.random.Float64() * w.traffic.meanTokens
	}
}

// scheduleEnd schedules the end of a server's slow start.
func (w *slowStart) scheduleEnd(s *server) {
	heap.Push(&w.ends, slowStartEnd{server: s, at: s.warmingSince + w.env.settings.SlowStartDuration})
}

// endExpired ends the slow starts whose time is over.
func (w *slowStart) endExpired() {
	for len(w.ends) > 0 && w.ends[0].at <= w.env.now {
		end := heap.Pop(&w.ends).(slowStartEnd)
		s := end.server
		w.servers.examined++
		if !s.warmingUp || s.warmingSince+w.env.settings.SlowStartDuration != end.at {
			continue
		}
		s.warmingUp = false
		s.preferred = w.servers.isPreferred(s)
		w.servers.index.update(s)
	}
}

// slowStartEnd is the end of one server's slow start.
type slowStartEnd struct {
	server *server
	at     time.Duration
}

// slowStartEnds is a heap of ends, the earliest first; see container/heap.
type slowStartEnds []slowStartEnd

func (e slowStartEnds) Len() int           { return len(e) }
func (e slowStartEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e slowStartEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *slowStartEnds) Push(end any) { *e = append(*e, end.(slowStartEnd)) }

// Pop implements heap.Interface.
func (e *slowStartEnds) Pop() any {
	last := len(*e) - 1
	end := (*e)[last]
	(*e)[last] = slowStartEnd{}
	*e = (*e)[:last]
	return end
}

// warmupFraction returns the fraction of its capacity that a server is assumed to have reached.
func (w *slowStart) warmupFraction(s *server) float64 {
	settings := &w.env.settings
	if settings.SlowStartDuration <= 0 {
		return 1
	}
	elapsed := w.env.since(s.warmingSince) / settings.SlowStartDuration.Seconds()
	initial := settings.SlowStartInitialFraction
	return min(1, max(minWarmupFraction, initial)+(1-initial)*max(0, elapsed))
}

// admits reports whether a request of the given tokens may be sent to a server now. It is always true for a
// server that is not warming up. It also refills the server's bucket.
func (w *slowStart) admits(s *server, tokens float64) bool {
	if !s.warmingUp {
		return true
	}
	fraction := w.warmupFraction(s)
	if float64(s.activeAttempts()+s.abandoned) >= max(1, math.Floor(fraction*maxInFlightWarm)) {
		return false
	}
	if w.env.largeFleet() {
		return w.admitsInLargeFleet(s, w.largeFleetRate(s, fraction))
	}
	// All nodes together send at least one token per second, so that a server is tried in any case.
	rate := max(slowStartSafety*w.observedCapacity(fraction), 1/w.servers.nodesPerServer)
	s.tokens += rate * w.env.since(s.refilledAt)
	s.refilledAt = w.env.now
	s.tokens = min(s.tokens, max(tokens, w.burst(rate)))
	return s.tokens >= tokens
}

// burst returns the capacity of a bucket with the given rate: half of what it is refilled with in an
// OverloadWindow.
func (w *slowStart) burst(rate float64) float64 {
	return rate * w.env.settings.OverloadWindow.Seconds() / 2
}

// observedCapacity returns the tokens per second that a server with the given warm-up fraction bears from
// this node, by the rate at which warm servers serve this node.
func (w *slowStart) observedCapacity(fraction float64) float64 {
	return w.env.settings.OverloadFactor * fraction * w.traffic.servedRate / max(1, w.servers.warm())
}

// largeFleetRate returns the tokens per second that a node of a large fleet may send to a server. Each node
// sends too little to measure a server's capacity, so the capacity is also estimated from the idle latency,
// and the larger value counts. Most of it is reserved for the nodes that prefer the server.
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

// admitsInLargeFleet refills the bucket and reports whether it admits a request. A request of any size may
// take the bucket into debt, as small requests would otherwise keep the bucket too low for large ones. A node
// with a full bucket sends with a chance below one, so that the nodes do not all send at the same time.
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
	outcomes := cmp.Or(w.traffic.outcomeRate, initialOutcomeRate)
	return w.env.random.Float64()*w.traffic.meanTokens*outcomes < maxCatchUpFactor*rate
}
