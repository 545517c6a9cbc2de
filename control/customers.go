package control

import (
	"maps"
	"math"
)

func (c *Controller) customerOf(p *plan, id string, spread int) *customer {
	key := p.Name + " " + id
	q := c.custs[key]
	if q == nil {
		q = &customer{plan: &p.Plan, at: c.now, seenFrom: c.now, carry: c.rng.Float64(),
			spread: max(1, float64(spread))}
		c.allow(q, key)
		q.level, q.smooth = c.whole()*q.plan.Burst, usePrior*q.plan.Rate
		// Just started, the ceiling's store has the slack only: what a former self passed on is not known.
		filled := ceilingStart*p.CeilingOverdraft + (c.now-c.start).Seconds()*p.CeilingRate
		q.ceiling = c.whole() * filled / q.spread
		q.openCap = c.whole() * float64(p.MaxConcurrent) / q.spread
		c.custs[key] = q
	}
	q.spread = max(q.spread, float64(spread))
	c.refill(q)
	return q
}

// refill fills a customer's stores up to now. It charges nothing for use elsewhere: draw does, for each
// unit sent here. Guards against charging that twice, which left stores empty that were half full.
func (c *Controller) refill(q *customer) {
	dt := (c.now - q.at).Seconds()
	q.at = c.now
	c.roll(q)
	part := c.whole()
	q.level = min(part*q.plan.Burst, q.level+part*dt*q.plan.Rate)
	q.ceiling = min(part*q.plan.CeilingBurst/q.spread, q.ceiling+part*dt*q.plan.CeilingRate/q.spread)
}

// part is the learned part of a customer's use that comes through this gateway.
func (q *customer) part() float64 {
	return min(1, max(shareLeast, (sharePrior/q.spread+q.ownSum)/(sharePrior+q.allSum)))
}

// others is what the whole group is taken to have sent for a unit sent here.
func (c *Controller) others(q *customer) float64 {
	w := q.part()
	if !q.metered { // the design's rule for a customer not yet metered
		return 1 / w
	}
	// What goes on elsewhere in any case is in the next reading, and no sign of a surge.
	told := min(1, q.base/max(q.plan.Rate, q.base+tiny))
	return 1 + (1-told)*(1-w)/(w+surge/max(q.smooth*unmetered, surge/10))
}

// admits is the quota's decision on a request at its arrival.
func (c *Controller) admits(q *customer, k *Class, units float64, late bool) bool {
	p := q.plan
	q.asked.add(1)
	q.tries = q.tries*math.Exp(-(c.now-q.triesAt).Seconds()/toldAge) + units
	q.triesAt = c.now
	// Guards against tries that can only be late, or of a class worth far less than the dearest,
	// taking the units or the turn of others.
	yields := late || k.PriorityWeight < worthLow*c.topWorth
	scarce := !c.free() || p.Rate > 0 && q.level-q.queued < storeSpare*p.Burst
	c.tally.asked++
	switch {
	case late && !c.covered(q) || yields && scarce:
		c.tally.late++
	case c.passes(q, units):
		return true
	}
	q.refused.add(1)
	return false
}

// passes holds a try against the ceiling, the store and the chance. The metered chance decides
// where the store is not empty (a surge not told yet), nor well filled and told of most periods.
func (c *Controller) passes(q *customer, units float64) bool {
	p := q.plan
	if p.CeilingRate > 0 && q.ceiling-q.queued < units {
		c.tally.store++
		return false
	}
	if p.Rate > 0 {
		left, need := q.level-q.queued, max(storeHigh*p.Burst, units)
		if q.shared {
			need = SharedBucketMinimum(p.Burst, units, q.few())
		}
		if left >= need && c.covered(q) {
			return true
		}
		if q.shared || left < (storeLow+(1-storeLow)*(1-q.few()))*units {
			c.tally.store++
			return false
		}
	}
	// The chance is drawn by carrying its remainder on, which keeps it exact over few tries.
	if q.carry += 1 - c.chanceFor(q, units); q.carry >= 1 {
		q.carry--
		return true
	}
	c.tally.chance++
	return false
}

// SharedNeed is what a store must hold, as its owner tells many: each may send one on by the same word.
func SharedBucketMinimum(depth, units, few float64) float64 {
	return min(units*(1+sharedMore*(1-few)), sharedPart*depth)
}

