package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// work draws a request's class, work and units. Units go by the work, three on average; the guess
// that the client names departs from the truth.
func (d *Day) work(rng *rand.Rand, guess distuv.LogNormal, mean float64) (class, units, real int, work time.Duration) {
	x := rng.Float64()
	for class < len(d.Classes)-1 && x > d.Classes[class].Share.Lo {
		x -= d.Classes[class].Share.Lo
		class++
	}
	c := &d.Classes[class]
	ms := c.WorkMS.Lo * lognormal(c.CV.Lo, rng).Rand()
	most := float64(d.File.Load.MostUnits)
	real = int(math.Min(most, math.Max(1, math.Round(3*ms/mean))))
	units = int(math.Min(most, math.Max(1, math.Round(float64(real)*guess.Rand()))))
	return class, units, real, spanMS(ms)
}

// lognormal has mean 1 and the coefficient of variation given.
func lognormal(cv float64, rng *rand.Rand) distuv.LogNormal {
	s2 := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: -s2 / 2, Sigma: math.Sqrt(s2), Src: rng}
}

// MeanWork is what a request takes on one core of speed 1, in the mean of all classes.
func (d *Day) MeanWork() time.Duration { return spanMS(d.meanWork()) }

func (d *Day) meanWork() float64 {
	mean := 0.0
	for _, c := range d.Classes {
		mean += c.Share.Lo * c.WorkMS.Lo
	}
	return mean
}

// appetite is what a customer asks, in parts of its rate, and when.
type appetite struct {
	base, spike       float64
	every, span, from float64 // s
}

func (a appetite) at(t float64) float64 {
	if a.spike > 0 && math.Mod(t+a.from, a.every) < a.span {
		return a.spike
	}
	return a.base
}

// inside is the part of the rate that it asks inside its quota, about.
func (a appetite) inside() float64 {
	duty := 0.0
	if a.spike > 0 {
		duty = a.span / a.every
	}
	return math.Min(1, a.base)*(1-duty) + duty
}

func (f *File) appetite(rng *rand.Rand, full, heavy, spiky float64) appetite {
	l := &f.Load
	a := appetite{base: l.CalmUse.draw(rng)}
	switch x := rng.Float64(); {
	case x < full:
		a.base = 0.85 + 0.15*rng.Float64()
	case x < full+heavy:
		a.base = l.HeavyX.draw(rng)
	case x < full+heavy+spiky:
		a.spike, a.span, a.every = l.SpikeX.draw(rng), l.SpikeS.draw(rng), l.SpikeEveryS.draw(rng)
		a.from = rng.Float64() * a.every
	}
	return a
}

// leastAsked is the part of the load below which a rest is none: what rounding leaves over.
const leastAsked = 1e-6

// drawCustomers adds customers plan by plan until what they ask inside their quotas is the load
// that the day is to have, and draws the arrivals of each.
func (d *Day) drawCustomers(f *File) {
	rng := rngFor(d.Seed, "customers")
	load := f.Load.Inside.draw(rng) * d.Capacity() / (d.meanWork() / 1000) // requests a second
	full, heavy, spiky := f.Load.Full.draw(rng), f.Load.Heavy.draw(rng), f.Load.Spiky.draw(rng)
	skew, shift, guess := f.Load.Skew.draw(rng), f.Load.ShiftS.draw(rng), f.Load.GuessCV.draw(rng)
	meanUnits := d.meanUnits(guess)
	for i, p := range f.Plan {
		left := load * p.Share
		for left > leastAsked*load {
			a := f.appetite(rng, full, heavy, spiky)
			if rate := d.Plans[i].Rate / meanUnits; rate*a.inside() > 2*left && len(d.Customers) > 0 {
				a.base, a.spike = left/rate, 0 // the last one asks what is missing
			}
			left -= a.inside() * d.Plans[i].Rate / meanUnits
			d.addCustomer(rng, i, p, skew, span(shift))
			d.drawArrivals(rng.Uint64(), len(d.Customers)-1, a, meanUnits, guess)
		}
	}
	slices.SortStableFunc(d.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

func (d *Day) meanUnits(guess float64) float64 {
	rng, sum, n := rngFor(d.Seed, "units"), 0, 4000
	dist := lognormal(guess, rng)
	for range n {
		_, units, _, _ := d.work(rng, dist, d.meanWork())
		sum += units
	}
	return float64(sum) / float64(n)
}

func (d *Day) addCustomer(rng *rand.Rand, plan int, p Plan, skew float64, shift time.Duration) {
	c := Customer{ID: rng.Uint64N(1 << 33), Plan: plan, First: rng.IntN(len(d.Nodes)), Epoch: shift,
		Spread: max(1, int(math.Round(p.Spread.draw(rng)*float64(len(d.Nodes)))))}
	if most := d.File.Load.SetMost; most > 0 {
		c.Spread = min(c.Spread, most)
	}
	for range int(d.Length/shift) + 2 {
		w := make([]float32, c.Spread)
		for i := range w {
			w[i] = float32(math.Exp(skew * rng.NormFloat64()))
		}
		c.Weights = append(c.Weights, w)
	}
	d.Customers = append(d.Customers, c)
}

// drawArrivals thins a steady stream at the customer's highest rate.
func (d *Day) drawArrivals(seed uint64, customer int, a appetite, meanUnits, guessCV float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	guess, mean := lognormal(guessCV, rng), d.meanWork()
	per := d.Plans[d.Customers[customer].Plan].Rate / meanUnits
	burst := 1.0
	for _, e := range d.Faults {
		if e.Kind == "burst" {
			burst = math.Max(burst, e.Size)
		}
	}
	most := per * math.Max(a.base, a.spike) * burst
	for t := rng.ExpFloat64() / most; t < d.Length.Seconds(); t += rng.ExpFloat64() / most {
		if rng.Float64()*most > per*a.at(t)*d.burstAt(span(t)) {
			continue
		}
		class, units, real, work := d.work(rng, guess, mean)
		d.Arrivals = append(d.Arrivals, Arrival{span(t), customer, class, units, real, work, rng.Uint64()})
	}
}

func (d *Day) burstAt(t time.Duration) float64 {
	for _, e := range d.Faults {
		if e.Kind == "burst" && t >= e.At && t < e.At+e.For {
			return e.Size
		}
	}
	return 1
}
