package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of the work as shown to operators.
type Status struct {
	PlanVersion   uint64
	HaltReason    string // empty if work is not halted
	NeedsOperator bool   // work resumes only by an operator's order
	PlanHosts     int    // hosts in the plan
	DoneHosts     int
	Leases        []LeaseStatus // held leases, the longest overrun first
	Blocked       []*BoundError // bounds that keep requesting hosts in service, most urgent host first
}

// LeaseStatus is one lease as shown to operators.
type LeaseStatus struct {
	Lease
	StageAge time.Duration // time in the current stage
	Overrun  time.Duration // time by which the stage exceeds its planned duration; 0 if it does not
	Phase    Phase
	Unlisted bool // the fleet does not list the machine
}

// Status returns the state of the work, with the reasons why up to maxBlocked of the requesting
// hosts wait.
func (s *State) Status(maxBlocked int) Status {
	status := Status{PlanVersion: s.planVersion, HaltReason: s.haltReason(), DoneHosts: len(s.doneJobs)}
	if s.plan != nil {
		status.PlanHosts = len(s.plan.hosts)
		status.NeedsOperator = s.halt.operatorReason != "" ||
			(s.halt.faultReason != "" && s.plan.plan.HaltPolicy.ResumeMode == ResumeByOperator)
	}
	for _, lease := range s.heldLeases() {
		view := LeaseStatus{Lease: *lease, StageAge: s.now - lease.StageSince, Overrun: s.overrun(lease),
			Unlisted: s.machines[lease.Host] == nil}
		if !view.Unlisted {
			view.Phase = s.machines[lease.Host].Phase
		}
		status.Leases = append(status.Leases, view)
	}
	slices.SortStableFunc(status.Leases, func(a, b LeaseStatus) int { return cmp.Compare(b.Overrun, a.Overrun) })
	for _, c := range s.requestingCandidates() {
		if len(status.Blocked) == maxBlocked {
			break
		}
		if v := s.firstViolation(&s.usage, c.machine, false, s.expectedDuration(c.workDuration), s.wallTime); v.bound != BoundNone {
			status.Blocked = append(status.Blocked, s.boundError(c.host, v))
		}
	}
	return status
}
