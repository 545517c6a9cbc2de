package subset

import (
	"cmp"

	"github.com/google/btree"
)

// treeDegree is the degree of the ordered trees: nodes of 31 to 63 entries.
const treeDegree = 32

// ordering places servers on the ring. Tests replace its functions to force collisions and to count
// comparisons.
type ordering struct {
	hash func(id string) uint64
	less func(a, b *entry) bool
}

// lessOnRing orders entries by position, and those with the same position by ID.
func lessOnRing(a, b *entry) bool {
	if a.position != b.position {
		return a.position < b.position
	}
	return a.id() < b.id()
}

// index holds a server list in ring order.
type index struct {
	ordering
	available *btree.BTreeG[*entry]
	draining  *btree.BTreeG[*entry]
	zones     map[string]*zone
}

// zone holds the servers of one zone.
type zone struct {
	listed    int                   // servers in any state
	available *btree.BTreeG[*entry] // in ring order
}

func newIndex(order ordering) *index {
	return &index{
		ordering:  order,
		available: btree.NewG(treeDegree, order.less),
		draining:  btree.NewG(treeDegree, order.less),
		zones:     make(map[string]*zone),
	}
}

// listed returns the number of servers in any state.
func (x *index) listed() int { return x.available.Len() + x.draining.Len() }

// probe returns an entry with an ID and its position, to search for the listed entry.
func (x *index) probe(id string) entry {
	return entry{position: x.hash(id), text: id, idLength: uint16(len(id))}
}

// find returns the listed entry with the probe's position and ID, or nil.
func (x *index) find(probe *entry) *entry {
	if found, ok := x.available.Get(probe); ok {
		return found
	}
	found, _ := x.draining.Get(probe)
	return found
}

// insert adds an entry whose ID is not listed.
func (x *index) insert(e *entry) {
	name := e.zone()
	z := x.zones[name]
	if z == nil {
		z = &zone{available: btree.NewG(treeDegree, x.less)}
		x.zones[name] = z
	}
	z.listed++
	if !e.available() {
		x.draining.ReplaceOrInsert(e)
		return
	}
	x.available.ReplaceOrInsert(e)
	z.available.ReplaceOrInsert(e)
}

// remove deletes a listed entry.
func (x *index) remove(e *entry) {
	name := e.zone()
	z := x.zones[name]
	z.listed--
	if e.available() {
		x.available.Delete(e)
		z.available.Delete(e)
	} else {
		x.draining.Delete(e)
	}
	if z.listed == 0 {
		delete(x.zones, name)
	}
}

// clockwise visits all entries of a tree once, in ring order from a position, until visit returns false.
func clockwise(tree *btree.BTreeG[*entry], start uint64, visit func(*entry) bool) {
	first := &entry{position: start}
	more := true
	tree.AscendGreaterOrEqual(first, func(e *entry) bool {
		more = visit(e)
		return more
	})
	if more {
		tree.AscendLessThan(first, visit)
	}
}

// compareFrom returns a comparison of entries by their distance clockwise from a position, then by ID.
func compareFrom(start uint64) func(a, b *entry) int {
	return func(a, b *entry) int {
		if order := cmp.Compare(a.position-start, b.position-start); order != 0 {
			return order
		}
		return cmp.Compare(a.id(), b.id())
	}
}
