package share

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set is the nodes that a customer may come through: spread of them from first on, by index in the
// group, around its end.
type Set struct{ First, Spread int }

// weight is a node's rank for a matter, the same wherever it is reckoned.
func weight(matter uint64, node int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], matter)
	binary.LittleEndian.PutUint64(b[8:], uint64(node))
	return xxhash.Sum64(b[:])
}

// Owner gives the node, among those of a set for which live holds, that holds a customer's store,
// by rendezvous hashing: a node that goes moves its own customers alone, and one that comes takes
// its even part. It gives -1 where none is live. Quorum tells whether most of the set is live: of
// the sides of a partition one has it at most.
func Owner(customer uint64, s Set, group int, live func(node int) bool) (owner int, quorum bool) {
	owner, most, n := -1, uint64(0), 0
	for i := range s.Spread {
		node := (s.First + i) % group
		if !live(node) {
			continue
		}
		n++
		if w := weight(customer, node); owner < 0 || w > most {
			owner, most = node, w
		}
	}
	return owner, 2*n > s.Spread
}

// headMatter ranks nodes as heads; no customer's key is likely to be the same.
const headMatter = 0x6865616473

// heads gives the nodes that pass on what owners tell: about as many as each then tells members, so
// that what one node sends grows with the root of the fleet. Nodes are in order.
func heads(nodes []int) []int {
	byRank := slices.SortedFunc(slices.Values(nodes), func(a, b int) int {
		return cmp.Or(cmp.Compare(weight(headMatter, b), weight(headMatter, a)), cmp.Compare(a, b))
	})
	byRank = byRank[:int(math.Ceil(math.Sqrt(float64(len(nodes)))))]
	slices.Sort(byRank)
	return byRank
}

// headOf gives the head that tells a node, itself where it is one.
func headOf(node int, heads []int) int {
	if _, is := slices.BinarySearch(heads, node); is {
		return node
	}
	best, most := -1, uint64(0)
	for _, h := range heads {
		if w := weight(headMatter+1+uint64(node), h); best < 0 || w > most {
			best, most = h, w
		}
	}
	return best
}
