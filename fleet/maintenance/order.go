package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// urgencyGranularity is the width in milliseconds of the steps by which latest start times are
// compared. Hosts in the same step are equally urgent, and the one with the lower load goes first.
const urgencyGranularity = int64(time.Minute / time.Millisecond)

// firstGrantDelay is the time from the load of a plan to the first grant, so that all its hosts can
// request a lease; the first hosts to request one need not be the most urgent.
const firstGrantDelay = 10 * time.Second

// expectedDuration returns the expected time from the start of a drain to the return to service.
func (s *State) expectedDuration(workDuration Duration) Duration {
	return s.plan.plan.DrainDuration + workDuration + s.plan.plan.WarmUpDuration
}

// candidate is a host that waits for a lease. Candidates are ordered by the latest time at which
// they have to start, then by load, then by name.
type candidate struct {
	host         string
	machine      *machine
	latestStart  int64 // latest start time, in steps of urgencyGranularity
	load         uint32
	workDuration Duration
	deadline     Timestamp
}

// newCandidate returns a candidate without its latest start, which sortCandidates computes.
func (s *State) newCandidate(host string, work hostWork) candidate {
	c := candidate{host: host, workDuration: work.duration, deadline: work.deadline}
	c.machine = s.machines[host]
	if c.machine != nil {
		c.load = c.machine.Load
	}
	return c
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.latestStart, other.latestStart), cmp.Compare(c.load, other.load),
		cmp.Compare(c.host, other.host))
}

// sortCandidates computes the latest starts and sorts the candidates.
func (s *State) sortCandidates(candidates []candidate) {
	for i := range candidates {
		c := &candidates[i]
		c.latestStart = (s.latestEnd(c) - s.expectedDuration(c.workDuration).milliseconds()) / urgencyGranularity
	}
	slices.SortFunc(candidates, candidate.compare)
}

// latestEnd returns the time in Unix milliseconds by which a candidate has to be back in service:
// its deadline, or the start of its zone's next uplink window if it can still be back before that,
// as it would otherwise have to wait for the window's end.
func (s *State) latestEnd(c *candidate) int64 {
	end := int64(c.deadline)
	if end == 0 {
		end = math.MaxInt64 / 2
	}
	for _, window := range s.uplinkWindows {
		closing := int64(window.Start) - s.plan.plan.Bounds.UplinkMargin.milliseconds()
		if c.machine != nil && window.Zone == c.machine.Zone &&
			int64(s.wallTime)+s.expectedDuration(c.workDuration).milliseconds() <= closing {
			end = min(end, closing)
		}
	}
	return end
}

// requestingCandidates returns the hosts that request a lease, sorted.
func (s *State) requestingCandidates() (candidates []candidate) {
	for _, lease := range s.leases {
		if lease.Stage != StageRequested || s.now < lease.TimerAt || s.machines[lease.Host] == nil {
			continue
		}
		if work, pending := s.pendingWork(lease.Host); pending {
			candidates = append(candidates, s.newCandidate(lease.Host, work))
		}
	}
	s.sortCandidates(candidates)
	return candidates
}

// grantLeases grants leases, in order, to all candidates that the bounds permit. It runs only after
// an observation has been applied, when the state of the fleet has just been updated.
func (s *State) grantLeases(result *Result) {
	if s.plan == nil || s.Halted() || s.lastObservationPartial || s.now-s.observedAt > maxObservationAge ||
		s.now < s.planLoadedAt+firstGrantDelay {
		return
	}
	exhausted := map[zoneKind]bool{} // zones whose bounds permit no further machine
	for _, c := range s.requestingCandidates() {
		if exhausted[zoneKind{c.machine.Zone, c.machine.Kind}] {
			continue
		}
		switch v := s.firstViolation(&s.usage, c.machine, false, s.expectedDuration(c.workDuration), s.wallTime); v.bound {
		case BoundNone:
			lease := s.leases[c.host]
			s.lastFencingToken++
			lease.FencingToken, lease.TimerAt = s.lastFencingToken, s.now+time.Duration(s.plan.plan.GrantTimeout)
			s.setStage(lease, StageGranted)
			result.Granted = append(result.Granted, lease.Host)
		case BoundZone, BoundZoneState:
			exhausted[zoneKind{c.machine.Zone, c.machine.Kind}] = true
		}
	}
}
