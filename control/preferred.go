package control

import "math"

const (
	// nodesPerPreferredServer is the number of nodes of a fleet that prefer each server.
	nodesPerPreferredServer = 10.0
	// minPreferredServers is the minimum number of servers that a node prefers.
	minPreferredServers = 7.0
	// maxPreferredServers and minNodesPerPreferredServer replace nodesPerPreferredServer where the list has more
	// than maxScannedServers usable servers; see basePreferredFraction.
	maxPreferredServers        = 40.0
	minNodesPerPreferredServer = 3.0
	// warmingPreferredFactor is the factor on the number of nodes that prefer a server while it is warming up:
	// each of them may send little to it, and some nodes have little traffic.
	warmingPreferredFactor = 3.0
	// The multiples of goldenRatio, modulo 1, spread whole numbers evenly over the unit interval.
	goldenRatio = 0.6180339887
)

// isPreferred reports whether this node prefers a server. Each server is preferred by a fraction of the
// nodes, which its number selects, so that loads are even and a change of the endpoint list does not move
// other servers. Without preferred servers each of many nodes would open connections to every server and know
// next to nothing of any.
func (set *serverSet) isPreferred(s *server) bool {
	key := s.Server // assigned in sequence by each node, so that all nodes prefer equally many
	if s.warmingUp && s.HashKey != 0 {
		key = s.HashKey // the same at all nodes, so that equally many nodes prefer each of these servers
	}
	position := float64(set.env.settings.NodeIndex) / float64(set.env.settings.FleetSize)
	_, fraction := math.Modf(position + float64(key)*goldenRatio)
	return fraction < set.preferredFraction(s)
}

// preferredFraction returns the fraction of the nodes that prefer a server. It is also the fraction of such
// servers that a node prefers.
func (set *serverSet) preferredFraction(s *server) float64 {
	fraction := set.basePreferredFraction()
	if s.warmingUp {
		fraction *= warmingPreferredFactor
	}
	return min(1, fraction)
}

// basePreferredFraction returns the preferred fraction of warm servers. Of a long list a node prefers no more
// than maxPreferredServers, as its connections and what it knows of each server go with its own traffic and
// not with the list, but each server is preferred by minNodesPerPreferredServer nodes on average.
func (set *serverSet) basePreferredFraction() float64 {
	nodes := nodesPerPreferredServer
	if set.usable > maxScannedServers {
		nodes = min(nodes, max(minNodesPerPreferredServer, maxPreferredServers*set.nodesPerServer/set.usable))
	}
	return max(nodes/set.nodesPerServer, minPreferredServers/max(set.usable, 1))
}

// updatePreferred determines the preferred servers after an update of the endpoint list: all of them if their
// fraction has changed, otherwise only the updated ones.
func (set *serverSet) updatePreferred(updated []Endpoint) {
	if fraction := set.basePreferredFraction(); fraction != set.preferring {
		set.preferring = fraction
		set.examined += uint64(len(set.ordered))
		for _, s := range set.ordered {
			set.setPreferred(s, set.isPreferred(s))
		}
		return
	}
	for _, endpoint := range updated {
		if s := set.byID[endpoint.Server]; s != nil {
			set.setPreferred(s, set.isPreferred(s))
		}
	}
}

// setPreferred records whether this node prefers a server.
func (set *serverSet) setPreferred(s *server, preferred bool) {
	if s.preferred != preferred {
		s.preferred = preferred
		set.index.update(s)
	}
}
