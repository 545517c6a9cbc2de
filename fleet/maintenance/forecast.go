package maintenance

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// Forecast is the expected course of the work if each stage takes as long as planned and nothing
// else changes.
type Forecast struct {
	MadeAt     Timestamp
	DoneAt     Timestamp     // time at which the last machine is back in service
	HaltReason string        // empty if work is not halted; otherwise the forecast assumes that it resumes now
	Late       []*LateError  // hosts that will miss their deadline, earliest deadline first
	Blocked    []*BoundError // hosts that can never be taken out of service as things stand
}

// LateError reports a deadline that can't be met.
type LateError struct {
	Host       string
	Deadline   Timestamp
	ExpectedAt Timestamp // 0 means never
	Reason     string
}

func (e *LateError) Error() string {
	when := "it can never leave service"
	if e.ExpectedAt > 0 {
		when = fmt.Sprintf("it is back in service at %v", e.ExpectedAt)
	}
	return fmt.Sprintf("turns: host %s: deadline %v can't be met: as things stand %s (%s); widen the plan's bounds, or move the deadline",
		e.Host, e.Deadline, when, e.Reason)
}

// expectedReturn is the expected return to service of a machine, or the end of an uplink window.
type expectedReturn struct {
	at      Timestamp
	machine *machine   // nil for the end of an uplink window, when the bounds are checked again
	requeue *candidate // candidate for the work that remains after the return; nil if none remains
}

type returnHeap []expectedReturn

func (h returnHeap) Len() int           { return len(h) }
func (h returnHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h returnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *returnHeap) Push(x any)        { *h = append(*h, x.(expectedReturn)) }
func (h *returnHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expectedStageDuration returns the planned duration of the lease's stage.
func (s *State) expectedStageDuration(lease *Lease) Duration {
	if s.plan == nil {
		return lease.WorkDuration
	}
	switch plan := s.plan.plan; lease.Stage {
	case StageGranted:
		return plan.GrantTimeout
	case StageDraining, StageDrained, StageRecalled:
		return plan.DrainDuration
	case StageOut:
		return lease.WorkDuration
	case StageArrived, StageWarmingUp:
		return plan.WarmUpDuration
	}
	return 0
}

// overrun returns by how much the lease's stage has exceeded its planned duration, or 0.
func (s *State) overrun(lease *Lease) time.Duration {
	return max(0, s.now-lease.StageSince-time.Duration(s.expectedStageDuration(lease)))
}

// remaining returns the expected time in milliseconds until the machine is back in service.
func (s *State) remaining(lease *Lease) Timestamp {
	laterStages := map[Stage]Duration{StageGranted: s.expectedDuration(lease.WorkDuration) - s.plan.plan.GrantTimeout,
		StageDraining: lease.WorkDuration + s.plan.plan.WarmUpDuration,
		StageDrained:  lease.WorkDuration + s.plan.plan.WarmUpDuration, StageOut: s.plan.plan.WarmUpDuration}[lease.Stage]
	return Timestamp(max(0, s.expectedStageDuration(lease)-Duration(s.now-lease.StageSince)).milliseconds() + laterStages.milliseconds())
}

// Forecast computes the expected course of the work. It is expensive in a large fleet: call it when
// a Result has ForecastStale set, at most once per second.
func (s *State) Forecast() *Forecast {
	f := &Forecast{MadeAt: s.wallTime, DoneAt: s.wallTime, HaltReason: s.haltReason()}
	if s.plan == nil {
		return f
	}
	u := s.usage.clone()
	returns := s.expectedReturns(f)
	candidates := s.pendingCandidates(f)
	at := s.wallTime
	for {
		candidates = s.startLeases(f, &u, &returns, candidates, at)
		if returns.Len() == 0 {
			break
		}
		for at = returns[0].at; returns.Len() > 0 && returns[0].at == at; {
			ret := heap.Pop(&returns).(expectedReturn)
			if ret.machine == nil {
				continue
			}
			u.addUnavailable(ret.machine, s.groupsOf(ret.machine.Host), -1)
			if ret.requeue != nil {
				candidates = append(candidates, *ret.requeue)
				s.sortCandidates(candidates)
			}
		}
	}
	for _, c := range candidates {
		v := s.firstViolation(&u, c.machine, false, s.expectedDuration(c.workDuration), at)
		f.addBlocked(c.host, c.deadline, s.boundError(c.host, v))
	}
	slices.SortFunc(f.Late, func(a, b *LateError) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Host, b.Host))
	})
	return f
}