// covered tells whether enough of the periods of a customer's use are told here, of those that could be
// since it was first seen: a gateway just started is not held to have missed what was before.
func (c *Controller) covered(q *customer) bool {
	could := toldAge * (1 - math.Exp(-(c.now-q.seenFrom).Seconds()/toldAge))
	least := 1 - (1-coverLeast)*q.few()
	return q.shared || q.cover*math.Exp(-(c.now-q.toldAt).Seconds()/toldAge) > least*could
}

// chanceNow is the chance of refusal, 1-(1-d')*100/p with p over the latest readings that amount
// to some units and over own tries. Guards against readings of few requests, which are noise, and
// against old ones where few periods are told: both count less against a prior of the demand.
func (c *Controller) chanceNow(q *customer) float64 { return c.chanceFor(q, c.unitsMean) }

// chanceFor is the chance of refusal of a request of some units: where many gateways each know
// little of a store, a large request is the likelier to find it too low.
func (c *Controller) chanceFor(q *customer, units float64) float64 {
	if q.plan.Rate == 0 {
		return q.chance
	}
	few := q.few()
	chance := min(chanceMax, 1-math.Pow(c.fits(q), 1+(1-few)*thinSharp*units/c.unitsMean))
	if !q.metered {
		chance *= q.unseen()
	}
	return chance
}

// fits is the part of a customer's demand that its quota holds, as far as is known.
func (c *Controller) fits(q *customer) float64 {
	r, few, k := q.plan.Rate, q.few(), math.Exp(-(c.now-q.toldAt).Seconds()/toldAge)
	trust := thinOwn + (1-thinOwn)*few
	own := trust * q.tries * math.Exp(-(c.now-q.triesAt).Seconds()/toldAge)
	seen := trust * min(toldAge, (c.now-c.start).Seconds()) / q.spread
	shape := askedShape * (1 + (1-few)*(c.unitsMean-1))
	mean := askedMean + max(0, 2*q.unseen()-1)*(thinMean-askedMean)
	demand := (shape + k*q.told + own) / (shape/(mean*r) + k*q.toldFor + seen)
	return min(1, (r+few*burstPart*q.plan.Burst/toldAge)/demand)
}

// few is 1 for a customer that comes through so few gateways that each is told of most of its use,
// and falls to nothing with their number. Guards, where many know little each, against a belief that
// one try of some units moves like many, a store kept of use that nobody tells of, and parts refused
// that are too small as most have not been told yet.
func (q *customer) few() float64 { return min(1, fewGateways/q.spread) }

// unseen is the part of the chance that counts before the first reading: all where many gateways decide
// without one and what goes beyond costs its worth. Guards against passing all that heavy customers ask.
func (q *customer) unseen() float64 {
	thin, dear := 1-q.few(), min(1, q.plan.OverQuotaCost*q.plan.OverQuotaCost)
	return thin * (thinUnseen + dear*(thin-thinUnseen))
}

// draw takes a request's first send from the customer's stores.
func (c *Controller) draw(q *customer, units float64) {
	c.refill(q)
	q.ceiling -= units
	f := units
	if !q.shared { // what others send is in what is told
		f *= c.others(q)
	}
	q.level = max(-q.plan.Burst, q.level-f)
	q.own.add(units)
	q.charged.add(f)
}

// sweep forgets customers that have been idle for long and are as good as new; where there are many,
// sooner and all that are idle. A ceiling's store not full is safe then: all unseen fill from now.
func (c *Controller) sweep() {
	keep, most := custKeep, custMost/2
	idle := func(_ string, q *customer) bool { return c.now-q.at > keep && q.open == 0 && q.queued == 0 }
	maps.DeleteFunc(c.custs, func(k string, q *customer) bool { return idle(k, q) && c.full(q) })
	if c.set.MaxTenants > 0 {
		most = min(most, c.set.MaxTenants)
	}
	for len(c.custs) > most && keep > interval {
		keep /= 2
		c.start = max(c.start, c.now-keep)
		maps.DeleteFunc(c.custs, idle)
	}
}

// full tells whether an idle customer's stores have filled again since it was last looked at.
func (c *Controller) full(q *customer) bool {
	p, dt := q.plan, (c.now - q.at).Seconds()
	return p.MaxConcurrent == 0 && (p.Rate == 0 || q.level+dt*p.Rate >= p.Burst) &&
		(p.CeilingRate == 0 || q.ceiling+dt*p.CeilingRate/q.spread >= p.CeilingBurst/q.spread)
}
