package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Status is what operators see.
type Status struct {
	PlanVersion   uint64
	HaltReason    string // why; "" is that work goes on
	NeedsOperator bool   // it goes on by hand alone
	PlanHosts     int    // of the plan
	DoneHosts     int
	Leases        []LeaseStatus // that hold a place, the longest over first
	Blocked       []*BoundError
}

// View is one turn as operators see it.
type LeaseStatus struct {
	Lease
	StageAge time.Duration // in its stage
	Overrun  time.Duration // longer than expected: it blocks its place
	Phase    Phase
	Unlisted bool // the fleet does not list it
}

// Status tells how the work stands; next is how many of those that ask are told why they wait.
func (s *State) Status(next int) Status {
	st := Status{PlanVersion: s.version, HaltReason: s.haltWhy(), DoneHosts: len(s.done)}
	if s.plan != nil {
		st.PlanHosts = len(s.plan.hosts)
		st.NeedsOperator = s.halt.hand != "" || (s.halt.trouble != "" && s.plan.plan.HaltPolicy.ResumeMode == ResumeByOperator)
	}
	for _, t := range s.held() {
		v := LeaseStatus{Lease: *t, StageAge: s.now - t.StageSince, Overrun: s.over(t), Unlisted: s.fleet[t.Host] == nil}
		if !v.Unlisted {
			v.Phase = s.fleet[t.Host].Phase
		}
		st.Leases = append(st.Leases, v)
	}
	slices.SortStableFunc(st.Leases, func(a, b LeaseStatus) int { return cmp.Compare(b.Overrun, a.Overrun) })
	for _, q := range s.queue() {
		if len(st.Blocked) == next {
			break
		}
		if b := s.barred(&s.yard, q.m, false, s.need(q.length), s.wall); b.bound != BoundNone {
			st.Blocked = append(st.Blocked, s.boundError(q.host, b))
		}
	}
	return st
}
