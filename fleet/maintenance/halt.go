package maintenance

import (
	"fmt"
	"time"
)

// Divisors of the moving average of the served fraction, which is the reference for a drop. It
// rises fast and falls slowly, so that a drop that lasts seconds does not become the reference.
const (
	usualRiseDivisor = 32
	usualFallDivisor = 1024
)

// haltState holds the reasons for a halt, both empty while work goes on, and the served fractions
// from which a fault is detected.
type haltState struct {
	operatorReason string        // reason of an operator's halt
	faultReason    string        // fault that halted work
	clearedAt      time.Duration // group time since which no fault was observed, valid if cleared is set
	cleared        bool          // the fault that halted work is no longer observed
	usualServed    int64         // average served fraction in 1/1024 of a thousandth; 0 means unknown
	lastServed     int64         // last known served fraction, in the same unit
}

// Halted reports whether work is halted.
func (s *State) Halted() bool { return s.halt.operatorReason != "" || s.halt.faultReason != "" }

// haltWork stops all grants and sets reason, a field of haltState, to text unless it is already set.
// Grants that were not used are void, draining machines are recalled, and machines out of service
// keep their lease until they are back.
func (s *State) haltWork(reason *string, text string, result *Result) {
	result.ForecastStale = result.ForecastStale || !s.Halted()
	if *reason == "" {
		*reason = text
	}
	for _, lease := range s.heldLeases() {
		if lease.Stage == StageGranted {
			s.release(lease, false)
		}
		s.recall(lease)
	}
}

// resume ends a halt by an operator's order. The last served fraction becomes the reference for a
// drop; a fault that persists halts work again at the next observation.
func (s *State) resume(result *Result) {
	result.ForecastStale = s.Halted()
	s.halt.operatorReason, s.halt.faultReason, s.halt.cleared = "", "", false
	s.halt.usualServed = s.halt.lastServed
}

// checkFaults halts work if the observation shows a fault, and resumes it if the plan permits that.
func (s *State) checkFaults(o *Observation, result *Result) {
	if s.plan == nil {
		return
	}
	policy := &s.plan.plan.HaltPolicy
	fault := s.detectFault(o, policy)
	switch {
	case fault != "":
		s.halt.cleared = false
		s.haltWork(&s.halt.faultReason, fault, result)
	case s.halt.faultReason == "":
	case !s.halt.cleared:
		s.halt.cleared, s.halt.clearedAt = true, s.now
	case policy.ResumeMode == ResumeAutomatically && s.now-s.halt.clearedAt >= time.Duration(policy.ResumeDelay):
		s.halt.faultReason, s.halt.cleared, result.ForecastStale = "", false, true
	}
	if !o.ServedUnknown && s.halt.faultReason == "" {
		s.updateUsualServed(int64(o.ServedFraction) * 1024)
	}
}

func (s *State) updateUsualServed(served int64) {
	switch diff := served - s.halt.usualServed; {
	case s.halt.usualServed == 0:
		s.halt.usualServed = served
	case diff > 0:
		s.halt.usualServed += diff / usualRiseDivisor
	default:
		s.halt.usualServed += diff / usualFallDivisor
	}
}

// detectFault returns the fault that the observation shows, or "", and records the served fraction.
// The texts are part of the replicated state: nodes of different program versions have to agree on
// them.
func (s *State) detectFault(o *Observation, policy *HaltPolicy) string {
	if o.NoMajorityDuration > time.Duration(policy.MaxNoMajorityDuration) {
		return fmt.Sprintf("the council had no majority for %v", o.NoMajorityDuration.Round(time.Millisecond))
	}
	for _, zone := range o.Zones {
		if zone.State == ZoneEvacuated {
			return fmt.Sprintf("zone %s is left", zone.Name)
		}
	}
	if o.ServedUnknown {
		return ""
	}
	s.halt.lastServed = int64(o.ServedFraction) * 1024
	if drop := s.halt.usualServed - s.halt.lastServed; drop > int64(policy.MaxServedDrop)*1024 {
		return fmt.Sprintf("the served share fell by %.3f to %.3f", float64(drop)/1024/1000, float64(o.ServedFraction)/1000)
	}
	return ""
}

// haltReason returns why work is halted, or "".
func (s *State) haltReason() string {
	if s.halt.operatorReason != "" {
		return s.halt.operatorReason
	}
	return s.halt.faultReason
}
