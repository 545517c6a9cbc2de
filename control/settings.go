package control

import (
	"fmt"
	"math"
)

// groupMost is the largest group: what is reckoned for a whole group stays far from overflow.
const groupMost = 1 << 20

// Validate names the first setting that makes no sense.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: there are none")
	}
	if len(s.Plans) == 0 {
		return fmt.Errorf("settings: plans: there are none")
	}
	if s.FleetSize < 1 {
		return fmt.Errorf("settings: group size: %d is not positive", s.FleetSize)
	}
	if s.FleetSize > groupMost {
		return fmt.Errorf("settings: group size: %d is over %d", s.FleetSize, groupMost)
	}
	if s.NodeIndex < 0 || s.NodeIndex >= s.FleetSize {
		return fmt.Errorf("settings: self index: %d is outside a group of %d", s.NodeIndex, s.FleetSize)
	}
	type figure struct {
		name  string
		value float64
	}
	fs := []figure{{"cold from", s.SlowStartInitial}, {"fall multiple", s.OverloadFactor}, {"units top", s.MaxTokens},
		{"inbox per second", s.PeerMessagesPerSecond}, {"cross-zone price", s.CrossZoneCost}, {"cold", s.SlowStartDuration.Seconds()},
		{"ask within", s.PollWithin.Seconds()}, {"drain grace", s.DrainGrace.Seconds()},
		{"fall", s.OverloadWindow.Seconds()}, {"meter period", s.MeterPeriod.Seconds()},
		{"send cap", float64(s.MaxAttempts)}, {"open cap", float64(s.MaxInFlight)},
		{"max retry after", s.MaxRetryAfter.Seconds()}}
	for _, k := range s.Classes {
		n := "class " + k.Name + ": "
		fs = append(fs, figure{n + "worth", k.PriorityWeight}, figure{n + "late share", k.LateValueFraction},
			figure{n + "repeat window", k.IdempotencyWindow.Seconds()})
		if k.LatencyObjective <= 0 || k.Deadline <= 0 {
			return fmt.Errorf("settings: %saim and deadline: %v and %v are not both positive", n, k.LatencyObjective, k.Deadline)
		}
	}
	for _, p := range s.Plans {
		n := "plan " + p.Name + ": "
		fs = append(fs, figure{n + "price", p.PriceFactor}, figure{n + "rate", p.Rate}, figure{n + "depth", p.Burst},
			figure{n + "open", float64(p.MaxConcurrent)}, figure{n + "over cost", p.OverQuotaCost},
			figure{n + "over earns", p.OverQuotaValue}, figure{n + "ceiling rate", p.CeilingRate},
			figure{n + "ceiling burst", p.CeilingBurst}, figure{n + "ceiling slack", p.CeilingOverdraft})
	}
	for _, f := range fs {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < 0 {
			return fmt.Errorf("settings: %s: %g is negative or not finite", f.name, f.value)
		}
	}
	return nil
}
