package control

import "math"

const (
	// nodesPerPreferredServer is the number of nodes of a fleet that prefer each server.
	nodesPerPreferredServer = 10.0
	// minPreferredServers is the minimum number of servers that a node prefers.
	minPreferredServers = 7.0
	// maxPreferredServers and minNodesPerPreferredServer replace nodesPerPreferredServer where the list has more
	// than maxScannedServers usable servers; see updatePreferredShare. preferredShareStep is the relative
	// change of its length from which a longer list changes the preferred fraction.
	maxPreferredServers        = 40.0
	minNodesPerPreferredServer = 3.0
	preferredShareStep         = 0.2
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
	position := s.position
	if s.warmingUp {
		position = s.warmUpPosition
	}
	return position < set.preferredFraction(s)
}

// setPositions sets the positions of a server in the unit interval by its entry. While it is warming up, its
// hash key counts, which is the same at all nodes, so that equally many nodes prefer each of these servers.
// Otherwise its number counts, which each node assigns in sequence, so that all nodes prefer equally many.
func (set *serverSet) setPositions(s *server) {
	s.position = set.positionOf(s.Server)
	s.warmUpPosition = s.position
	if s.HashKey != 0 {
		s.warmUpPosition = set.positionOf(s.HashKey)
	}
}

// positionOf returns the position of a key in the unit interval, as this node sees it.
func (set *serverSet) positionOf(key uint32) float64 {
	node := float64(set.env.settings.NodeIndex) / float64(set.env.settings.FleetSize)
	_, position := math.Modf(node + float64(key)*goldenRatio)
	return position
}

// preferredShare is the fraction of warm servers that this node prefers, and the list for which it was
// computed.
type preferredShare struct {
	fraction       float64
	usable         float64
	nodesPerServer float64
}

// preferredFraction returns the fraction of the nodes that prefer a server. It is also the fraction of such
// servers that a node prefers.
func (set *serverSet) preferredFraction(s *server) float64 {
	fraction := set.preferring.fraction
	if s.warmingUp {
		fraction *= warmingPreferredFactor
	}
	return min(1, fraction)
}

// updatePreferredShare computes the preferred fraction after an update and reports whether it has changed. Of
// a long list a node prefers about maxPreferredServers, as its connections and what it knows of each server
// go with its own traffic and not with the list, but each server is preferred by minNodesPerPreferredServer
// nodes on average. The fraction follows the length of a long list in steps, so that few updates change it.
func (set *serverSet) updatePreferredShare() (changed bool) {
	old := set.preferring
	nodes := nodesPerPreferredServer
	if set.usable > maxScannedServers {
		drift := math.Abs(set.usable-old.usable) / set.usable
		wasLong := old.usable > maxScannedServers && old.nodesPerServer == set.nodesPerServer
		if wasLong && drift < preferredShareStep {
			return false
		}
		nodes = min(nodes, max(minNodesPerPreferredServer, maxPreferredServers*set.nodesPerServer/set.usable))
	}
	set.preferring = preferredShare{
		fraction:       max(nodes/set.nodesPerServer, minPreferredServers/max(set.usable, 1)),
		usable:         set.usable,
		nodesPerServer: set.nodesPerServer,
	}
	return set.preferring.fraction != old.fraction
}

// updatePreferred determines the preferred servers after an update of the endpoint list: all of them if their
// fraction has changed, otherwise only the updated ones.
func (set *serverSet) updatePreferred(updated []Endpoint) {
	if set.updatePreferredShare() {
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
