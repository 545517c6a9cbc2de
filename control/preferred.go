package control

import "math"

const (
	// nodesPerPreferredServer is the number of nodes of a fleet that prefer each server.
	nodesPerPreferredServer = 10.0
	// minPreferredServers is the minimum number of servers that a node prefers.
	minPreferredServers = 7.0
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
	fraction := max(nodesPerPreferredServer/set.nodesPerServer, minPreferredServers/max(set.usable, 1))
	if s.warmingUp {
		fraction *= warmingPreferredFactor
	}
	return min(1, fraction)
}
