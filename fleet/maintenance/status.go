package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Status is what operators see.
type Status struct {
	Version uint64
	Halted  string // why; "" is that work goes on
	ByHand  bool   // it goes on by hand alone
	Hosts   int    // of the plan
	Done    int
	Turns   []View // that hold a place, the longest over first
	Next    []*BoundError
}

// View is one turn as operators see it.
type View struct {
	Turn
	For  time.Duration // in its stage
	Over time.Duration // longer than expected: it blocks its place
	Seen Phase
	Lost bool // the fleet does not list it
}

// Status tells how the work stands; next is how many of those that ask are told why they wait.
func (s *State) Status(next int) Status {
	st := Status{Version: s.version, Halted: s.haltWhy(), Done: len(s.done)}
	if s.plan != nil {
		st.Hosts = len(s.plan.hosts)
		st.ByHand = s.halt.hand != "" || (s.halt.trouble != "" && s.plan.plan.Trouble.Resume == ByHand)
	}
	for _, t := range s.held() {
		v := View{Turn: *t, For: s.now - t.Since, Over: s.over(t), Lost: s.fleet[t.Host] == nil}
		if !v.Lost {
			v.Seen = s.fleet[t.Host].Phase
		}
		st.Turns = append(st.Turns, v)
	}
	slices.SortStableFunc(st.Turns, func(a, b View) int { return cmp.Compare(b.Over, a.Over) })
	for _, q := range s.queue() {
		if len(st.Next) == next {
			break
		}
		if b := s.barred(&s.yard, q.m, false, s.need(q.length), s.wall); b.bound != NoBound {
			st.Next = append(st.Next, s.boundError(q.host, b))
		}
	}
	return st
}
