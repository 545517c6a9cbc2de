package scale

import (
	"fmt"
	"math"
)

// How far growth may be above what the page states before a run fails.
const (
	// exponentTolerance is added to the stated exponent in the full form. A value that the caches
	// hold at small sizes only grows steeper than its code.
	exponentTolerance      = 0.05
	timedExponentTolerance = 0.3
	// ratioTolerance is the factor on the stated ratio of the largest and the smallest size in the
	// quick form. That of timed costs is wide, so that a busy machine gives the same result: a scan
	// of all servers grows by the ratio of the sizes, which is 100 and more.
	ratioTolerance      = 1.1
	timedRatioTolerance = 6.0
	// leastApart is the ratio of two sizes from which their costs are compared: between near ones the
	// spread of a figure is more than its growth.
	leastApart = 10
)

// Breach is a cost that grows more than the page states, or an event's figure over its bound.
type Breach struct {
	Sweep, Cost, Text string
}

func (b Breach) String() string { return fmt.Sprintf("%s: %s: %s", b.Sweep, b.Cost, b.Text) }

// Guard holds the growth of a cost against what the page states. ok is false with the breach.
func (s *Series) Guard(quick bool) (breach Breach, ok bool) {
	text := s.guardBound(quick)
	switch {
	case text != "":
	case quick || !s.Fit.defined():
		text = s.guardRatio()
	default:
		text = s.guardExponent()
	}
	return Breach{Sweep: s.Sweep, Cost: s.Cost.Name, Text: text}, text == ""
}

// guardExponent compares the lower end of the exponent's interval.
func (s *Series) guardExponent() string {
	tolerance := exponentTolerance
	if s.Cost.Timed {
		tolerance = timedExponentTolerance
	}
	if s.Fit.Lower() <= s.Cost.Exponent+tolerance {
		return ""
	}
	return fmt.Sprintf("exponent %.2f ± %.2f, %.2f stated with %.2f of tolerance", s.Fit.Exponent, s.Fit.Half,
		s.Cost.Exponent, tolerance)
}

// guardRatio compares the costs at the smallest and the largest size of this run, and at each two sizes
// between them that are far enough apart, as a cost that is flat up to some size may grow beyond it.
func (s *Series) guardRatio() string {
	sizes := Sizes(s.Points)
	if len(sizes) < 2 {
		return ""
	}
	if text := s.guardPair(sizes[0], sizes[len(sizes)-1]); text != "" {
		return text
	}
	for i, small := range sizes {
		for _, large := range sizes[i+1:] {
			if large < leastApart*small {
				continue
			}
			if text := s.guardPair(small, large); text != "" {
				return text
			}
		}
	}
	return ""
}

func (s *Series) guardPair(small, large int) string {
	from, to := Median(s.Points, small), Median(s.Points, large)
	allowed := math.Pow(float64(large)/float64(small), s.Cost.Exponent) * s.tolerance()
	if to <= from*allowed {
		return ""
	}
	return fmt.Sprintf("%s %s at %d and %s at %d, a factor of %s where %s is allowed", number(from), s.Cost.Unit, small,
		number(to), large, number(to/from), number(allowed))
}

// guardBound compares the largest value of all sizes.
func (s *Series) guardBound(quick bool) string {
	if s.Cost.Bound <= 0 || quick && s.Cost.Timed {
		return ""
	}
	for _, p := range s.Points {
		if p.Value > s.Cost.Bound {
			return fmt.Sprintf("%s %s at %d, at most %s is stated", number(p.Value), s.Cost.Unit, p.Size, number(s.Cost.Bound))
		}
	}
	return ""
}

// tolerance is the factor that the quick form allows on a ratio.
func (s *Series) tolerance() float64 {
	switch {
	case s.Cost.Slack > 0:
		return s.Cost.Slack
	case s.Cost.Timed:
		return timedRatioTolerance
	}
	return ratioTolerance
}

// Guard holds the largest value of an event's figure against its bound.
func (e *EventFigure) Guard(quick bool) (breach Breach, ok bool) {
	// A figure that was not measured breaks no bound: what stopped the run fails it.
	if len(e.Values) == 0 || e.Cost.Bound <= 0 || quick && e.Cost.Timed || e.Most() <= e.Cost.Bound {
		return Breach{}, true
	}
	return Breach{Sweep: e.Event, Cost: e.Cost.Name, Text: fmt.Sprintf("%s %s, at most %s is stated", number(e.Most()),
		e.Cost.Unit, number(e.Cost.Bound))}, false
}