// expectedReturns returns a heap of the expected returns of the machines with a held lease and the
// ends of the uplink windows. It records the returns in f.
func (s *State) expectedReturns(f *Forecast) returnHeap {
	var returns returnHeap
	for _, lease := range s.heldLeases() {
		ret := expectedReturn{at: s.wallTime + s.remaining(lease), machine: s.machines[lease.Host]}
		if work, pending := s.pendingWork(lease.Host); pending &&
			(lease.Stage == StageRecalled || (lease.Stage >= StageOut && work.job != lease.Job)) {
			c := s.newCandidate(lease.Host, work)
			ret.requeue = &c
			if ret.machine != nil {
				c.machine = &machine{Machine: ret.machine.Machine}
				c.machine.Phase = PhaseWarm // at that time
			}
		}
		f.addReturn(lease.Host, lease.Deadline, ret)
		returns = append(returns, ret)
	}
	for _, window := range s.uplinkWindows {
		returns = append(returns, expectedReturn{at: max(window.End, s.wallTime)})
	}
	heap.Init(&returns)
	return returns
}

// pendingCandidates returns the hosts that still have to be taken out of service, sorted. It records
// in f those of which no machine is observed.
func (s *State) pendingCandidates(f *Forecast) []candidate {
	var candidates []candidate
	for _, host := range s.plan.hosts {
		lease := s.leases[host]
		work, pending := s.pendingWork(host)
		switch {
		case !pending || (lease != nil && lease.Stage.isHeld()):
		case s.machines[host] == nil:
			f.addBlocked(host, work.deadline, &BoundError{Host: host, Bound: BoundPhase,
				Scope: "no machine of it is observed"})
		default:
			candidates = append(candidates, s.newCandidate(host, work))
		}
	}
	s.sortCandidates(candidates)
	return candidates
}

// startLeases counts as unavailable, in order, all candidates that the bounds permit at the given
// time, adds their returns, and returns the other candidates.
func (s *State) startLeases(f *Forecast, u *usage, returns *returnHeap, candidates []candidate,
	wall Timestamp) []candidate {
	exhausted := map[zoneKind]bool{}
	return slices.DeleteFunc(candidates, func(c candidate) bool {
		m := c.machine
		key := zoneKind{m.Zone, m.Kind}
		if exhausted[key] {
			return false
		}
		v := s.firstViolation(u, m, false, s.expectedDuration(c.workDuration), wall)
		exhausted[key] = v.bound == BoundZone
		if v.bound != BoundNone {
			return false
		}
		u.addUnavailable(m, s.groupsOf(c.host), 1)
		ret := expectedReturn{at: wall + Timestamp(s.expectedDuration(c.workDuration).milliseconds()), machine: m}
		f.addReturn(c.host, c.deadline, ret)
		heap.Push(returns, ret)
		return true
	})
}

// addReturn records an expected return, and whether it misses the host's deadline.
func (f *Forecast) addReturn(host string, deadline Timestamp, ret expectedReturn) {
	if ret.requeue != nil {
		return
	}
	f.DoneAt = max(f.DoneAt, ret.at)
	if deadline > 0 && ret.at > deadline {
		f.Late = append(f.Late, &LateError{Host: host, Deadline: deadline, ExpectedAt: ret.at,
			Reason: "other hosts go first"})
	}
}

// addBlocked records a host that can never be taken out of service as things stand, and that it
// misses its deadline, if it has one.
func (f *Forecast) addBlocked(host string, deadline Timestamp, err *BoundError) {
	f.Blocked = append(f.Blocked, err)
	if deadline > 0 {
		f.Late = append(f.Late, &LateError{Host: host, Deadline: deadline,
			Reason: fmt.Sprintf("%v, %s", err.Bound, err.Scope)})
	}
}
