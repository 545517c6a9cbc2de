package ratelimit

import "math"

// relayHashKey ranks nodes as relays; no tenant's key is likely to be the same.
const relayHashKey = 0x6865616473

// relayGroups divides the fleet into groups of neighbours by index, about as many as each has nodes, so that what one
// node sends grows with the square root of the fleet. Each group has a relay, its live node of the highest rank; a
// membership change moves the relay of at most one group.
type relayGroups struct {
	fleetSize int
	groupSize int   // nodes of a group
	relays    []int // by group; below zero is none live
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

// of returns the group of a node.
func (g *relayGroups) groupOf(node int) int { return node / g.groupSize }

// overlaps reports whether a range has nodes of a group.
func (g *relayGroups) overlaps(nodes NodeRange, group int) bool {
	return nodes.overlaps(group*g.groupSize, min(g.fleetSize, (group+1)*g.groupSize), g.fleetSize)
}
