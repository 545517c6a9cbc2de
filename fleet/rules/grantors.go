package rules

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxDirectNodes is the largest number of live nodes at which all of them request leases from the leader directly.
const maxDirectNodes = 24

// Peer is a live node of the fleet; the node itself is one of its peers.
type Peer struct {
	Index int // index in the fleet
	Zone  string
}

// ChooseGrantors returns the indices of the nodes from which a node requests leases, the preferred one first. Voters
// and relays request from the leader; other nodes from a relay of their zone, then from a second one, then from the
// leader. With at most maxDirectNodes live nodes, all request from the leader. It returns nil if no leader is known (a
// negative index).
//
// The fleet has about as many relays as the square root of its live nodes, distributed over the zones in proportion to
// their nodes. Relays are chosen by rendezvous hashing, so that the loss of a node moves those that requested leases
// from it and hardly any other. Nodes that see different peers may choose different relays. That is safe, because any
// node may grant from its own lease.
//
// The edge node does not use this function: internal/consensus/learner groups the nodes by index (see relays.go there),
// so that no node moves when the membership changes. The scale tests and the virtual fleets of the testbed measure this
// one.
func ChooseGrantors(self, leader int, voters []int, live []Peer) []int {
	if leader < 0 {
		return nil
	}
	i := slices.IndexFunc(live, func(p Peer) bool { return p.Index == self })
	if i < 0 || len(live) <= maxDirectNodes || slices.Contains(voters, self) {
		return []int{leader}
	}
	var candidates []int
	for _, p := range live {
		if p.Zone == live[i].Zone && !slices.Contains(voters, p.Index) {
			candidates = append(candidates, p.Index)
		}
	}
	relays := int(math.Ceil(float64(len(candidates)) / math.Sqrt(float64(len(live)))))
	sortByWeight(candidates, func(index int) uint64 { return hashWeight(index, index) })
	candidates = candidates[:relays]
	if slices.Contains(candidates, self) {
		return []int{leader}
	}
	sortByWeight(candidates, func(index int) uint64 { return hashWeight(self, index) })
	return append(candidates[:min(2, relays)], leader)
}

// sortByWeight sorts nodes by descending weight, and by index where weights are equal.
func sortByWeight(nodes []int, weight func(int) uint64) {
	slices.SortFunc(nodes, func(a, b int) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), a-b) })
}

// hashWeight returns the rendezvous hash of a pair of indices.
func hashWeight(a, b int) uint64 { return xxhash.Sum64(encodeUint(uint64(a)<<32 | uint64(b))) }
