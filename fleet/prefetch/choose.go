package prefetch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Margin is how long before a window all that is fetched is to be there.
	Margin = 2 * time.Second

	itemsMost = 4096
)

// Item is something that can be fetched.
type Item struct {
	Key    uint64
	Worth  float64       // that it is expected to save in the window
	Bytes  int           // on the link, with the question
	Source int           // that has it
	Useful time.Duration // age from which it is useless; 0 is never
	Until  time.Duration // into the window, by which it must be useful still
}

// Fetch is an item with the time by which it is to be begun.
type Fetch struct {
	Item
	Begin, Done time.Duration
}

// Link is what may be used to fetch.
type Link struct {
	Rate  float64 // bytes a second
	Bytes int     // in all
}

// Choose gives what to fetch before a window that begins at from, in the order and at the times in
// which to do it, on the clock of now. The densest worth goes first, while it can be had: what is
// fetched is all done Margin before the window, and nothing so early that it is useless in it. What
// lasts longest is fetched first, what ages fastest last.
//
// With one link and one time by which all is done, a choice can be had if, for each time, what may
// not begin before it fits between it and the end; so items are added one by one where that holds.
func Choose(now, from time.Duration, link Link, items []Item) (plan []Fetch, left []Item) {
	end := from - Margin
	if len(items) > itemsMost {
		items, left = items[:itemsMost], slices.Clone(items[itemsMost:])
	}
	order := slices.Clone(items)
	slices.SortStableFunc(order, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Worth*float64(a.Bytes), a.Worth*float64(b.Bytes)), cmp.Compare(a.Key, b.Key))
	})
	// release is the earliest time at which an item fetched is useful for as long as it must be.
	release := func(i Item) time.Duration {
		if i.Useful == 0 {
			return now
		}
		return max(now, from+i.Until-i.Useful)
	}
	takes := func(i Item) time.Duration {
		return time.Duration(float64(i.Bytes) / link.Rate * float64(time.Second))
	}
	var taken []Fetch // by release, the latest first; Done is the time at which its fetch ends at the latest
	budget := link.Bytes
	for _, i := range order {
		if i.Worth <= 0 || i.Bytes <= 0 || i.Bytes > budget || !(link.Rate > 0) {
			left = append(left, i)
			continue
		}
		r := release(i)
		at, _ := slices.BinarySearchFunc(taken, r, func(f Fetch, r time.Duration) int { return cmp.Compare(r, release(f.Item)) })
		if !fits(taken, at, r, takes(i), end, release, takes) {
			left = append(left, i)
			continue
		}
		taken = slices.Insert(taken, at, Fetch{Item: i})
		budget -= i.Bytes
	}
	// As late as can be: backwards from the end.
	for k := range taken {
		taken[k].Done = end
		end -= takes(taken[k].Item)
		taken[k].Begin = end
	}
	slices.Reverse(taken)
	return taken, left
}

// fits tells whether one more item, put at a place among those taken, leaves each its time.
func fits(taken []Fetch, at int, r, takes, end time.Duration, release, long func(Item) time.Duration) bool {
	for _, f := range taken[:at] {
		end -= long(f.Item)
	}
	end -= takes
	if end < r {
		return false
	}
	for _, f := range taken[at:] {
		end -= long(f.Item)
		if end < release(f.Item) {
			return false
		}
	}
	return true
}

const (
	edgesMost = 256
	queueMost = 4096 // questions of one edge that wait
)

// Source shares what one node gives to edges that go: a stated part of its link, so that ordinary
// talk keeps the rest, and of that the edge whose window is next first, but no edge more than half
// while others wait. Not safe for concurrent use.
type Source struct {
	rate  float64 // bytes a second for all edges
	room  float64 // bytes that may go now
	at    time.Duration
	edges map[int]*queue
	last  int // edge served last
	twice bool
}

// queue is what one edge waits for.
type queue struct {
	from  time.Duration // begin of its window
	sizes []int
}

// NewSource makes one that gives so many bytes a second to edges.
func NewSource(rate float64, now time.Duration) *Source {
	return &Source{rate: rate, at: now, edges: make(map[int]*queue), last: -1}
}

// Ask takes a question of an edge whose window begins at from. It tells false where it has no room
// for one more: the edge asks another source or later.
func (s *Source) Ask(edge int, from time.Duration, bytes int) bool {
	q := s.edges[edge]
	if q == nil {
		if len(s.edges) >= edgesMost {
			return false
		}
		q = &queue{}
		s.edges[edge] = q
	}
	if len(q.sizes) >= queueMost {
		return false
	}
	q.from, q.sizes = from, append(q.sizes, bytes)
	return true
}

// Drop forgets what an edge waits for: its link is gone.
func (s *Source) Drop(edge int) { delete(s.edges, edge) }

// Next gives the edge to be answered now, or when to ask again; ok is false where nobody waits.
// The answers of an edge go in the order of its questions.
func (s *Source) Next(now time.Duration) (edge int, again time.Duration, ok bool) {
	burst := max(s.rate/10, 1500) // a tenth of a second, a datagram at least
	s.room = min(burst, s.room+s.rate*(now-s.at).Seconds())
	s.at = now
	if len(s.edges) == 0 {
		return -1, 0, false
	}
	best, second := -1, -1
	for e, q := range s.edges {
		switch {
		case best < 0 || less(q, e, s.edges[best], best):
			best, second = e, best
		case second < 0 || less(q, e, s.edges[second], second):
			second = e
		}
	}
	if second >= 0 && best == s.last && s.twice {
		best = second
	}
	q := s.edges[best]
	if s.room < 0 {
		return -1, now + time.Duration(-s.room/s.rate*float64(time.Second)) + time.Millisecond, true
	}
	s.room -= float64(q.sizes[0]) // one answer may go into debt, so that a large one goes at all
	q.sizes = q.sizes[1:]
	if len(q.sizes) == 0 {
		delete(s.edges, best)
	}
	s.twice, s.last = best == s.last, best
	return best, 0, true
}

func less(a *queue, i int, b *queue, j int) bool {
	return a.from < b.from || (a.from == b.from && i < j)
}
