package share

import (
	"encoding/binary"
	"math"

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

// holds tells whether a node is one of a set.
func (s Set) holds(node, group int) bool { return (node-s.First+group)%group < s.Spread }

// meets tells whether a set has one of the nodes from lo up to hi.
func (s Set) meets(lo, hi, group int) bool {
	return s.Spread > 0 && (s.holds(lo, group) || (s.First-lo+group)%group < hi-lo)
}

// around is the set of all nodes that are within a reach of one.
func around(node, reach, group int) Set {
	if 2*reach+1 >= group {
		return Set{0, group}
	}
	return Set{(node - reach + group) % group, 2*reach + 1}
}

// headMatter ranks nodes as heads; no customer's key is likely to be the same.
const headMatter = 0x6865616473

// cells is how nodes are told: in cells of as many neighbours by index as there are cells, about, so
// that what one node sends grows with the root of the fleet. Each has a head, the live node of the
// highest rank; a change moves the head of one cell at most.
type cells struct {
	group, width int
	heads        []int // by cell; below zero is none live
}

func newCells(group int, nodes []int) cells {
	c := cells{group: group, width: int(math.Ceil(math.Sqrt(float64(group))))}
	c.heads = make([]int, (group+c.width-1)/c.width)
	for i := range c.heads {
		c.heads[i] = -1
	}
	for _, n := range nodes {
		if h := &c.heads[c.of(n)]; *h < 0 || weight(headMatter, n) > weight(headMatter, *h) {
			*h = n
		}
	}
	return c
}

// of gives a node's cell.
func (c *cells) of(node int) int { return node / c.width }

// meets tells whether a set has nodes of a cell.
func (c *cells) meets(s Set, cell int) bool {
	return s.meets(cell*c.width, min(c.group, (cell+1)*c.width), c.group)
}
