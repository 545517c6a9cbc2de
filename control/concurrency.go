package control

import "time"

// concurrencyLimit bounds the attempts of this node that are in flight. The bound grows by a factor in each
// control interval without overload, and is cut when responses are slow or servers reject attempts. It may be
// fractional, and below one: hundreds of nodes may then each have less than one attempt in flight on average.
// The slot of the fractional part pauses after each attempt for a time that keeps its average use at the
// fraction.
type concurrencyLimit struct {
	env       *environment
	servers   *serverSet
	slowStart *slowStart
	traffic   *trafficStats

	bound                float64       // maximum attempts in flight; 0 until the first endpoint list
	rulesBound           float64       // maximum by the operators' rules; infinite if they set none
	fractionalSlotFreeAt time.Duration // end of the pause of the fractional slot
	lastCutAt            time.Duration // time of the last cut

	inFlight   int             // attempts in flight whose body has been sent, including those in responding
	responding int             // attempts whose response has begun
	abandoned  []abandonedWork // in the order in which their attempts ended
}

// abandonedWork is work that is assumed to continue at a server after its attempt timed out or was canceled.
type abandonedWork struct {
	server *server
	until  time.Duration // assumed end of the work
}

const (
	// boundPerServer is the number of attempts in flight per usable server that make up the initial bound and
	// the minimum bound.
	boundPerServer = 2
	// initialFleetBoundPerServer and minFleetBoundPerServer limit the sum of the initial bounds and of the
	// minimum bounds of all nodes, in attempts per server. A server with less has idle cores.
	initialFleetBoundPerServer = 8.0
	minFleetBoundPerServer     = 4.0

	boundGrowth = 1.25 // factor after an interval without overload in which the bound was reached
	boundCut    = 0.5  // factor on overload
	// minCutIntervalLatencies is the minimum time between two cuts, in mean latencies: the effect of a cut shows
	// in the responses to attempts that start after it.
	minCutIntervalLatencies = 2.0

	// The bound is cut if the mean latency, as a fraction of the latency objective, exceeds lateFraction, and it
	// also exceeds alwaysLateFraction or lateIdleMultiple times the idle latency.
	lateFraction       = 0.18
	alwaysLateFraction = 0.33
	lateIdleMultiple   = 2.0
	// The bound is also cut if the fraction of outcomes that are a rejection or a timeout exceeds
	// cutOverloadFraction and the mean latency exceeds overloadIdleMultiple times the idle latency. The second
	// condition is needed because some servers reject one plan although they are not busy.
	cutOverloadFraction  = 0.1
	overloadIdleMultiple = 1.3
	// maxGrowthOverloadFraction is the fraction of rejections and timeouts above which the bound does not grow.
	maxGrowthOverloadFraction = 0.03

	// maxAbandonedLatencies is the maximum time, in mean latencies, for which abandoned work is assumed to
	// continue.
	maxAbandonedLatencies = 2.0
)

// initialize sets the bound when the first endpoint list arrives.
func (l *concurrencyLimit) initialize() {
	if l.bound == 0 {
		perServer := min(boundPerServer, initialFleetBoundPerServer/l.servers.nodesPerServer)
		l.bound = max(l.minBound(), perServer*l.servers.usable)
	}
}

// minBound returns the minimum of the bound: this node's part of the attempts that keep all servers busy.
// minFleetBoundPerServer limits it, as many nodes would otherwise overload the servers by their minimum
// bounds alone. Ejected servers do not count. In a large fleet a server that is warming up counts by its
// warm-up fraction.
func (l *concurrencyLimit) minBound() float64 {
	failing := func(s *server) bool { return s.usable() && s.consecutiveFailures >= ejectionFailures }
	servers := l.servers.usable - l.servers.countSuspects(failing)
	if l.env.largeFleet() {
		l.servers.examined += uint64(len(l.servers.warmingUp()))
		for _, s := range l.servers.warmingUp() {
			if !failing(s) {
				servers -= 1 - l.slowStart.warmupFraction(s)
			}
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

// busy returns the number of attempts in flight, including abandoned work. It first drops the oldest entries
// of abandoned whose time is over; an entry behind one that is still counted is counted as well.
func (l *concurrencyLimit) busy() float64 {
	for len(l.abandoned) > 0 && l.abandoned[0].until <= l.env.now {
		l.abandoned[0].server.abandoned--
		l.abandoned = l.abandoned[1:]
	}
	return float64(l.inFlight - l.responding + len(l.abandoned))
}

// pauseFractionalSlot starts the pause of the bound's fractional slot after an attempt has ended.
func (l *concurrencyLimit) pauseFractionalSlot() {
	if fraction := l.bound - l.busy(); fraction > 0 && fraction < 1 {
		l.fractionalSlotFreeAt = l.env.now + seconds((1/fraction-1)*l.traffic.latency)
	}
}

// abandon records that the work of an attempt may continue at the server. took is the time in seconds from
// the start of the attempt to its end.
func (l *concurrencyLimit) abandon(s *server, took float64) {
	s.abandoned++
	until := l.env.now + seconds(min(took, maxAbandonedLatencies*l.traffic.latency))
	l.abandoned = append(l.abandoned, abandonedWork{s, until})
}

// adjust sets the bound for the next control interval and reports whether it was cut. On overload it sets
// interval.overloadDetected, even if the last cut is too recent for another one.
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

// responsesAreLate reports whether the mean latency of an interval requires a cut.
func (l *concurrencyLimit) responsesAreLate(interval *intervalStats) bool {
	fraction := interval.latencyRatioSum / max(1, interval.latencyCount)
	if fraction <= lateFraction {
		return false
	}
	return fraction > alwaysLateFraction || interval.meanLatencyExceeds(lateIdleMultiple, l.traffic.idleLatency)
}

// serversAreSlow reports whether the mean latency of an interval exceeds overloadIdleMultiple times the idle
// latency, or there was no response at all.
func (l *concurrencyLimit) serversAreSlow(interval *intervalStats) bool {
	return interval.latencyCount == 0 || interval.meanLatencyExceeds(overloadIdleMultiple, l.traffic.idleLatency)
}
