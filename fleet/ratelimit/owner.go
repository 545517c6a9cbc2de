package ratelimit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NodeRange is the range of nodes that a tenant's requests may reach: Count nodes from index First on, wrapping around
// at the end of the fleet.
type NodeRange struct{ First, Count int }

// weight returns the rendezvous hashing weight of a node for a key. All nodes compute the same one.
func weight(key uint64, node int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], uint64(node))
	return xxhash.Sum64(b[:])
}

// Owner returns the live node in nodes that owns the tenant's token bucket, chosen by rendezvous hashing so that a
// membership change moves only the tenants of the affected node. It returns -1 if no node in nodes is live. quorum
// reports whether a majority of nodes is live, which is the case on at most one side of a partition.
func Owner(tenant uint64, nodes NodeRange, fleetSize int, live func(node int) bool) (owner int, quorum bool) {
	owner = -1
	highest := uint64(0)
	count := 0
	for i := range nodes.Count {
		node := (nodes.First + i) % fleetSize
		if !live(node) {
			continue
		}
		count++
		if w := weight(tenant, node); owner < 0 || w > highest {
			owner = node
			highest = w
		}
	}
	return owner, 2*count > nodes.Count
}

// contains reports whether a node is in the range.
func (r NodeRange) contains(node, fleetSize int) bool {
	return (node-r.First+fleetSize)%fleetSize < r.Count
}

// overlaps reports whether the range contains a node with an index in [low, high).
func (r NodeRange) overlaps(low, high, fleetSize int) bool {
	return r.Count > 0 && (r.contains(low, fleetSize) || (r.First-low+fleetSize)%fleetSize < high-low)
}

// rangeAround returns the nodes whose index is within the given distance of a node's index.
func rangeAround(node, distance, fleetSize int) NodeRange {
	if 2*distance+1 >= fleetSize {
		return NodeRange{0, fleetSize}
	}
	return NodeRange{(node - distance + fleetSize) % fleetSize, 2*distance + 1}
}
