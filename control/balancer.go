package control

import (
	"cmp"
	"math"
	"slices"
)

// balancer chooses the server of an attempt: the one with the least expected wait.
type balancer struct {
	env       *environment
	servers   *serverSet
	traffic   *trafficStats
	outliers  *outlierDetector
	slowStart *slowStart
}

// Factors on the cost of a server.
const (
	triedCostFactor        = 4.0 // this request has tried it
	nonPreferredCostFactor = 3.0 // it is not preferred by this node
	reportedSlowCostFactor = 10.0
	avoidedCostFactor      = 1e6 // ejected, under trial, or in an evacuated zone: taken where there is no other
	failureCostFactor      = 5.0 // times the square of its failure rate beyond that of a single failure
	maxCostJitter          = 0.02
)

const (
	minLatency = 1e-3 // s, of the expected latency
	// spreadExponent is that of the draw that spreads a large fleet's attempts while servers warm up.
	spreadExponent = 0.25
)

// pick returns the usable server of least cost that may take an attempt now, or nil where the request has to
// wait. While servers warm up, a large fleet spreads its attempts by chance, each server in proportion to its
// speed and warm-up: as each node knows little of how busy a server is, all would take the same few.
func (b *balancer) pick(r *request) *server {
	var best *server
	bestCost := math.Inf(1)
	draw := b.env.evacuationDraw()
	avoidClosed := b.avoidsClosedZones(r)
	spread := b.env.largeFleet() && b.servers.count((*server).usableWarmingUp) > 0
	for _, s := range b.servers.ordered {
		if !s.usable() || !dropsDuplicates(r, s) || (avoidClosed && r.rules.closesZoneOf(s)) {
			continue
		}
		if !b.slowStart.admits(s, r.tokens) {
			continue
		}
		cost := b.cost(s) + b.zonePenalty(r, s)
		if spread {
			cost *= math.Pow(b.env.random.ExpFloat64(), spreadExponent)
		}
		for _, id := range r.triedServers {
			if id == s.Server {
				cost *= triedCostFactor
			}
		}
		if b.avoids(r, s, draw) {
			cost *= avoidedCostFactor
		}
		if cost < bestCost {
			best = s
			bestCost = cost
		}
	}
	return best
}

// avoids reports whether the server is taken only where there is no other.
func (b *balancer) avoids(r *request, s *server, evacuationDraw float64) bool {
	return b.outliers.ejected(s) || s.trialInFlight || b.env.now < s.rejectsPlanUntil[r.plan] ||
		b.env.evacuated[s.Zone] > evacuationDraw
}

// dropsDuplicates reports whether the server drops duplicates of the request, where it may have run and is
// bound to a set of servers by its key.
func dropsDuplicates(r *request, s *server) bool {
	if r.dedupServer == nil || r.class.Idempotency != IdempotentByKey {
		return true
	}
	switch r.class.KeyScope {
	case KeyScopeZone:
		return r.dedupServer.Zone == s.Zone
	case KeyScopeCell:
		return r.dedupServer.Cell == s.Cell
	}
	return true
}

// cost returns the expected wait at a server in seconds, its latency times the attempts that it has from this
// node, times the factors that speak against it.
func (b *balancer) cost(s *server) float64 {
	attempts := float64(s.activeAttempts() + s.abandoned)
	cost := b.expectedLatency(s) * (attempts + 1)
	if s.warmingUp && !b.env.largeFleet() { // in a large fleet slowStart.admits goes by the warm-up
		cost /= b.slowStart.warmupFraction(s)
	}
	if !s.warmingUp && !s.preferred {
		cost *= nonPreferredCostFactor
	}
	if b.outliers.reportedSlow(s) {
		cost *= reportedSlowCostFactor
	}
	excess := max(0, b.outliers.failureRate(s)-failureRateGain)
	return cost * (1 + failureCostFactor*excess*excess) * (1 + maxCostJitter*b.env.random.Float64())
}

// expectedLatency returns the latency of a server in seconds: its own average, which moves back to the
// mean of all servers as it ages. A silent server is at least as slow as its silence.
func (b *balancer) expectedLatency(s *server) float64 {
	mean := b.traffic.latency
	if s.warmingUp { // its queue is new, so it is not slower than the others
		mean = cmp.Or(b.traffic.slowStartLatency, min(b.traffic.idleLatency, b.traffic.latency))
	}
	mean = max(mean, minLatency)
	latency := mean
	if s.latency > 0 {
		weight := decay(b.env.since(s.latencyAt), b.traffic.observationLifetime(b.servers.usable))
		latency = mean + (s.latency-mean)*weight
	}
	if s.activeAttempts() > 0 {
		latency = max(latency, b.env.since(s.lastActivityAt))
	}
	return latency
}

// zonePenalty returns the wait, in seconds, that costs as much as, by the rules, an attempt in the server's
// zone does: an answer that is late by its latency objective has lost its value.
func (b *balancer) zonePenalty(r *request, s *server) float64 {
	if len(r.rules.CrossZoneCost) == 0 || s.Zone == b.env.settings.Zone {
		return 0
	}
	lostValue := r.rules.CrossZoneCost[s.Zone] / max(r.class.PriorityWeight, epsilon)
	return lostValue * r.class.LatencyObjective.Seconds()
}

// avoidsClosedZones reports whether the request keeps out of the zones that its rules close, as another
// server may take it.
func (b *balancer) avoidsClosedZones(r *request) bool {
	if len(r.rules.ClosedZones) == 0 {
		return false
	}
	return slices.ContainsFunc(b.servers.ordered, func(s *server) bool {
		return s.usable() && dropsDuplicates(r, s) && !r.rules.closesZoneOf(s)
	})
}
