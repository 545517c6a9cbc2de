package maintenance

import (
	"fmt"
	"time"
)

// Figures of the usual served share: it follows what is served, up soon and down slowly, so that a
// fall of some seconds is one. In 1/1024 of thousandths.
const (
	usualUp   = 32
	usualDown = 1024
)

// halt is why nothing new goes out; both are empty while work goes on.
type halt struct {
	hand    string        // by the operators' word
	trouble string        // by evidence
	calm    time.Duration // since when there is none, where trouble is over
	quiet   bool          // calm counts
	usual   int64         // served share, 0 is not known
	served  int64         // of the last look that knew
}

// Halted tells whether nothing new goes out.
func (s *State) Halted() bool { return s.halt.hand != "" || s.halt.trouble != "" }

// haltAll lets nothing new out. What was granted is void, what drains comes back, and what is out
// stays until it has returned.
func (s *State) haltAll(reason *string, why string, r *Result) {
	r.ForecastStale = r.ForecastStale || !s.Halted()
	if *reason == "" {
		*reason = why
	}
	for _, t := range s.held() {
		if t.Stage == StageGranted {
			s.giveUp(t, false)
		}
		s.recall(t)
	}
}

// resume goes on by hand. What is served now is usual from now on; trouble that is still there halts
// all again at the next look.
func (s *State) resume(r *Result) {
	r.ForecastStale = s.Halted()
	s.halt.hand, s.halt.trouble, s.halt.quiet = "", "", false
	s.halt.usual = s.halt.served
}

// judge looks for trouble, and goes on by rule where the plan says so.
func (s *State) judge(l *Observation, r *Result) {
	if s.plan == nil {
		return
	}
	rules := &s.plan.plan.HaltPolicy
	why := s.trouble(l, rules)
	switch {
	case why != "":
		s.halt.quiet = false
		s.haltAll(&s.halt.trouble, why, r)
	case s.halt.trouble == "":
	case !s.halt.quiet:
		s.halt.quiet, s.halt.calm = true, s.now
	case rules.ResumeMode == ResumeAutomatically && s.now-s.halt.calm >= time.Duration(rules.ResumeDelay):
		s.halt.trouble, s.halt.quiet, r.ForecastStale = "", false, true
	}
	if !l.ServedUnknown && s.halt.trouble == "" {
		s.usual(int64(l.ServedFraction) * 1024)
	}
}

func (s *State) usual(served int64) {
	switch d := served - s.halt.usual; {
	case s.halt.usual == 0:
		s.halt.usual = served
	case d > 0:
		s.halt.usual += d / usualUp
	default:
		s.halt.usual += d / usualDown
	}
}

// trouble is what the evidence says against going on, or "".
func (s *State) trouble(l *Observation, rules *HaltPolicy) string {
	if l.NoMajorityDuration > time.Duration(rules.MaxNoMajorityDuration) {
		return fmt.Sprintf("the council had no majority for %v", l.NoMajorityDuration.Round(time.Millisecond))
	}
	for _, z := range l.Zones {
		if z.State == ZoneEvacuated {
			return fmt.Sprintf("zone %s is left", z.Name)
		}
	}
	if l.ServedUnknown {
		return ""
	}
	s.halt.served = int64(l.ServedFraction) * 1024
	if fell := s.halt.usual - s.halt.served; fell > int64(rules.MaxServedDrop)*1024 {
		return fmt.Sprintf("the served share fell by %.3f to %.3f", float64(fell)/1024/1000, float64(l.ServedFraction)/1000)
	}
	return ""
}

// haltWhy is why nothing new goes out.
func (s *State) haltWhy() string {
	if s.halt.hand != "" {
		return s.halt.hand
	}
	return s.halt.trouble
}
