package control

import "math"

const (
	// nodesPerPreferredServer is how many nodes of a fleet prefer each server.
	nodesPerPreferredServer = 10.0
	// minPreferredServers is how many servers a node prefers at least.
	minPreferredServers = 7.0
	// warmingPreferredFactor is how many times as many nodes prefer a server that is warming up: what
	// each may send there is little, and little comes through some nodes.
	warmingPreferredFactor = 3.0
	// goldenRatio spreads whole numbers evenly over a unit interval.
	goldenRatio = 0.6180339887
)

// isPreferred reports whether this node prefers a server to others. Each server is preferred by a part
// of the nodes, chosen by its number, so that loads are even and a change of the list moves no other server.
// It keeps many nodes from opening connections to every server and knowing next to nothing of any.
func (set *serverSet) isPreferred(s *server) bool {
	key := s.Server // counted up by each node, so that each prefers as many
	if s.warmingUp && s.HashKey != 0 {
		key = s.HashKey // the same at all nodes, so that as many prefer each server that is warming up
	}
	position := float64(set.env.settings.NodeIndex) / float64(set.env.settings.FleetSize)
	_, fraction := math.Modf(position + float64(key)*goldenRatio)
	return fraction < set.preferredFraction(s)
}

// preferredFraction returns the fraction of the nodes that prefer a server, which is also the fraction of
// such servers that a node prefers.
func (set *serverSet) preferredFraction(s *server) float64 {
	fraction := max(nodesPerPreferredServer/set.nodesPerServer, minPreferredServers/max(set.usable, 1))
	if s.warmingUp {
		fraction *= warmingPreferredFactor
	}
	return min(1, fraction)
}
