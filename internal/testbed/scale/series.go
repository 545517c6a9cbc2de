package scale

import "math"

// Basis says what a figure at the target size rests on.
type Basis string

// The bases of a figure at the target.
const (
	Measured     Basis = "measured"
	Interpolated Basis = "interpolated"
	Extrapolated Basis = "extrapolated"
	Unknown      Basis = "not extrapolated"
)

// Series is all that was measured of one cost.
type Series struct {
	Sweep     string
	Dimension string
	Target    int
	Cost      Cost
	Points    []Point
	Fit       Fit
}

// AtTarget gives the value at the target size: the measured one where the sizes reach the target,
// interpolated on the logarithmic axes between the two sizes around it, and else that of the fit
// where it may be extrapolated.
func (s *Series) AtTarget() (float64, Basis) {
	sizes := Sizes(s.Points)
	if len(sizes) == 0 {
		return math.NaN(), Unknown
	}
	if s.Target >= sizes[0] && s.Target <= sizes[len(sizes)-1] {
		return s.within(sizes)
	}
	if s.Fit.Label != "" || !s.Fit.defined() {
		return math.NaN(), Unknown
	}
	return s.Fit.At(s.Target), Extrapolated
}

// within gives the value at the target, which lies among the sizes.
func (s *Series) within(sizes []int) (float64, Basis) {
	for i, size := range sizes {
		if size == s.Target {
			return Median(s.Points, size), Measured
		}
		if size < s.Target {
			continue
		}
		below, above := Median(s.Points, sizes[i-1]), Median(s.Points, size)
		part := math.Log(float64(s.Target)/float64(sizes[i-1])) / math.Log(float64(size)/float64(sizes[i-1]))
		if below <= 0 || above <= 0 {
			return below + part*(above-below), Interpolated
		}
		return below * math.Pow(above/below, part), Interpolated
	}
	return math.NaN(), Unknown
}

// Ratio gives the value at the target over the budget; NaN is that one of them is not known.
func (s *Series) Ratio() float64 {
	value, _ := s.AtTarget()
	if s.Cost.Budget <= 0 {
		return math.NaN()
	}
	return value / s.Cost.Budget
}
