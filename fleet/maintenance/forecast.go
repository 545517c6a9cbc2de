package maintenance

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// Forecast is how the work goes on if each turn takes what the plan says, and nothing else happens.
type Forecast struct {
	At     Moment
	Done   Moment        // when the last has returned
	Halted string        // why nothing goes out; the forecast reckons as if it went on now
	Late   []*LateError  // hosts that will not be back by their deadline, the earliest first
	Kept   []*BoundError // hosts that never go as things stand
}

// LateError is a deadline that can't be met.
type LateError struct {
	Host     string
	Deadline Moment
	Expected Moment // 0 is not at all
	Why      string
}

func (e *LateError) Error() string {
	when := "it never goes"
	if e.Expected > 0 {
		when = fmt.Sprintf("it is back at %v", e.Expected)
	}
	return fmt.Sprintf("turns: host %s: its deadline %v can't be met: as things stand %s (%s); widen the plan's bounds, or move the deadline", e.Host, e.Deadline, when, e.Why)
}

// back is a machine's expected return in a forecast.
type back struct {
	at    Moment
	m     *machine // nil is only a time at which to look again
	again *rank    // it has to go once more
}

type backs []back

func (b backs) Len() int           { return len(b) }
func (b backs) Less(i, j int) bool { return b[i].at < b[j].at }
func (b backs) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *backs) Push(x any)        { *b = append(*b, x.(back)) }
func (b *backs) Pop() any {
	old := *b
	x := old[len(old)-1]
	*b = old[:len(old)-1]
	return x
}

// expected is what a turn's stage takes, as the plan says.
func (s *State) expected(t *Turn) Span {
	if s.plan == nil {
		return t.Length
	}
	switch p := s.plan.plan; t.Stage {
	case Granted:
		return p.Grant
	case Draining, Drained, Recalled:
		return p.Drain
	case Out:
		return t.Length
	case Arrived, Warming:
		return p.Warm
	}
	return 0
}

// over is by how much a turn's stage takes longer than expected.
func (s *State) over(t *Turn) time.Duration {
	return max(0, s.now-t.Since-time.Duration(s.expected(t)))
}

// left is what a turn still takes, as expected.
func (s *State) left(t *Turn) Moment {
	ahead := map[Stage]Span{Granted: s.need(t.Length) - s.plan.plan.Grant, Draining: t.Length + s.plan.plan.Warm,
		Drained: t.Length + s.plan.plan.Warm, Out: s.plan.plan.Warm}[t.Stage]
	return Moment(max(0, s.expected(t)-Span(s.now-t.Since)).millis() + ahead.millis())
}

// Forecast reckons ahead. It takes some time in a large fleet: it is to be made when a Result says
// that something changed, not more than once in a second.
func (s *State) Forecast() *Forecast {
	f := &Forecast{At: s.wall, Done: s.wall, Halted: s.haltWhy()}
	if s.plan == nil {
		return f
	}
	y := s.yard.clone()
	ends := s.expectedReturns(f)
	queue := s.waiting(f)
	at := s.wall
	for {
		queue = s.start(f, &y, &ends, queue, at)
		if ends.Len() == 0 {
			break
		}
		for at = ends[0].at; ends.Len() > 0 && ends[0].at == at; {
			e := heap.Pop(&ends).(back)
			if e.m == nil {
				continue
			}
			y.away(e.m, s.members(e.m.Host), -1)
			if e.again != nil {
				queue = append(queue, *e.again)
				s.order(queue)
			}
		}
	}
	for _, q := range queue {
		b := s.barred(&y, q.m, false, s.need(q.length), at)
		f.keep(q.host, q.due, s.boundError(q.host, b))
	}
	slices.SortFunc(f.Late, func(a, b *LateError) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Host, b.Host))
	})
	return f
}

// expectedReturns returns, as a heap by time, when the machines that are away come back and when windows of uplinks end.
func (s *State) expectedReturns(f *Forecast) backs {
	var ends backs
	for _, t := range s.held() {
		e := back{at: s.wall + s.left(t), m: s.fleet[t.Host]}
		if w, wanted := s.wanted(t.Host); wanted && (t.Stage == Recalled || (t.Stage >= Out && w.job != t.Job)) {
			r := s.rank(t.Host, w)
			e.again = &r
			if e.m != nil {
				r.m = &machine{Machine: e.m.Machine}
				r.m.Phase = Warm // by then
			}
		}
		f.note(t.Host, t.Deadline, e)
		ends = append(ends, e)
	}
	for _, u := range s.uplinks {
		ends = append(ends, back{at: max(u.To, s.wall)})
	}
	heap.Init(&ends)
	return ends
}

// waiting returns, in order, the hosts that still have to go.
func (s *State) waiting(f *Forecast) []rank {
	var queue []rank
	for _, host := range s.plan.hosts {
		t := s.turns[host]
		w, wanted := s.wanted(host)
		switch {
		case !wanted || (t != nil && t.Stage.holds()):
		case s.fleet[host] == nil:
			f.keep(host, w.deadline, &BoundError{Host: host, Bound: ByPhase, Where: "of no machine that is seen"})
		default:
			queue = append(queue, s.rank(host, w))
		}
	}
	s.order(queue)
	return queue
}

// start lets out all that the bounds let go at a time, in order, and gives those that stay.
func (s *State) start(f *Forecast, y *yard, ends *backs, queue []rank, at Moment) []rank {
	full := map[place]bool{}
	return slices.DeleteFunc(queue, func(q rank) bool {
		m := q.m
		p := place{m.Zone, m.Kind}
		if full[p] {
			return false
		}
		b := s.barred(y, m, false, s.need(q.length), at)
		full[p] = b.bound == ByZone
		if b.bound != NoBound {
			return false
		}
		y.away(m, s.members(q.host), 1)
		e := back{at: at + Moment(s.need(q.length).millis()), m: m}
		f.note(q.host, q.due, e)
		heap.Push(ends, e)
		return true
	})
}

// note takes an expected return.
func (f *Forecast) note(host string, due Moment, e back) {
	if e.again != nil {
		return
	}
	f.Done = max(f.Done, e.at)
	if due > 0 && e.at > due {
		f.Late = append(f.Late, &LateError{Host: host, Deadline: due, Expected: e.at, Why: "others go first"})
	}
}

func (f *Forecast) keep(host string, due Moment, why *BoundError) {
	f.Kept = append(f.Kept, why)
	if due > 0 {
		f.Late = append(f.Late, &LateError{Host: host, Deadline: due, Why: fmt.Sprintf("%v, %s", why.Bound, why.Where)})
	}
}
