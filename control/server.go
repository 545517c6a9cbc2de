package control

import (
	"sort"
	"time"
)

// server is what a node knows of one server.
type server struct {
	Endpoint
	listed    bool
	preferred bool // see serverSet.isPreferred

	inFlight       int           // attempts at work
	responding     int           // those of them whose answer has begun
	abandoned      int           // attempts given up whose work is assumed to go on
	lastActivityAt time.Duration // last outcome, or first attempt since it had none

	latency   float64 // s: average of its answers; 0 is none yet
	latencyAt time.Duration

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

// usable reports whether new attempts may go to the server.
func (s *server) usable() bool { return s.listed && s.Condition == Active }

// activeAttempts returns the number of attempts that keep the server at work. One whose answer has begun
// waits for its client at most.
func (s *server) activeAttempts() int { return s.inFlight - s.responding }

// observeLatency adds the latency of an attempt, in seconds.
func (s *server) observeLatency(now time.Duration, latency float64) {
	updateAverage(&s.latency, latency, serverLatencyGain)
	s.latencyAt = now
}

// resetObservations drops what was observed of a server that has started anew.
func (s *server) resetObservations() {
	s.latency = 0
	s.failureRate = 0
	s.consecutiveFailures = 0
	s.ejectedUntil = 0
	s.ejectionTime = 0
	clear(s.rejectsPlanUntil)
}

// serverSet holds the servers of the endpoint list, and those that are gone while attempts are in flight.
type serverSet struct {
	env            *environment
	byID           map[uint32]*server
	ordered        []*server // by ID
	usable         float64   // number of usable servers as of the last update
	nodesPerServer float64   // nodes that send to each of them, in the mean, as of the last update
}

// applyUpdate brings the set up to an update. It calls observe with each entry before the entry replaces what
// was listed.
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

// prune drops servers that are gone and have no attempt in flight.
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

// count returns the number of servers for which a condition holds.
func (set *serverSet) count(condition func(*server) bool) float64 {
	n := 0.0
	for _, s := range set.ordered {
		if condition(s) {
			n++
		}
	}
	return n
}
