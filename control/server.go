package control

import (
	"cmp"
	"slices"
	"time"
)

// server is the state of one server at this node.
type server struct {
	Endpoint
	listed    bool // the server is in the endpoint list and not removed
	preferred bool // see serverSet.isPreferred

	position, warmUpPosition float64 // see serverSet.setPositions

	inFlight       int           // attempts in flight whose body has been sent, including those in responding
	responding     int           // attempts whose response has begun
	abandoned      int           // ended attempts whose work is assumed to continue
	lastActivityAt time.Duration // last response or outcome, or start of the first attempt after an idle time

	latency   float64       // average latency in seconds; 0 means none yet
	latencyAt time.Duration // time of the last observation of latency

	outlierState
	warmUp
	index indexEntry
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
// in flight. Its counts and its index follow each change of a server's state, so that no event has to look at
// all servers.
type serverSet struct {
	env            *environment
	byID           map[uint32]*server
	ordered        []*server // in the order of Endpoint.Server
	unordered      bool      // a server was added out of order
	unlisted       map[*server]struct{}
	usable         float64 // number of usable servers
	nodesPerServer float64 // mean number of nodes that send to each server, as of the last update
	preferring     preferredShare
	index          serverIndex
	suspects       []*server // servers for which suspect is true, in no order
	examined       uint64    // servers that rules have looked at; see Controller.ServersExamined
}

func newServerSet(env *environment) serverSet {
	return serverSet{
		env:            env,
		byID:           map[uint32]*server{},
		unlisted:       map[*server]struct{}{},
		nodesPerServer: float64(env.settings.FleetSize),
		index:          newServerIndex(),
	}
}

// warm returns the number of usable servers that are not warming up.
func (set *serverSet) warm() float64 { return set.usable - float64(len(set.warmingUp())) }

// warmingUp returns the usable servers that are warming up, in no order.
func (set *serverSet) warmingUp() []*server { return set.index.all.servers[slowStarting] }

// applyUpdate applies an update of the endpoint list. It calls observe with each entry before the entry
// replaces the server's previous one.
func (set *serverSet) applyUpdate(update EndpointUpdate, observe func(*server, Endpoint)) {
	set.nodesPerServer = update.NodesPerServer
	if !(update.NodesPerServer > 0) {
		set.nodesPerServer = float64(set.env.settings.FleetSize)
	}
	if update.Kind != Delta {
		set.examined += uint64(len(set.ordered))
		for _, s := range set.ordered {
			set.setEndpoint(s, s.Endpoint, false)
		}
	}
	for _, endpoint := range update.Endpoints {
		s := set.byID[endpoint.Server]
		if s == nil {
			s = newServer()
			s.Server = endpoint.Server
			set.add(s)
		} else if endpoint.Condition == Removed {
			endpoint = s.removed()
		}
		observe(s, endpoint)
		set.setEndpoint(s, endpoint, endpoint.Condition != Removed)
	}
	set.examined += uint64(len(update.Endpoints))
	set.sort()
	set.prune()
	set.updatePreferred(update.Endpoints)
}

// removed returns the entry of a server that is removed. Its place stays, whatever the update says of it:
// further attempts of its requests may depend on the place, and a server that leaves a node's subset is
// removed by its ID alone.
func (s *server) removed() Endpoint {
	endpoint := s.Endpoint
	endpoint.Condition = Removed
	return endpoint
}

// add adds a server that is not listed yet.
func (set *serverSet) add(s *server) {
	if n := len(set.ordered); n > 0 && set.ordered[n-1].Server > s.Server {
		set.unordered = true
	}
	set.byID[s.Server] = s
	set.ordered = append(set.ordered, s)
	set.unlisted[s] = struct{}{}
	set.updateSuspect(s)
}

// setEndpoint replaces the entry of a server and records whether the server is listed.
func (set *serverSet) setEndpoint(s *server, endpoint Endpoint, listed bool) {
	if s.usable() {
		set.usable--
	}
	s.Endpoint = endpoint
	s.listed = listed
	set.setPositions(s)
	if s.listed {
		delete(set.unlisted, s)
	} else {
		set.unlisted[s] = struct{}{}
	}
	if s.usable() {
		set.usable++
	}
	set.index.update(s)
}

// sort restores the order of the servers after one was added out of order.
func (set *serverSet) sort() {
	if !set.unordered {
		return
	}
	slices.SortFunc(set.ordered, func(a, b *server) int { return cmp.Compare(a.Server, b.Server) })
	set.unordered = false
}

// prune drops the servers that are no longer listed and have no attempt in flight.
func (set *serverSet) prune() {
	set.examined += uint64(len(set.unlisted))
	dropped := 0
	for s := range set.unlisted {
		if s.inFlight > 0 {
			continue
		}
		dropped++
		delete(set.unlisted, s)
		delete(set.byID, s.Server)
		set.removeSuspect(s)
	}
	if dropped > 0 {
		set.ordered = slices.DeleteFunc(set.ordered, func(s *server) bool { return set.byID[s.Server] != s })
	}
}

// ServersExamined returns, for the operators' metrics, how often a rule has looked at a server since the
// start. A number that grows faster than the requests shows work that grows with the list.
func (c *Controller) ServersExamined() uint64 { return c.servers.examined }
