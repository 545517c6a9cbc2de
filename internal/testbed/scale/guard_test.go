package scale

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func series(c Cost, points []Point) *Series {
	return &Series{Sweep: "nodes", Target: 5800, Cost: c, Points: points, Fit: FitPoints(points)}
}

func TestGuardHoldsGrowthAgainstTheStatedExponent(t *testing.T) {
	sizes := []int{10, 100, 1000, 10000}
	for _, x := range []struct {
		name     string
		cost     Cost
		exponent float64
		ok       bool
	}{
		{"flat as stated", Cost{}, 0, true},
		{"linear as stated", Cost{Exponent: 1}, 1, true},
		{"less than stated", Cost{Exponent: 1}, 0.3, true},
		{"linear, not flat", Cost{}, 1, false},
		{"quadratic, not linear", Cost{Exponent: 1}, 2, false},
		{"timed, flat as stated", Cost{Timed: true}, 0.1, true},
		{"timed, linear and not flat", Cost{Timed: true}, 1, false},
	} {
		for _, quick := range []bool{true, false} {
			_, ok := series(x.cost, grown(7, x.exponent, 0.02, sizes...)).Guard(quick)
			assert.Equal(t, x.ok, ok, "%s, quick %v", x.name, quick)
		}
	}
}

// The quick form compares what it measured only: a slower machine changes no result.
func TestQuickGuardIsTheSameOnASlowMachine(t *testing.T) {
	timed := Cost{Name: "c", Timed: true}
	for _, factor := range []float64{1, 40} {
		_, ok := series(timed, grown(factor, 0, 0.5, 100, 10000)).Guard(true)
		assert.True(t, ok)
		b, ok := series(timed, grown(factor, 1, 0.5, 100, 10000)).Guard(true)
		assert.False(t, ok)
		assert.Contains(t, b.String(), "nodes: c: ")
	}
}

// Sizes that are near to each other are not compared, but for the smallest and the largest.
func TestQuickGuardComparesNoNearSizes(t *testing.T) {
	points := []Point{{Size: 60, Value: 6.6}, {Size: 120, Value: 8.1}, {Size: 300, Value: 8.2}, {Size: 600, Value: 8.6}}
	_, ok := series(Cost{Exponent: 0.15}, points).Guard(true)
	assert.True(t, ok)
	b, ok := series(Cost{Unit: BytesPerSecond, Exponent: 0.05}, points).Guard(true)
	assert.False(t, ok)
	assert.Contains(t, b.Text, "6.6 B/s at 60 and 8.6 at 600, a factor of 1.3 where 1.23 is allowed")
	_, ok = series(Cost{}, points[:2]).Guard(true)
	assert.False(t, ok)
}

// A cost that only begins to grow beyond some size is found between the two sizes where it does.
func TestQuickGuardComparesEachTwoSizes(t *testing.T) {
	points := []Point{{Size: 100, Value: 50}, {Size: 1000, Value: 5}, {Size: 10000, Value: 50}}
	_, ok := series(Cost{Timed: true}, points).Guard(true)
	assert.False(t, ok)
}

// From nothing to something is growth, whatever the factor.
func TestGuardOfACostThatWasNothing(t *testing.T) {
	zero := []Point{{Size: 10, Value: 0}, {Size: 1000, Value: 0}}
	some := []Point{{Size: 10, Value: 0}, {Size: 1000, Value: 0.1}}
	for _, quick := range []bool{true, false} {
		_, ok := series(Cost{Exponent: 1}, zero).Guard(quick)
		assert.True(t, ok)
		_, ok = series(Cost{Exponent: 1}, some).Guard(quick)
		assert.False(t, ok)
	}
}

func TestGuardHoldsValuesUnderTheirBound(t *testing.T) {
	points := grown(10, 0, 0, 10, 100, 1000, 10000)
	_, ok := series(Cost{Bound: 11}, points).Guard(true)
	assert.True(t, ok)
	_, ok = series(Cost{Bound: 9}, points).Guard(true)
	assert.False(t, ok)
	_, ok = series(Cost{Bound: 9, Timed: true}, points).Guard(true)
	assert.True(t, ok, "the quick form holds no absolute time")
	_, ok = series(Cost{Bound: 9, Timed: true}, points).Guard(false)
	assert.False(t, ok)
	e := EventFigure{Event: "zone lost", Cost: Cost{Name: "wrong", Bound: 1}, Values: []float64{0, 2, 1}}
	b, ok := e.Guard(true)
	assert.False(t, ok)
	assert.Equal(t, "zone lost: wrong: 2 , at most 1 is stated", b.String())
	e.Values = []float64{0, 1}
	_, ok = e.Guard(true)
	assert.True(t, ok)
}

// An event that the run was stopped before has no figures, and breaks no bound.
func TestFigureThatWasNotMeasuredBreaksNoBound(t *testing.T) {
	e := EventFigure{Event: "zone lost", Cost: Cost{Name: "wrong", Bound: 1}}
	_, ok := e.Guard(false)
	assert.True(t, ok)
	e.Values = []float64{2}
	_, ok = e.Guard(false)
	assert.False(t, ok)
}
