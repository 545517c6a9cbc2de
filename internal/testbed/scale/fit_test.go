package scale

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// grown gives points of factor * size^exponent, each off by a factor of up to e^noise.
func grown(factor, exponent, noise float64, sizes ...int) []Point {
	rng := rand.New(rand.NewPCG(1, 2))
	var points []Point
	for _, size := range sizes {
		for seed := range uint64(3) {
			v := factor * math.Pow(float64(size), exponent) * math.Exp(noise*(2*rng.Float64()-1))
			points = append(points, Point{Size: size, Seed: seed, Value: v})
		}
	}
	return points
}

func TestFitFindsKnownExponents(t *testing.T) {
	for _, exponent := range []float64{-0.5, 0, 0.5, 1, 2} {
		f := FitPoints(grown(3, exponent, 0.1, 10, 100, 1000, 10000))
		assert.InDelta(t, exponent, f.Exponent, 0.03)
		assert.LessOrEqual(t, f.Lower(), exponent)
		assert.GreaterOrEqual(t, f.Upper(), exponent)
		assert.InEpsilon(t, 3*math.Pow(1e5, exponent), f.At(100000), 0.2)
		assert.Empty(t, f.Label)
	}
}

// The interval is that of the textbook: three points, one degree of freedom, t = 12.706.
func TestFitIntervalIsStudents(t *testing.T) {
	f := FitPoints([]Point{{Size: 1, Value: 1}, {Size: 10, Value: 20}, {Size: 100, Value: 100}})
	// y = 0, log10(20), 2: slope 1, residuals -d/3, 2d/3, -d/3 with d = log10(20)-1.
	d := math.Log10(20) - 1
	assert.InDelta(t, 1, f.Exponent, 1e-9)
	assert.InDelta(t, d*math.Sqrt(6.0/9), f.Residual, 1e-9)
	assert.InDelta(t, 12.7062*f.Residual/math.Sqrt(2), f.Half, 1e-3)
}

func TestFitSaysWhyItIsNotExtrapolated(t *testing.T) {
	poor := []Point{{Size: 10, Value: 1}, {Size: 100, Value: 100}, {Size: 1000, Value: 1}, {Size: 10000, Value: 100}}
	for _, x := range []struct {
		points []Point
		want   string
	}{
		{grown(1, 1, 0.1, 10, 100, 1000), "3 sizes"},
		{grown(1, 1, 0.1, 10, 20, 40, 80, 160), "1.2 decades"},
		{poor, "poor fit"},
		{append(grown(1, 1, 0.1, 10, 100, 1000, 10000), Point{Size: 10, Value: 0}), "not positive"},
		{append(grown(1, 1, 0.1, 10, 100, 1000, 10000), Point{Size: 10, Value: -1}), "not positive"},
		{grown(1, 1, 0.1, 10), "one size"},
	} {
		s := Series{Target: 100000, Points: x.points, Fit: FitPoints(x.points)}
		assert.Contains(t, s.Fit.Label, x.want)
		value, basis := s.AtTarget()
		assert.True(t, math.IsNaN(value), x.want)
		assert.Equal(t, Unknown, basis)
	}
}

func TestValueAtTargetIsMeasuredWhereItCanBe(t *testing.T) {
	points := grown(2, 1, 0, 10, 100, 1000, 10000)
	s := Series{Target: 1000, Points: points, Fit: FitPoints(points), Cost: Cost{Budget: 500}}
	value, basis := s.AtTarget()
	assert.InEpsilon(t, 2000, value, 1e-9)
	assert.Equal(t, Measured, basis)
	assert.InEpsilon(t, 4, s.Ratio(), 1e-9)
	s.Target = 3000 // between two sizes
	value, basis = s.AtTarget()
	assert.InEpsilon(t, 6000, value, 1e-9)
	assert.Equal(t, Interpolated, basis)
	s.Target = 100000
	value, basis = s.AtTarget()
	assert.InEpsilon(t, 200000, value, 1e-9)
	assert.Equal(t, Extrapolated, basis)
	// A poor fit takes nothing from what was measured at the target itself.
	s.Target, s.Fit.Label = 10000, "poor fit"
	value, _ = s.AtTarget()
	require.InEpsilon(t, 20000, value, 1e-9)
}
