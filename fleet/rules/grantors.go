package rules

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxDirectNodes is the size of a fleet up to which all nodes request leases from the leader itself.
const maxDirectNodes = 24

// Peer is a live node of the fleet, this one among them.
type Peer struct {
	Index int
	Zone  string
}

// ChooseGrantors returns the nodes from which a node requests leases, by the peers that it sees: voters and relays the
// leader, others a relay of their own zone, then another one, then the leader. There are as many relays as the root of the
// nodes, in each zone by its part. They are chosen by hashes, so that a node that goes moves those who requested from it,
// and hardly anyone else. Nodes that see other peers choose other relays, and nothing is wrong: any node grants on what it
// holds.
//
// The node does not use it: internal/consensus/learner groups the nodes by index (relays.go there), which moves no node
// when the membership changes. The scale test and the virtual fleets of the testbed measure this one.
func ChooseGrantors(self, leader int, voters []int, live []Peer) []int {
	if leader < 0 {
		return nil
	}
	i := slices.IndexFunc(live, func(p Peer) bool { return p.Index == self })
	if i < 0 || len(live) <= maxDirectNodes || slices.Contains(voters, self) {
		return []int{leader}
	}
	var zone []int
	for _, p := range live {
		if p.Zone == live[i].Zone && !slices.Contains(voters, p.Index) {
			zone = append(zone, p.Index)
		}
	}
	relays := int(math.Ceil(float64(len(zone)) / math.Sqrt(float64(len(live)))))
	sortByWeight(zone, func(index int) uint64 { return hashWeight(index, index) })
	zone = zone[:relays]
	if slices.Contains(zone, self) {
		return []int{leader}
	}
	sortByWeight(zone, func(index int) uint64 { return hashWeight(self, index) })
	return append(zone[:min(2, relays)], leader)
}

// sortByWeight sorts nodes by a weight, the greatest first.
func sortByWeight(nodes []int, weight func(int) uint64) {
	slices.SortFunc(nodes, func(a, b int) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), a-b) })
}

func hashWeight(a, b int) uint64 { return xxhash.Sum64(encodeUint(uint64(a)<<32 | uint64(b))) }
