package prefetch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Margin is how long before a window all that is fetched is to be there.
	FetchMargin = 2 * time.Second

	maxItems = 4096
)

// Item is something that can be fetched.
type Item struct {
	Key       uint64
	Value     float64       // that it is expected to save in the window
	Bytes     int           // on the link, with the question
	Source    int           // that has it
	MaxAge    time.Duration // age from which it is useless; 0 is never
	NeededFor time.Duration // into the window, by which it must be useful still
}

// Fetch is an item with the time by which it is to be begun.
type Fetch struct {
	Item
	StartAt, DoneAt time.Duration
}

// Link is what may be used to fetch.
type Link struct {
	BytesPerSecond float64 // bytes a second
	MaxBytes       int     // in all
}

// Choose gives what to fetch before a window that begins at from, in the order and at the times in
// which to do it, on the clock of now. The densest worth goes first, while it can be had: what is
// fetched is all done Margin before the window, and nothing so early that it is useless in it. What
// lasts longest is fetched first, what ages fastest last.
//
// With one link and one time by which all is done, a choice can be had if, for each time, what may
// not begin before it fits between it and the end; so items are added one by one where that holds.
func Choose(now, windowStart time.Duration, link Link, items []Item) (plan []Fetch, skipped []Item) {
	deadline := windowStart - FetchMargin
	if len(items) > maxItems {
		items, skipped = items[:maxItems], slices.Clone(items[maxItems:])
	}
	byDensity := slices.Clone(items)
	slices.SortStableFunc(byDensity, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Value*float64(a.Bytes), a.Value*float64(b.Bytes)), cmp.Compare(a.Key, b.Key))
	})
	// release is the earliest time at which an item fetched is useful for as long as it must be.
	earliestStart := func(item Item) time.Duration {
		if item.MaxAge == 0 {
			return now
		}
		return max(now, windowStart+item.NeededFor-item.MaxAge)
	}
	transferTime := func(item Item) time.Duration {
		return time.Duration(float64(item.Bytes) / link.BytesPerSecond * float64(time.Second))
	}
	var accepted []Fetch // by release, the latest first; Done is the time at which its fetch ends at the latest
	budget := link.MaxBytes
	for _, item := range byDensity {
		if item.Value <= 0 || item.Bytes <= 0 || item.Bytes > budget || !(link.BytesPerSecond > 0) {
			skipped = append(skipped, item)
			continue
		}
		earliest := earliestStart(item)
		index, _ := slices.BinarySearchFunc(accepted, earliest, func(f Fetch, r time.Duration) int { return cmp.Compare(r, earliestStart(f.Item)) })
		if !fits(accepted, index, earliest, transferTime(item), deadline, earliestStart, transferTime) {
			skipped = append(skipped, item)
			continue
		}
		accepted = slices.Insert(accepted, index, Fetch{Item: item})
		budget -= item.Bytes
	}
	// As late as can be: backwards from the end.
	for i := range accepted {
		accepted[i].DoneAt = deadline
		deadline -= transferTime(accepted[i].Item)
		accepted[i].StartAt = deadline
	}
	slices.Reverse(accepted)
	return accepted, skipped
}

// fits tells whether one more item, put at a place among those taken, leaves each its time.
func fits(accepted []Fetch, index int, earliest, transfer, deadline time.Duration, earliestStart, transferTime func(Item) time.Duration) bool {
	for _, f := range accepted[:index] {
		deadline -= transferTime(f.Item)
	}
	deadline -= transfer
	if deadline < earliest {
		return false
	}
	for _, f := range accepted[index:] {
		deadline -= transferTime(f.Item)
		if deadline < earliestStart(f.Item) {
			return false
		}
	}
	return true
}

const (
	maxEdges          = 256
	maxQueuedRequests = 4096 // questions of one edge that wait
)

// Source shares what one node gives to edges that go: a stated part of its link, so that ordinary
// talk keeps the rest, and of that the edge whose window is next first, but no edge more than half
// while others wait. Not safe for concurrent use.
type Source struct {
	bytesPerSecond float64 // bytes a second for all edges
	tokens         float64 // bytes that may go now
	updatedAt      time.Duration
	edges          map[int]*queue
	lastServed     int // edge served last
	servedTwice    bool
}

// queue is what one edge waits for.
type queue struct {
	windowStart time.Duration // begin of its window
	sizes       []int
}

// NewSource makes one that gives so many bytes a second to edges.
func NewSource(bytesPerSecond float64, now time.Duration) *Source {
	return &Source{bytesPerSecond: bytesPerSecond, updatedAt: now, edges: make(map[int]*queue), lastServed: -1}
}

// Ask takes a question of an edge whose window begins at from. It tells false where it has no room
// for one more: the edge asks another source or later.
func (s *Source) Enqueue(edge int, windowStart time.Duration, bytes int) bool {
	q := s.edges[edge]
	if q == nil {
		if len(s.edges) >= maxEdges {
			return false
		}
		q = &queue{}
		s.edges[edge] = q
	}
	if len(q.sizes) >= maxQueuedRequests {
		return false
	}
	q.windowStart, q.sizes = windowStart, append(q.sizes, bytes)
	return true
}

// Drop forgets what an edge waits for: its link is gone.
func (s *Source) Drop(edge int) { delete(s.edges, edge) }

// Next gives the edge to be answered now, or when to ask again; ok is false where nobody waits.
// The answers of an edge go in the order of its questions.
func (s *Source) Next(now time.Duration) (edge int, retryAt time.Duration, ok bool) {
	burst := max(s.bytesPerSecond/10, 1500) // a tenth of a second, a datagram at least
	s.tokens = min(burst, s.tokens+s.bytesPerSecond*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	if len(s.edges) == 0 {
		return -1, 0, false
	}
	best, second := -1, -1
	for e, q := range s.edges {
		switch {
		case best < 0 || servedBefore(q, e, s.edges[best], best):
			best, second = e, best
		case second < 0 || servedBefore(q, e, s.edges[second], second):
			second = e
		}
	}
	if second >= 0 && best == s.lastServed && s.servedTwice {
		best = second
	}
	q := s.edges[best]
	if s.tokens < 0 {
		return -1, now + time.Duration(-s.tokens/s.bytesPerSecond*float64(time.Second)) + time.Millisecond, true
	}
	s.tokens -= float64(q.sizes[0]) // one answer may go into debt, so that a large one goes at all
	q.sizes = q.sizes[1:]
	if len(q.sizes) == 0 {
		delete(s.edges, best)
	}
	s.servedTwice, s.lastServed = best == s.lastServed, best
	return best, 0, true
}

func servedBefore(a *queue, edgeA int, b *queue, edgeB int) bool {
	return a.windowStart < b.windowStart || (a.windowStart == b.windowStart && edgeA < edgeB)
}
