package control

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
)

// shareController sets the plans' shares of the dispatch slots. It estimates the model y(k+1) = X [u(k);
// y(k)] by recursive least squares, where u are the shares and y the lateness of each plan. It chooses the
// next shares by law (14) of the adaptive optimal controller on which the operators' DESIGN page is based.
type shareController struct {
	plans      int            // number of plans
	weights    *mat.DiagDense // by plan, from the prices; the mean is 1
	model      *mat.Dense     // X = [B0 A1]; as many rows as plans, twice as many columns
	covariance *mat.Dense     // covariance of the estimate; twice as many rows and columns as plans
	regressor  *mat.VecDense  // last [u; y]; nil until shares have been set
}

const (
	minShareResponses  = 5    // responses in an interval below which the shares are not changed
	forgettingFactor   = 0.95 // lambda of the least squares
	shareCostWeight    = 0.3  // diagonal of Q: the cost of large shares
	initialCovariance  = 1.0  // diagonal of the initial covariance
	initialGain        = 3.0  // B0(0): reduction of lateness by a share above the equal one
	initialPersistence = 0.9  // A1(0): fraction of the lateness that persists in the next interval
	minInformation     = 1e-9 // smallest r of estimate that is used
	maxEstimateNorm    = 1e4  // norm of the model or the covariance above which the estimate is reset
	shareSumTolerance  = 1e-6 // maximum difference of the sum of the shares from 1
)

func newShareController(prices []float64) *shareController {
	n := len(prices)
	s := &shareController{plans: n, weights: mat.NewDiagDense(n, nil)}
	s.setPrices(prices)
	s.reset()
	return s
}

// setPrices sets the weights from the price factors of the plans. If these are all 0, the weights are equal.
func (s *shareController) setPrices(prices []float64) {
	total := floats.Sum(prices)
	for i, price := range prices {
		weight := 1.0
		if total > 0 {
			weight = price * float64(s.plans) / total
		}
		s.weights.SetDiag(i, weight)
	}
}

// reset sets the estimate to its initial value.
func (s *shareController) reset() {
	n := s.plans
	s.model = mat.NewDense(n, 2*n, nil)
	s.covariance = mat.NewDense(2*n, 2*n, nil)
	s.regressor = nil
	for i := range 2 * n {
		s.covariance.Set(i, i, initialCovariance)
	}
	for i := range n {
		for j := range n {
			s.model.Set(i, j, initialGain/float64(n))
		}
		s.model.Set(i, i, initialGain/float64(n)-initialGain)
		s.model.Set(i, n+i, initialPersistence)
	}
}

// update returns the next shares. It is given the shares in force during an interval and the lateness
// measured at its end, by plan. If learn is true, it first updates the estimate; learn is false if the
// in-flight bound was cut.
func (s *shareController) update(shares, lateness []float64, learn bool) []float64 {
	if s.regressor != nil && learn {
		s.estimate(lateness)
	}
	next := s.solve(lateness)
	if !(math.Abs(floats.Sum(next)-1) < shareSumTolerance) { // NaN, also after a singular matrix
		s.reset()
		return shares
	}
	s.regressor = mat.NewVecDense(2*s.plans, append(append([]float64{}, next...), lateness...))
	return next
}

// estimate is one step of the least squares with directional forgetting. The units of the term printed in (4)
// do not match, so this is Kulhavy's form (the paper's [9]): the information grows by (lambda - (1-lambda)/r)
// phi phi', where r = phi' P phi, and is forgotten only in directions in which new data arrive.
func (s *shareController) estimate(lateness []float64) {
	var gain, residual mat.VecDense
	gain.MulVec(s.covariance, s.regressor)
	r := mat.Dot(s.regressor, &gain)
	if r < minInformation {
		return
	}
	residual.MulVec(s.model, s.regressor)
	residual.SubVec(mat.NewVecDense(s.plans, lateness), &residual)
	s.model.RankOne(s.model, 1/(forgettingFactor+r), &residual, &gain)
	beta := forgettingFactor - (1-forgettingFactor)/r
	s.covariance.RankOne(s.covariance, -beta/(1+beta*r), &gain, &gain)
	if !(mat.Norm(s.covariance, 1) < maxEstimateNorm) || !(mat.Norm(s.model, 1) < maxEstimateNorm) {
		s.reset()
	}
}

// solve returns the shares of law (14): the shares of least cost whose sum is one, raised so that none is
// negative, and normalised. It returns NaN if the matrix of the law is singular.
func (s *shareController) solve(lateness []float64) []float64 {
	n := s.plans
	var weightedGain, normal, inverse mat.Dense
	var deviation, gradient, optimum, onesImage mat.VecDense
	weightedGain.Mul(s.weights, s.model.Slice(0, n, 0, n))
	deviation.MulVec(s.model.Slice(0, n, n, 2*n), mat.NewVecDense(n, lateness))
	ones := mat.NewVecDense(n, nil)
	normal.Mul(weightedGain.T(), &weightedGain)
	for i := range n {
		// A plan that meets its objective has no deviation. Otherwise law (14) would slow an expensive
		// plan first while all plans are better than their objectives.
		deviation.SetVec(i, min(0, 1-deviation.AtVec(i)))
		normal.Set(i, i, normal.At(i, i)+shareCostWeight*shareCostWeight)
		ones.SetVec(i, 1)
	}
	if inverse.Inverse(&normal) != nil {
		return []float64{math.NaN()}
	}
	deviation.MulVec(s.weights, &deviation)
	gradient.MulVec(weightedGain.T(), &deviation)
	optimum.MulVec(&inverse, &gradient)
	onesImage.MulVec(&inverse, ones)
	optimum.AddScaledVec(&optimum, -(mat.Sum(&optimum)-1)/mat.Sum(&onesImage), &onesImage)
	shares := append([]float64{}, optimum.RawVector().Data...)
	floats.AddConst(-min(0, floats.Min(shares)), shares)
	floats.Scale(1/floats.Sum(shares), shares)
	return shares
}

// updateShares sets the shares at the end of a control interval.
func (c *Controller) updateShares() {
	plans := c.scheduler.plans
	lateness := make([]float64, len(plans))
	shares := make([]float64, len(plans))
	for i, p := range plans {
		lateness[i] = p.endInterval()
		shares[i] = p.share
	}
	if c.interval.responses < minShareResponses {
		return
	}
	for i, share := range c.shares.update(shares, lateness, !c.interval.overloadDetected) {
		plans[i].share = share
	}
}

// save returns the model, the covariance and the regressor; the regressor is nil if there is none.
func (s *shareController) save() [3][]float64 {
	saved := [3][]float64{s.model.RawMatrix().Data, s.covariance.RawMatrix().Data}
	if s.regressor != nil {
		saved[2] = s.regressor.RawVector().Data
	}
	return saved
}

// load restores what save returned and reports whether it fits the number of plans. If not, it changes
// nothing.
func (s *shareController) load(saved [3][]float64) bool {
	n := s.plans
	model, covariance, regressor := saved[0], saved[1], saved[2]
	if len(model) != 2*n*n || len(covariance) != 4*n*n || (len(regressor) != 0 && len(regressor) != 2*n) {
		return false
	}
	s.model = mat.NewDense(n, 2*n, model)
	s.covariance = mat.NewDense(2*n, 2*n, covariance)
	s.regressor = nil
	if len(regressor) > 0 {
		s.regressor = mat.NewVecDense(2*n, regressor)
	}
	return true
}
