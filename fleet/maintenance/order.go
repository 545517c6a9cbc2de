package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// grain is what two latest starts may differ by and count as equally urgent, in ms. Then the
// machine with less worth at risk goes first.
const grain = int64(time.Minute / time.Millisecond)

// gather is how long a new plan waits for its hosts to ask: the first to ask are not the most urgent.
const gather = 10 * time.Second

// need is what a turn takes as expected, from its grant to its return.
func (s *State) need(length Duration) Duration {
	return s.plan.plan.DrainDuration + length + s.plan.plan.WarmUpDuration
}

// rank is a host's place in the order: by the latest time at which it has to go, then by the worth
// that it serves, then by name.
type rank struct {
	host   string
	m      *machine
	start  int64
	load   uint32
	length Duration
	due    Timestamp
}

func (s *State) rank(host string, w work) rank {
	r := rank{host: host, length: w.length, due: w.deadline}
	r.m = s.fleet[host]
	if r.m != nil {
		r.load = r.m.Load
	}
	return r
}

func (r rank) compare(q rank) int {
	return cmp.Or(cmp.Compare(r.start, q.start), cmp.Compare(r.load, q.load), cmp.Compare(r.host, q.host))
}

// order puts hosts in their order.
func (s *State) order(queue []rank) {
	for i := range queue {
		q := &queue[i]
		q.start = (s.due(q) - s.need(q.length).millis()) / grain
	}
	slices.SortFunc(queue, rank.compare)
}

// due is when a host's turn has to have ended: by its deadline, or before the next window of its zone
// if it still can, as it would wait for that window's end.
func (s *State) due(q *rank) int64 {
	due := int64(q.due)
	if due == 0 {
		due = math.MaxInt64 / 2
	}
	for _, u := range s.uplinks {
		before := int64(u.Start) - s.plan.plan.Bounds.UplinkMargin.millis()
		if q.m != nil && u.Zone == q.m.Zone && int64(s.wall)+s.need(q.length).millis() <= before {
			due = min(due, before)
		}
	}
	return due
}

// queue lists those that ask, in order.
func (s *State) queue() (queue []rank) {
	for _, t := range s.turns {
		if t.Stage != StageRequested || s.now < t.TimerAt || s.fleet[t.Host] == nil {
			continue
		}
		if w, wanted := s.wanted(t.Host); wanted {
			queue = append(queue, s.rank(t.Host, w))
		}
	}
	s.order(queue)
	return queue
}

// give grants turns, in order, to all that the bounds let out. Only a look gives any: the evidence is
// then as new as it can be.
func (s *State) give(r *Result) {
	if s.plan == nil || s.Halted() || s.blind || s.now-s.seen > evidenceMost || s.now < s.loaded+gather {
		return
	}
	full := map[place]bool{} // zones that let nobody more out
	for _, q := range s.queue() {
		if full[place{q.m.Zone, q.m.Kind}] {
			continue
		}
		switch b := s.barred(&s.yard, q.m, false, s.need(q.length), s.wall); b.bound {
		case BoundNone:
			t := s.turns[q.host]
			s.fence++
			t.FencingToken, t.TimerAt = s.fence, s.now+time.Duration(s.plan.plan.GrantTimeout)
			s.turn(t, StageGranted)
			r.Granted = append(r.Granted, t.Host)
		case BoundZone, BoundZoneState:
			full[place{q.m.Zone, q.m.Kind}] = true
		}
	}
}
