package scale

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// What a fit needs to be extrapolated.
const (
	leastSizes   = 4
	leastDecades = 2.0
	// poorResidual is the residual standard deviation, in decades, from which a line through the
	// points says little of what lies beyond them: a factor of 1.6.
	poorResidual = 0.2
	confidence   = 0.95
)

// Point is a measured value.
type Point struct {
	Size  int     `json:"size"`
	Seed  uint64  `json:"seed"`
	Value float64 `json:"value"`
}

// Fit is a line through the points on two logarithmic axes: value = Factor * size^Exponent.
type Fit struct {
	Factor   float64 `json:"factor"`
	Exponent float64 `json:"exponent"`
	Half     float64 `json:"half"`     // half of the 95% interval of the exponent
	Residual float64 `json:"residual"` // standard deviation of the points from the line, in decades
	// Label says why the line is not extrapolated; "" is that it may be.
	Label string `json:"label"`
}

// Lower and Upper are the ends of the exponent's 95% interval.
func (f Fit) Lower() float64 { return f.Exponent - f.Half }

// Upper is the upper end of the exponent's 95% interval.
func (f Fit) Upper() float64 { return f.Exponent + f.Half }

// At gives the value of the line at a size.
func (f Fit) At(size int) float64 { return f.Factor * math.Pow(float64(size), f.Exponent) }

// defined reports whether the line has an exponent and an interval at all.
func (f Fit) defined() bool { return !math.IsNaN(f.Exponent) && !math.IsNaN(f.Half) }

// FitPoints fits a line by least squares. Points with a value that is not positive have no logarithm:
// with one of them nothing is fitted.
func FitPoints(points []Point) Fit {
	none := Fit{Factor: math.NaN(), Exponent: math.NaN(), Half: math.NaN(), Residual: math.NaN()}
	for _, p := range points {
		if !(p.Value > 0) || math.IsInf(p.Value, 0) || p.Size <= 0 {
			none.Label = "has values that are not positive"
			return none
		}
	}
	sizes := Sizes(points)
	if len(sizes) < 2 {
		none.Label = "one size"
		return none
	}
	f := regress(points)
	f.Label = label(f, sizes)
	return f
}

// regress fits the line; there are points at two sizes at least.
func regress(points []Point) Fit {
	var x, y []float64
	for _, p := range points {
		x = append(x, math.Log10(float64(p.Size)))
		y = append(y, math.Log10(p.Value))
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	f := Fit{Factor: math.Pow(10, intercept), Exponent: slope, Half: math.NaN(), Residual: math.NaN()}
	free := float64(len(x) - 2)
	if free < 1 {
		return f
	}
	squares := 0.0
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / free)
	spread := stat.Variance(x, nil) * float64(len(x)-1)
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}
	f.Half = student.Quantile((1+confidence)/2) * f.Residual / math.Sqrt(spread)
	return f
}

// label says why a line is not extrapolated.
func label(f Fit, sizes []int) string {
	decades := math.Log10(float64(sizes[len(sizes)-1]) / float64(sizes[0]))
	switch {
	case len(sizes) < leastSizes:
		return fmt.Sprintf("%d sizes, not %d", len(sizes), leastSizes)
	case decades < leastDecades:
		return fmt.Sprintf("%.1f decades, not %.0f", decades, leastDecades)
	case f.Residual > poorResidual:
		return fmt.Sprintf("poor fit, residual %.2f decades", f.Residual)
	}
	return ""
}

// Sizes gives the sizes of points in order.
func Sizes(points []Point) []int {
	var sizes []int
	for _, p := range points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// Median gives the median of the values at a size; NaN is that there are none.
func Median(points []Point, size int) float64 {
	var values []float64
	for _, p := range points {
		if p.Size == size {
			values = append(values, p.Value)
		}
	}
	return median(values)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
