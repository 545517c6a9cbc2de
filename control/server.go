package control

import (
	"sort"
	"time"
)

// server is the state of one server at this node.
type server struct {
	Endpoint
	listed    bool // the server is in the endpoint list and not removed
	preferred bool // see serverSet.isPreferred

	inFlight       int           // attempts in flight whose body has been sent, including those in responding
	responding     int           // attempts whose response has begun
	abandoned      int           // ended attempts whose work is assumed to continue
	lastActivityAt time.Duration // last response or outcome, or start of the first attempt after an idle time

	latency   float64       // average latency in seconds; 0 means none yet
	latencyAt time.Duration // time of the last observation of latency

	outlierState
	warmUp
}

// serverLatencyGain is the gain of a server's average latency.
const serverLatencyGain = 0.2

func newServer() *server {
	s := &server{}
	s.rejectsPlanUntil = map[*planQueue]time.Duration{}
	return s
}

// usable reports whether new attempts may be sent to the server.
func (s *server) usable() bool { return s.listed && s.Condition == Active }

// activeAttempts returns the number of attempts that load the server. An attempt whose response has begun
// does not: at most it waits for its client.
func (s *server) activeAttempts() int { return s.inFlight - s.responding }

// observeLatency adds the latency of an attempt, in seconds, to the average.
func (s *server) observeLatency(now time.Duration, latency float64) {
	updateAverage(&s.latency, latency, serverLatencyGain)
	s.latencyAt = now
}

// resetObservations drops what was observed of a server before its latest start.
func (s *server) resetObservations() {
	s.latency = 0
	s.failureRate = 0
	s.consecutiveFailures = 0
	s.ejectedUntil = 0
	s.ejectionTime = 0
	clear(s.rejectsPlanUntil)
}

// serverSet holds the servers of the endpoint list, and servers that are no longer listed but have attempts
// in flight.
type serverSet struct {
	env            *environment
	byID           map[uint32]*server
	ordered        []*server // in the order of Endpoint.Server
	usable         float64   // number of usable servers as of the last update
	nodesPerServer float64   // mean number of nodes that send to each server, as of the last update
}

// applyUpdate applies an update of the endpoint list. It calls observe with each entry before the entry
// replaces the server's previous one.
func (set *serverSet) applyUpdate(update EndpointUpdate, observe func(*server, Endpoint)) {
	set.nodesPerServer = update.NodesPerServer
	if !(update.NodesPerServer > 0) {
		set.nodesPerServer = float64(set.env.settings.FleetSize)
	}
	for _, s := range set.ordered {
		s.listed = s.listed && update.Kind == Delta
	}
	for _, endpoint := range update.Endpoints {
		s := set.byID[endpoint.Server]
		if s == nil {
			s = newServer()
			set.byID[endpoint.Server] = s
			set.ordered = append(set.ordered, s)
		}
		observe(s, endpoint)
		s.Endpoint = endpoint
		s.listed = endpoint.Condition != Removed
	}
	sort.Slice(set.ordered, func(i, j int) bool { return set.ordered[i].Server < set.ordered[j].Server })
	set.prune()
	set.usable = set.count((*server).usable)
}

// prune drops the servers that are no longer listed and have no attempt in flight.
func (set *serverSet) prune() {
	kept := set.ordered[:0]
	for _, s := range set.ordered {
		if s.listed || s.inFlight > 0 {
			kept = append(kept, s)
		} else {
			delete(set.byID, s.Server)
		}
	}
	set.ordered = kept
}

// count returns the number of servers that satisfy a condition.
func (set *serverSet) count(condition func(*server) bool) float64 {
	n := 0.0
	for _, s := range set.ordered {
		if condition(s) {
			n++
		}
	}
	return n
}
