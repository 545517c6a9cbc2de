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
	MadeAt     Timestamp
	DoneAt     Timestamp     // when the last has returned
	HaltReason string        // why nothing goes out; the forecast reckons as if it went on now
	Late       []*LateError  // hosts that will not be back by their deadline, the earliest first
	Blocked    []*BoundError // hosts that never go as things stand
}

// LateError is a deadline that can't be met.
type LateError struct {
	Host       string
	Deadline   Timestamp
	ExpectedAt Timestamp // 0 is not at all
	Reason     string
}

func (e *LateError) Error() string {
	when := "it never goes"
	if e.ExpectedAt > 0 {
		when = fmt.Sprintf("it is back at %v", e.ExpectedAt)
	}
	return fmt.Sprintf("turns: host %s: its deadline %v can't be met: as things stand %s (%s); widen the plan's bounds, or move the deadline", e.Host, e.Deadline, when, e.Reason)
}

// back is a machine's expected return in a forecast.
type back struct {
	at    Timestamp
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
func (s *State) expected(t *Lease) Duration {
	if s.plan == nil {
		return t.WorkDuration
	}
	switch p := s.plan.plan; t.Stage {
	case StageGranted:
		return p.GrantTimeout
	case StageDraining, StageDrained, StageRecalled:
		return p.DrainDuration
	case StageOut:
		return t.WorkDuration
	case StageArrived, StageWarmingUp:
		return p.WarmUpDuration
	}
	return 0
}

// over is by how much a turn's stage takes longer than expected.
func (s *State) over(t *Lease) time.Duration {
	return max(0, s.now-t.StageSince-time.Duration(s.expected(t)))
}

// left is what a turn still takes, as expected.
func (s *State) left(t *Lease) Timestamp {
	ahead := map[Stage]Duration{StageGranted: s.need(t.WorkDuration) - s.plan.plan.GrantTimeout, StageDraining: t.WorkDuration + s.plan.plan.WarmUpDuration,
		StageDrained: t.WorkDuration + s.plan.plan.WarmUpDuration, StageOut: s.plan.plan.WarmUpDuration}[t.Stage]
	return Timestamp(max(0, s.expected(t)-Duration(s.now-t.StageSince)).millis() + ahead.millis())
}

// Forecast reckons ahead. It takes some time in a large fleet: it is to be made when a Result says
// that something changed, not more than once in a second.
func (s *State) Forecast() *Forecast {
	f := &Forecast{MadeAt: s.wall, DoneAt: s.wall, HaltReason: s.haltWhy()}
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
		if w, wanted := s.wanted(t.Host); wanted && (t.Stage == StageRecalled || (t.Stage >= StageOut && w.job != t.Job)) {
			r := s.rank(t.Host, w)
			e.again = &r
			if e.m != nil {
				r.m = &machine{Machine: e.m.Machine}
				r.m.Phase = PhaseWarm // by then
			}
		}
		f.note(t.Host, t.Deadline, e)
		ends = append(ends, e)
	}
	for _, u := range s.uplinks {
		ends = append(ends, back{at: max(u.End, s.wall)})
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
			f.keep(host, w.deadline, &BoundError{Host: host, Bound: BoundPhase, Scope: "of no machine that is seen"})
		default:
			queue = append(queue, s.rank(host, w))
		}
	}
	s.order(queue)
	return queue
}

// start lets out all that the bounds let go at a time, in order, and gives those that stay.
func (s *State) start(f *Forecast, y *yard, ends *backs, queue []rank, at Timestamp) []rank {
	full := map[place]bool{}
	return slices.DeleteFunc(queue, func(q rank) bool {
		m := q.m
		p := place{m.Zone, m.Kind}
		if full[p] {
			return false
		}
		b := s.barred(y, m, false, s.need(q.length), at)
		full[p] = b.bound == BoundZone
		if b.bound != BoundNone {
			return false
		}
		y.away(m, s.members(q.host), 1)
		e := back{at: at + Timestamp(s.need(q.length).millis()), m: m}
		f.note(q.host, q.due, e)
		heap.Push(ends, e)
		return true
	})
}

// note takes an expected return.
func (f *Forecast) note(host string, due Timestamp, e back) {
	if e.again != nil {
		return
	}
	f.DoneAt = max(f.DoneAt, e.at)
	if due > 0 && e.at > due {
		f.Late = append(f.Late, &LateError{Host: host, Deadline: due, ExpectedAt: e.at, Reason: "others go first"})
	}
}

func (f *Forecast) keep(host string, due Timestamp, why *BoundError) {
	f.Blocked = append(f.Blocked, why)
	if due > 0 {
		f.Late = append(f.Late, &LateError{Host: host, Deadline: due, Reason: fmt.Sprintf("%v, %s", why.Bound, why.Scope)})
	}
}
