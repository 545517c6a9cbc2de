package control

import (
	"cmp"
	"math"
	"slices"
)

// balancer chooses the server of an attempt: the one with the lowest cost, which is mainly the expected wait.
type balancer struct {
	env       *environment
	servers   *serverSet
	traffic   *trafficStats
	outliers  *outlierDetector
	slowStart *slowStart
	sample    []*server // see candidates
}

// Factors by which the cost of a server is multiplied.
const (
	triedCostFactor        = 4.0  // for a server that the request has already tried
	nonPreferredCostFactor = 3.0  // for a server that this node does not prefer
	reportedSlowCostFactor = 10.0 // for a server that other nodes reported as slow
	// avoidedCostFactor applies to a server that is ejected, has a trial attempt in flight, rejected the plan
	// recently, or is in an evacuated zone. Such a server is chosen only if there is no other.
	avoidedCostFactor = 1e6
	failureCostFactor = 5.0  // weight of the squared excess of the failure rate over that of one failure
	maxCostJitter     = 0.02 // maximum random increase, as a fraction of the cost
)

// maxScannedServers is the number of usable servers up to which each choice looks at all of them.
const maxScannedServers = 400

// maxCandidates is the maximum number of candidates by role where the list is longer.
var maxCandidates = [roleCount]int{warmPreferred: 64, warmOther: 32, slowStarting: 64}

const (
	minLatency = 1e-3 // minimum expected latency, in seconds
	// spreadExponent is applied to the random factor that spreads the attempts of a large fleet while servers
	// are warming up.
	spreadExponent = 0.25
)

// pick returns the server with the lowest cost among the candidates that may receive an attempt now, or nil
// if the request has to wait. While servers are warming up, a node of a large fleet multiplies each cost by a
// random factor. Each of these nodes knows little of how busy a server is, so without the factor all of them
// would choose the same few servers.
func (b *balancer) pick(r *request) *server {
	var best *server
	bestCost := math.Inf(1)
	draw := b.env.evacuationDraw()
	avoidClosed := b.avoidsClosedZones(r)
	spread := b.env.largeFleet() && len(b.servers.warmingUp()) > 0
	b.slowStart.endExpired()
	for _, s := range b.candidates(r, avoidClosed) {
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

// candidates returns the servers among which pick chooses. They contain each server that may receive the
// request if the list has at most maxScannedServers usable ones. Of a longer list they are a random sample of
// each role, as in the choice among d random servers, so that a choice costs the same however long the list
// is. The slice is valid until the next call.
func (b *balancer) candidates(r *request, avoidClosed bool) []*server {
	if b.servers.usable <= maxScannedServers {
		b.servers.examined += uint64(len(b.servers.ordered))
		return b.servers.ordered
	}
	b.sample = b.sample[:0]
	index := &b.servers.index
	switch {
	case r.dedupScope() == KeyScopeZone:
		b.addCandidates(index.byZone[r.dedupServer.Zone])
	case r.dedupScope() == KeyScopeCell:
		b.addCandidates(index.byCell[r.dedupServer.Cell])
	case avoidClosed:
		for _, zone := range b.servers.openZones(r.rules) {
			b.addCandidates(index.byZone[zone])
		}
	default:
		b.addCandidates(&index.all)
	}
	b.servers.examined += uint64(len(b.sample))
	return b.sample
}

// addCandidates adds a sample of each role of a group to the candidates. A group that does not exist has no
// servers.
func (b *balancer) addCandidates(group *serverGroup) {
	if group == nil {
		return
	}
	for role, limit := range maxCandidates {
		b.sample = appendSample(b.sample, group.servers[role], limit, b.env.random)
	}
}

// avoids reports whether the server may be chosen only if there is no other.
func (b *balancer) avoids(r *request, s *server, evacuationDraw float64) bool {
	return b.outliers.ejected(s) || s.trialInFlight || b.env.now < s.rejectsPlanUntil[r.plan] ||
		b.env.evacuated[s.Zone] > evacuationDraw
}

// dropsDuplicates reports whether the key of the request allows the server. Once a request that is idempotent
// with a key may have run, only the servers in the scope of its key drop its duplicates, so only these are
// allowed. Any other request may be sent to any server.
func dropsDuplicates(r *request, s *server) bool {
	switch r.dedupScope() {
	case KeyScopeZone:
		return r.dedupServer.Zone == s.Zone
	case KeyScopeCell:
		return r.dedupServer.Cell == s.Cell
	}
	return true
}

// cost returns the expected wait at a server in seconds: its expected latency times the number of attempts
// that it would have from this node, multiplied by the cost factors.
func (b *balancer) cost(s *server) float64 {
	attempts := float64(s.activeAttempts() + s.abandoned)
	cost := b.expectedLatency(s) * (attempts + 1)
	if s.warmingUp && !b.env.largeFleet() { // slowStart.admits limits these servers in a large fleet
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

// expectedLatency returns the expected latency of a server in seconds: the server's own average, which moves
// back to the mean of all servers as it ages. If the server has attempts in flight, the expected latency is
// at least the time since its last response.
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

// zonePenalty returns the cost, in seconds, of an attempt in the server's zone by the rules in force. The
// rules state the cost as a value; a response that is late by its latency objective is taken to lose its
// whole value.
func (b *balancer) zonePenalty(r *request, s *server) float64 {
	if len(r.rules.CrossZoneCost) == 0 || s.Zone == b.env.settings.Zone {
		return 0
	}
	lostValue := r.rules.CrossZoneCost[s.Zone] / max(r.class.PriorityWeight, epsilon)
	return lostValue * r.class.LatencyObjective.Seconds()
}

// avoidsClosedZones reports whether the request must stay out of the zones that its rules close, because a
// server in another zone may receive it.
func (b *balancer) avoidsClosedZones(r *request) bool {
	if len(r.rules.ClosedZones) == 0 {
		return false
	}
	switch r.dedupScope() {
	case KeyScopeZone:
		zone := r.dedupServer.Zone
		return b.servers.index.byZone[zone] != nil && !slices.Contains(r.rules.ClosedZones, zone)
	case KeyScopeCell:
		cell := b.servers.index.byCell[r.dedupServer.Cell]
		return cell != nil && cell.containsOutside(r.rules)
	}
	return len(b.servers.openZones(r.rules)) > 0
}
