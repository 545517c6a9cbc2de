package rules

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// flatMost is the nodes of a fleet at most that all ask the leader itself.
const flatMost = 24

// Peer is a live node of the fleet, this one among them.
type Peer struct {
	Index int
	Zone  string
}

// Parents gives whom a node asks for leases, by the peers that it sees: voters and heads the leader,
// others a head of their own zone, then another one, then the leader. Heads are as many as the root
// of the nodes, in each zone by its part; which ones and whose is by hashes, so that a node that
// goes moves those who asked it, and hardly anyone else. Nodes that see other peers choose other heads,
// and nothing is wrong: any node grants on what it holds.
func Parents(self, leader int, voters []int, live []Peer) []int {
	if leader < 0 {
		return nil
	}
	i := slices.IndexFunc(live, func(p Peer) bool { return p.Index == self })
	if i < 0 || len(live) <= flatMost || slices.Contains(voters, self) {
		return []int{leader}
	}
	var zone []int
	for _, p := range live {
		if p.Zone == live[i].Zone && !slices.Contains(voters, p.Index) {
			zone = append(zone, p.Index)
		}
	}
	heads := int(math.Ceil(float64(len(zone)) / math.Sqrt(float64(len(live)))))
	top(zone, func(index int) uint64 { return pair(index, index) })
	if zone = zone[:heads]; slices.Contains(zone, self) {
		return []int{leader}
	}
	top(zone, func(index int) uint64 { return pair(self, index) })
	return append(zone[:min(2, heads)], leader)
}

// top orders nodes by a weight, the greatest first.
func top(nodes []int, weight func(int) uint64) {
	slices.SortFunc(nodes, func(a, b int) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), a-b) })
}

func pair(a, b int) uint64 { return xxhash.Sum64(encodeUint(uint64(a)<<32 | uint64(b))) }
