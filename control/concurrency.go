package control

import "time"

// concurrencyLimit bounds the attempts of this node that are in flight. The bound grows by a factor in
// each control interval without overload and is cut when answers take too long or servers reject. It may
// be below one: its fraction is a slot that rests after each use, so that hundreds of nodes may each have
// less than one attempt in flight.
type concurrencyLimit struct {
	env       *environment
	servers   *serverSet
	slowStart *slowStart
	traffic   *trafficStats

	bound                float64 // attempts in flight; 0 until the first endpoint list
	rulesBound           float64 // the most that the operators' rules allow
	fractionalSlotFreeAt time.Duration
	lastCutAt            time.Duration

	inFlight   int             // attempts at work
	responding int             // those of them whose answer has begun
	abandoned  []abandonedWork // in the order of their attempts' ends
}

// abandonedWork is work that is assumed to go on at a server after its attempt timed out or was cancelled.
type abandonedWork struct {
	server *server
	until  time.Duration
}

const (
	boundPerServer = 2 // attempts in flight for each usable server, at the start and at least
	// The bounds of all nodes of a fleet sum up to this many attempts for each server at most, at the start
	// and by their minima. A server with less has idle cores.
	initialFleetBoundPerServer = 8.0
	minFleetBoundPerServer     = 4.0

	boundGrowth = 1.25 // factor after an interval without overload in which the bound was reached
	boundCut    = 0.5  // factor on overload
	// minCutIntervalLatencies is the least time between two cuts, in mean latencies: answers to attempts
	// after the last one.
	minCutIntervalLatencies = 2.0

	// The bound is cut where answers take this fraction of their objective in the mean, and more than
	// lateIdleMultiple of the idle latency or more than alwaysLateFraction of the objective.
	lateFraction       = 0.18
	alwaysLateFraction = 0.33
	lateIdleMultiple   = 2.0
	// It is cut where this fraction of outcomes is a rejection or a time-out, and answers take more than
	// overloadIdleMultiple of the idle latency: some servers reject one plan though they are not busy.
	cutOverloadFraction  = 0.1
	overloadIdleMultiple = 1.3
	// It does not grow above this fraction.
	maxGrowthOverloadFraction = 0.03

	// maxAbandonedLatencies is how long abandoned work is assumed to go on at most, in mean latencies.
	maxAbandonedLatencies = 2.0
)

// initialize sets the bound with the first endpoint list.
func (l *concurrencyLimit) initialize() {
	if l.bound == 0 {
		perServer := min(boundPerServer, initialFleetBoundPerServer/l.servers.nodesPerServer)
		l.bound = max(l.minBound(), perServer*l.servers.usable)
	}
}

// minBound returns the least that the bound may be: this node's part of what keeps all servers at work.
// Without its second limit many nodes would overload the servers by their floors alone. Ejected servers
// don't count, and in a large fleet a server that is warming up counts by its warm-up fraction.
func (l *concurrencyLimit) minBound() float64 {
	servers := 0.0
	for _, s := range l.servers.ordered {
		switch {
		case !s.usable() || s.consecutiveFailures >= ejectionFailures:
		case s.warmingUp && l.env.largeFleet():
			servers += l.slowStart.warmupFraction(s)
		default:
			servers++
		}
	}
	return min(boundPerServer, minFleetBoundPerServer/l.servers.nodesPerServer) * max(1, servers)
}

// hasCapacity reports whether another attempt may start.
func (l *concurrencyLimit) hasCapacity() bool {
	busy := l.busy()
	bound := min(l.bound, l.rulesBound)
	return busy+1 <= bound || (busy < bound && l.env.now >= l.fractionalSlotFreeAt)
}

// busy returns the number of attempts in flight, with abandoned work.
func (l *concurrencyLimit) busy() float64 {
	for len(l.abandoned) > 0 && l.abandoned[0].until <= l.env.now {
		l.abandoned[0].server.abandoned--
		l.abandoned = l.abandoned[1:]
	}
	return float64(l.inFlight - l.responding + len(l.abandoned))
}

// pauseFractionalSlot starts the rest of the bound's fraction after an attempt has ended.
func (l *concurrencyLimit) pauseFractionalSlot() {
	if fraction := l.bound - l.busy(); fraction > 0 && fraction < 1 {
		l.fractionalSlotFreeAt = l.env.now + seconds((1/fraction-1)*l.traffic.latency)
	}
}

// abandon notes that the work of an attempt may go on, which took some seconds until it ended.
func (l *concurrencyLimit) abandon(s *server, took float64) {
	s.abandoned++
	until := l.env.now + seconds(min(took, maxAbandonedLatencies*l.traffic.latency))
	l.abandoned = append(l.abandoned, abandonedWork{s, until})
}

// adjust sets the bound for the next control interval. It returns whether the bound was cut, and marks the
// interval as overloaded also where the last cut is too recent for another one.
func (l *concurrencyLimit) adjust(interval *intervalStats) (cut bool) {
	overload := interval.overloadFraction()
	switch {
	case l.responsesAreLate(interval) || (overload > cutOverloadFraction && l.serversAreSlow(interval)):
		interval.overloadDetected = true
		if l.env.now >= l.lastCutAt+seconds(minCutIntervalLatencies*l.traffic.latency) {
			l.lastCutAt = l.env.now
			l.bound *= boundCut
			cut = true
		}
	case overload <= maxGrowthOverloadFraction && interval.saturated:
		l.bound *= boundGrowth
	}
	l.bound = max(min(l.bound, l.rulesBound), l.minBound())
	return cut
}

func (l *concurrencyLimit) responsesAreLate(interval *intervalStats) bool {
	fraction := interval.latencyRatioSum / max(1, interval.latencyCount)
	if fraction <= lateFraction {
		return false
	}
	return fraction > alwaysLateFraction || interval.meanLatencyExceeds(lateIdleMultiple, l.traffic.idleLatency)
}

func (l *concurrencyLimit) serversAreSlow(interval *intervalStats) bool {
	return interval.latencyCount == 0 || interval.meanLatencyExceeds(overloadIdleMultiple, l.traffic.idleLatency)
}
