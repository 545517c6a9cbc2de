package ratelimit

import "math"

// relayHashKey is the key for which nodes are ranked as relays; a tenant is unlikely to have the same key.
const relayHashKey = 0x6865616473

// relayGroups divides the fleet into groups of nodes with consecutive indexes. There are about as many groups as nodes
// in a group, so that the number of messages that one node sends grows with the square root of the fleet. The relay of
// a group is its live node with the highest weight; a membership change moves the relay of at most one group.
type relayGroups struct {
	fleetSize int
	groupSize int   // number of nodes in a group; the last group may have fewer
	relays    []int // relay of each group; negative if none of its nodes is live
}

func newRelayGroups(fleetSize int, live []int) relayGroups {
	g := relayGroups{fleetSize: fleetSize, groupSize: int(math.Ceil(math.Sqrt(float64(fleetSize))))}
	g.relays = make([]int, (fleetSize+g.groupSize-1)/g.groupSize)
	for i := range g.relays {
		g.relays[i] = -1
	}
	for _, node := range live {
		relay := &g.relays[g.groupOf(node)]
		if *relay < 0 || weight(relayHashKey, node) > weight(relayHashKey, *relay) {
			*relay = node
		}
	}
	return g
}

// groupOf returns the index of a node's group.
func (g *relayGroups) groupOf(node int) int { return node / g.groupSize }

// overlaps reports whether a range contains nodes of a group.
func (g *relayGroups) overlaps(nodes NodeRange, group int) bool {
	return nodes.overlaps(group*g.groupSize, min(g.fleetSize, (group+1)*g.groupSize), g.fleetSize)
}
