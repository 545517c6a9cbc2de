package control

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
)

// shareController sets the plans' shares of the dispatch slots. It estimates y(k+1) = X [u(k); y(k)] by
// recursive least squares, where u are the shares and y the lateness of each plan, and chooses the next
// shares by law (14) of the adaptive optimal controller on which the operators' DESIGN page is based.
type shareController struct {
	plans      int
	weights    *mat.DiagDense // by the plans' prices; their mean is 1
	model      *mat.Dense     // X = [B0 A1], plans by twice the plans
	covariance *mat.Dense     // of the estimate, twice the plans squared
	regressor  *mat.VecDense  // the last [u; y]; nil until shares have been set
}

const (
	minShareResponses  = 5    // answers in an interval, below which the shares stay
	forgettingFactor   = 0.95 // lambda of the least squares
	shareCostWeight    = 0.3  // diagonal of Q: the cost of large shares
	initialCovariance  = 1.0
	initialGain        = 3.0 // B0(0): lateness that a share above the equal one takes off
	initialPersistence = 0.9 // A1(0): lateness that stays to the next interval
	minInformation     = 1e-9
	maxEstimateNorm    = 1e4  // norm of the model and the covariance, beyond which the estimate starts anew
	shareSumTolerance  = 1e-6 // by which the sum of the shares may differ from 1
)

func newShareController(prices []float64) *shareController {
	n := len(prices)
	l := &shareController{plans: n, weights: mat.NewDiagDense(n, nil)}
	l.setPrices(prices)
	l.reset()
	return l
}

// setPrices sets the weights by the plans' prices.
func (l *shareController) setPrices(prices []float64) {
	total := floats.Sum(prices)
	for i, price := range prices {
		weight := 1.0
		if total > 0 {
			weight = price * float64(l.plans) / total
		}
		l.weights.SetDiag(i, weight)
	}
}

func (l *shareController) reset() {
	n := l.plans
	l.model = mat.NewDense(n, 2*n, nil)
	l.covariance = mat.NewDense(2*n, 2*n, nil)
	l.regressor = nil
	for i := range 2 * n {
		l.covariance.Set(i, i, initialCovariance)
	}
	for i := range n {
		for j := range n {
			l.model.Set(i, j, initialGain/float64(n))
		}
		l.model.Set(i, i, initialGain/float64(n)-initialGain)
		l.model.Set(i, n+i, initialPersistence)
	}
}

// update takes the shares in force during an interval and the lateness measured at its end, and returns
// the next shares. It learns from them unless the in-flight bound was cut.
func (l *shareController) update(shares, lateness []float64, learn bool) []float64 {
	if l.regressor != nil && learn {
		l.estimate(lateness)
	}
	next := l.solve(lateness)
	if !(math.Abs(floats.Sum(next)-1) < shareSumTolerance) { // NaN, or a singular matrix
		l.reset()
		return shares
	}
	l.regressor = mat.NewVecDense(2*l.plans, append(append([]float64{}, next...), lateness...))
	return next
}

// estimate is one step of the least squares with directional forgetting. The term printed in (4) has
// units that do not match; this is Kulhavy's form (the paper's [9]): the information grows by (lambda -
// (1-lambda)/r) phi phi', r = phi' P phi, and is lost only in directions in which new data come.
func (l *shareController) estimate(lateness []float64) {
	var gain, residual mat.VecDense
	gain.MulVec(l.covariance, l.regressor)
	r := mat.Dot(l.regressor, &gain)
	if r < minInformation {
		return
	}
	residual.MulVec(l.model, l.regressor)
	residual.SubVec(mat.NewVecDense(l.plans, lateness), &residual)
	l.model.RankOne(l.model, 1/(forgettingFactor+r), &residual, &gain)
	beta := forgettingFactor - (1-forgettingFactor)/r
	l.covariance.RankOne(l.covariance, -beta/(1+beta*r), &gain, &gain)
	if !(mat.Norm(l.covariance, 1) < maxEstimateNorm) || !(mat.Norm(l.model, 1) < maxEstimateNorm) {
		l.reset()
	}
}

// solve returns the shares of law (14): those of least cost that sum to one, lifted to be no less than
// zero and normalised. It returns NaN where the law's matrix is singular.
func (l *shareController) solve(lateness []float64) []float64 {
	n := l.plans
	var weightedGain, normal, inverse mat.Dense
	var err, gradient, optimum, onesImage mat.VecDense
	weightedGain.Mul(l.weights, l.model.Slice(0, n, 0, n))
	err.MulVec(l.model.Slice(0, n, n, 2*n), mat.NewVecDense(n, lateness))
	ones := mat.NewVecDense(n, nil)
	normal.Mul(weightedGain.T(), &weightedGain)
	for i := range n {
		// A plan that meets its objective has no error: law (14) would else slow an expensive plan first
		// while all plans are better than their objectives.
		err.SetVec(i, min(0, 1-err.AtVec(i)))
		normal.Set(i, i, normal.At(i, i)+shareCostWeight*shareCostWeight)
		ones.SetVec(i, 1)
	}
	if inverse.Inverse(&normal) != nil {
		return []float64{math.NaN()}
	}
	err.MulVec(l.weights, &err)
	gradient.MulVec(weightedGain.T(), &err)
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

// save returns the model, the covariance and the regressor.
func (l *shareController) save() [3][]float64 {
	saved := [3][]float64{l.model.RawMatrix().Data, l.covariance.RawMatrix().Data}
	if l.regressor != nil {
		saved[2] = l.regressor.RawVector().Data
	}
	return saved
}

// load takes what save returned. It reports whether that fits the number of plans; else it changes nothing.
func (l *shareController) load(saved [3][]float64) bool {
	n := l.plans
	model, covariance, regressor := saved[0], saved[1], saved[2]
	if len(model) != 2*n*n || len(covariance) != 4*n*n || (len(regressor) != 0 && len(regressor) != 2*n) {
		return false
	}
	l.model = mat.NewDense(n, 2*n, model)
	l.covariance = mat.NewDense(2*n, 2*n, covariance)
	l.regressor = nil
	if len(regressor) > 0 {
		l.regressor = mat.NewVecDense(2*n, regressor)
	}
	return true
}
