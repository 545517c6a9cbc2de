package control

import (
	"math"
	"testing"
)

func TestLeastSquaresRecoverLinearSystem(t *testing.T) {
	c := newShareController([]float64{1, 1})
	system := [][]float64{{-2, 0.5, 0.3, 0}, {0.4, -1, 0, 0.2}}
	lateness := []float64{1, 1}
	for k := 0; k < 400; k++ {
		shares := []float64{0.5 + 0.3*math.Sin(float64(k)*1.7), 0.5 + 0.3*math.Cos(float64(k)*2.9)}
		c.regressor = newRegressor(shares, lateness)
		next := make([]float64, 2)
		for i := range next {
			for j := range system[i] {
				next[i] += system[i][j] * c.regressor.AtVec(j)
			}
		}
		c.estimate(next)
		lateness = next
	}
	for i := range system {
		for j, want := range system[i] {
			if got := c.model.At(i, j); math.Abs(got-want) > 0.02 {
				t.Errorf("X[%d][%d] = %.3f, the system has %.3f", i, j, got, want)
			}
		}
	}
}

// Guards against a covariance that grows without bound in directions without new data.
func TestCovarianceDoesNotWindUp(t *testing.T) {
	c := newShareController([]float64{1, 2, 3})
	lateness := []float64{0.1, 0.1, 0.1}
	shares := []float64{1. / 3, 1. / 3, 1. / 3}
	for k := 0; k < 5000; k++ {
		shares = c.update(shares, lateness, true)
		for i := range shares {
			if math.IsNaN(shares[i]) || shares[i] < 0 {
				t.Fatalf("shares %v at step %d", shares, k)
			}
		}
	}
	for i := 0; i < 6; i++ {
		if p := c.covariance.At(i, i); p > 10*initialCovariance || p <= 0 {
			t.Errorf("covariance %g in direction %d", p, i)
		}
	}
}

func TestSolveMatchesHandWorkedCase(t *testing.T) {
	// W = I, B0 = -I, A1 = I, y = (3, 1), q = shareCostWeight^2: error (-2, 0); S = 1/(1+q) I, v = (2, 0)/(1+q),
	// and law (14) moves both by the same amount until the sum is one.
	c := newShareController([]float64{1, 1})
	for i := 0; i < 2; i++ {
		for j := 0; j < 4; j++ {
			c.model.Set(i, j, 0)
		}
		c.model.Set(i, i, -1)
		c.model.Set(i, 2+i, 1)
	}
	v := 2 / (1 + shareCostWeight*shareCostWeight)
	u0, u1 := v-(v-1)/2, -(v-1)/2
	lowest := math.Min(0, u1)
	sum := u0 + u1 - 2*lowest
	shares := c.solve([]float64{3, 1})
	if math.Abs(shares[0]-(u0-lowest)/sum) > 1e-9 || math.Abs(shares[1]-(u1-lowest)/sum) > 1e-9 {
		t.Errorf("shares %v, worked by hand %g and %g", shares, (u0-lowest)/sum, (u1-lowest)/sum)
	}
}

// Of two plans that are equally late, the one with the higher price gets the larger share. Shares stay equal
// while both plans meet their objectives.
func TestHigherPriceGetsLargerShareWhenLate(t *testing.T) {
	c := newShareController([]float64{0.5, 1.5})
	shares := []float64{0.5, 0.5}
	for k := 0; k < 5; k++ {
		shares = c.update(shares, []float64{2, 2}, true)
	}
	if shares[1] <= shares[0] {
		t.Errorf("equally late, the plan with the higher price has share %.2f and the other one %.2f",
			shares[1], shares[0])
	}
	shares = newShareController([]float64{0.5, 1.5}).update(shares, []float64{0.1, 0.1}, true)
	if math.Abs(shares[0]-0.5) > 1e-9 {
		t.Errorf("shares %v while both plans are in time", shares)
	}
}

func TestSharesStayWithFewResponses(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1)...)
	h.controller.scheduler.plans[0].lateness = 3
	h.controller.scheduler.plans[1].lateness = 0.1
	h.controller.interval.responses = minShareResponses - 1
	h.controller.endInterval(1)
	if h.controller.scheduler.plans[0].share != 0.5 {
		t.Errorf("share %g after an interval of four responses", h.controller.scheduler.plans[0].share)
	}
}
