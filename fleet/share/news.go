package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

// news is what is to be passed on.
type news struct {
	levels map[uint64]at
	owners map[int]told
	words  map[word]time.Duration
}

// at is a level with the time at which it was right, and whom it is for.
type at struct {
	level float64
	at    time.Duration
	set   Set
}

// told is when an owner's low stores were all told, and whom they are for.
type told struct {
	at    time.Duration
	reach int
}

func newNews() news {
	return news{make(map[uint64]at), make(map[int]told), make(map[word]time.Duration)}
}

func (n *news) empty() bool { return len(n.levels)+len(n.owners)+len(n.words) == 0 }

func (n *news) level(customer uint64, v at) {
	if o, ok := n.levels[customer]; !ok || v.at > o.at {
		n.levels[customer] = v
	}
}

func (n *news) charge(w word, when time.Duration) {
	if o, ok := n.words[w]; !ok || when > o {
		n.words[w] = when
	}
}

func (n *news) owner(node int, v told) {
	if o, ok := n.owners[node]; !ok || v.at > o.at {
		n.owners[node] = v
	}
}

// sheet is news in the form and order in which it is sent.
type sheet struct {
	levels  []Level
	owners  []Told
	charges []Charge
}

// sheet takes all news, which are empty after.
func (n *news) sheet(now time.Duration) (s sheet) {
	age := func(when time.Duration) uint32 {
		return uint32(math.Ceil(float64(max(0, now-when)) / float64(time.Millisecond)))
	}
	for _, key := range slices.Sorted(maps.Keys(n.levels)) {
		v := n.levels[key]
		s.levels = append(s.levels, Level{Customer: key, First: v.set.First, Spread: v.set.Spread, Units: float32(v.level), Age: age(v.at)})
	}
	for _, node := range slices.Sorted(maps.Keys(n.owners)) {
		s.owners = append(s.owners, Told{Node: node, Reach: n.owners[node].reach, Age: age(n.owners[node].at)})
	}
	for _, w := range slices.SortedFunc(maps.Keys(n.words), cmpWord) {
		s.charges = append(s.charges, Charge{Key: w.server.Key, Boot: w.server.Boot, Node: w.node, Age: age(n.words[w])})
	}
	*n = newNews()
	return s
}
