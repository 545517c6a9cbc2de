package prefetch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// FetchMargin is the time before an outage by which all fetches have to be complete.
	FetchMargin = 2 * time.Second

	maxItems = 4096 // items that one call of Choose considers; it skips further ones
)

// Item is a piece of data that can be fetched before an outage.
type Item struct {
	Key       uint64
	Value     float64       // expected benefit during the outage, in units that all items share
	Bytes     int           // size on the link, including the request
	Source    int           // index of the node to fetch it from
	MaxAge    time.Duration // age at which it becomes useless; 0 means no limit
	NeededFor time.Duration // time after the start of the outage until which it has to be usable
}

// Fetch is an item with the latest local times at which its fetch starts and completes.
type Fetch struct {
	Item
	StartAt, DoneAt time.Duration
}

// Link is the bandwidth and volume available for fetching.
type Link struct {
	BytesPerSecond float64
	MaxBytes       int // total of all fetches
}

// Choose plans the fetches before an outage that starts at the local time outageStart. It returns them in
// the order of their start times, and the items that it skipped. Items with the highest value per byte are
// accepted first, as far as all fetches complete FetchMargin before the outage and none starts so early
// that its item would expire too soon. Items that stay usable longest are fetched first.
//
// With one link and a common deadline, a set of items is feasible if, for each earliest start time, all
// items that may not start before it fit between it and the deadline. Items are therefore accepted one by
// one while that holds.
func Choose(now, outageStart time.Duration, link Link, items []Item) (plan []Fetch, skipped []Item) {
	deadline := outageStart - FetchMargin
	if len(items) > maxItems {
		items, skipped = items[:maxItems], slices.Clone(items[maxItems:])
	}
	byDensity := slices.Clone(items)
	slices.SortStableFunc(byDensity, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Value*float64(a.Bytes), a.Value*float64(b.Bytes)), cmp.Compare(a.Key, b.Key))
	})
	// earliestStart returns the time before which an item must not be fetched, as it would expire too soon.
	earliestStart := func(item Item) time.Duration {
		if item.MaxAge == 0 {
			return now
		}
		return max(now, outageStart+item.NeededFor-item.MaxAge)
	}
	transferTime := func(item Item) time.Duration {
		return time.Duration(float64(item.Bytes) / link.BytesPerSecond * float64(time.Second))
	}
	var accepted []Fetch // by earliest start, latest first
	budget := link.MaxBytes
	for _, item := range byDensity {
		if item.Value <= 0 || item.Bytes <= 0 || item.Bytes > budget || !(link.BytesPerSecond > 0) {
			skipped = append(skipped, item)
			continue
		}
		earliest := earliestStart(item)
		index, _ := slices.BinarySearchFunc(accepted, earliest, func(f Fetch, target time.Duration) int { return cmp.Compare(target, earliestStart(f.Item)) })
		if !fits(accepted, index, earliest, transferTime(item), deadline, earliestStart, transferTime) {
			skipped = append(skipped, item)
			continue
		}
		accepted = slices.Insert(accepted, index, Fetch{Item: item})
		budget -= item.Bytes
	}
	// Fetches are scheduled as late as possible, backwards from the deadline.
	for i := range accepted {
		accepted[i].DoneAt = deadline
		deadline -= transferTime(accepted[i].Item)
		accepted[i].StartAt = deadline
	}
	slices.Reverse(accepted)
	return accepted, skipped
}

// fits reports whether all items can still be fetched in time if one more, with the given earliest start
// and transfer time, is inserted at an index of the accepted ones.
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
	maxEdges          = 256  // edges with queued requests
	maxQueuedRequests = 4096 // queued requests of one edge
)

// Source schedules a node's answers to edges that fetch before an outage. It limits them to a fixed
// bandwidth, so that other traffic keeps the rest of the link. The edge whose outage starts first is served
// first, but not more than twice in a row while others wait. It is not safe for concurrent use.
type Source struct {
	bytesPerSecond float64 // bandwidth for all edges, bytes/s
	tokens         float64 // bytes that may be sent now; negative after a large answer
	updatedAt      time.Duration
	edges          map[int]*queue
	lastServed     int  // edge that was served last; -1 if none
	servedTwice    bool // whether it was served at least twice in a row
}

// queue holds the requests of one edge that are not answered yet.
type queue struct {
	outageStart time.Duration // start of the edge's outage
	sizes       []int         // sizes of the answers, bytes
}

// NewSource returns a source that sends at most bytesPerSecond to all edges together.
func NewSource(bytesPerSecond float64, now time.Duration) *Source {
	return &Source{bytesPerSecond: bytesPerSecond, updatedAt: now, edges: make(map[int]*queue), lastServed: -1}
}

// Enqueue adds a request of an edge whose outage starts at outageStart. bytes is the size of the answer. It
// returns false if the edge's queue is full or maxEdges edges wait; the edge then has to ask another source,
// or later.
func (s *Source) Enqueue(edge int, outageStart time.Duration, bytes int) bool {
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
	q.outageStart, q.sizes = outageStart, append(q.sizes, bytes)
	return true
}

// Drop discards the requests of an edge, for example when its uplink is lost.
func (s *Source) Drop(edge int) { delete(s.edges, edge) }

// Next returns the edge whose oldest request has to be answered now, and removes that request. If the
// bandwidth is used up, edge is -1 and retryAt is the time at which to call again. ok is false if no edge
// waits.
func (s *Source) Next(now time.Duration) (edge int, retryAt time.Duration, ok bool) {
	burst := max(s.bytesPerSecond/10, 1500) // the bytes of 0.1 s, but at least one datagram
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
	s.tokens -= float64(q.sizes[0]) // may become negative, so that an answer larger than the burst can be sent
	q.sizes = q.sizes[1:]
	if len(q.sizes) == 0 {
		delete(s.edges, best)
	}
	s.servedTwice, s.lastServed = best == s.lastServed, best
	return best, 0, true
}

// servedBefore reports whether edgeA, with queue a, is served before edgeB, with queue b.
func servedBefore(a *queue, edgeA int, b *queue, edgeB int) bool {
	return a.outageStart < b.outageStart || (a.outageStart == b.outageStart && edgeA < edgeB)
}
