package control

import "math"

// meter reads the told use of a customer, once for each period. The chance d'
// is what was in force while that period was metered, whoever decided it then.
func (c *Controller) meter(q *customer, told int, units float64) {
	if told <= 0 || c.set.MeterPeriod == 0 {
		return
	}
	c.refill(q)
	pct := float64(told-1) / q.quota // the meter knows the settings' quota only
	used := pct / 100 * q.plan.Rate * c.set.MeterPeriod.Seconds()
	if q.plan.Rate > 0 {
		c.clock.learn(q, used, units, q.part(), c.binNow())
	}
	end := c.clock.end(c.binNow())
	if q.metered && end < q.readEnd+binsPeriod/2 {
		return
	}
	q.metered, q.readEnd = true, end
	own, charged := q.own.over(end), q.charged.over(end)
	asked, force := q.asked.over(end), c.chanceNow(q)
	if asked > 0 {
		force = q.refused.over(end) / asked
	}
	// Where many decide, what all let through is what fits once use is at the quota. Guards against a
	// belief that runs away, as each takes what it refuses itself to be refused everywhere.
	few := q.few()
	if q.plan.Rate > 0 && q.metered {
		force = few*force + (1-few)*(1-c.fits(q))
	}
	period := c.set.MeterPeriod.Seconds()
	k := math.Exp(-(c.now - q.toldAt).Seconds() / toldAge)
	q.cover = q.cover*k + period
	k *= math.Exp(-q.plan.Rate * period / (toldUnits * (2 - few)))
	q.told, q.toldFor, q.toldAt = q.told*k+used, q.toldFor*k+(1-force)*period, c.now
	if q.plan.Rate == 0 {
		c.meterOpen(q, pct, force, asked)
		return
	}
	q.ownSum = q.ownSum*shareKeep + min(own, used)
	q.allSum = q.allSum*shareKeep + used
	// The lower of the last two readings is taken to go on elsewhere.
	q.base = (1 - q.part()) * min(min(used, q.lastUsed)/c.set.MeterPeriod.Seconds(), q.plan.Rate)
	q.lastUsed = used
	q.smooth += (1 - useKeep) * (used/c.set.MeterPeriod.Seconds() - q.smooth)
	q.level = min(c.whole()*q.plan.Burst, max(-q.plan.Burst/2, q.level-used+charged))
	// What was charged for use elsewhere that no reading has told of yet is a guess, and this one
	// tells how far the store is from empty.
	q.level += (1 - few) * thinTold * max(0, c.whole()*q.plan.Burst*(1-pct/100)-q.level)
}

// learn finds when the meter's periods end and how late they are told: the pair under which own sends
// fit best with what is told. Guards against a period read many times or matched with another's sends.
func (m *meterClock) learn(q *customer, used, units, part float64, now int64) {
	least, at, lag := math.Inf(1), int64(0), int64(0)
	var misfit [binsPeriod + lagMost]float64 // of a period that ended so many bins ago
	for ago := range misfit {
		own := q.own.over(now - int64(ago))
		misfit[ago] = (max(0, own-used) + lagWeak*max(0, part*used-own)) / (units + used + own)
	}
	for ph := int64(0); ph < binsPeriod; ph++ {
		ago := now - flip(now, ph)
		for l := int64(0); l < lagMost; l++ {
			e := &m.miss[ph][l]
			if *e = *e*lagKeep + misfit[ago+l]; *e < least {
				least, at, lag = *e, ph, l
			}
		}
	}
	if least < lagSwitch*m.miss[m.phase][m.lag] {
		m.phase, m.lag = at, lag
	}
}

// meterOpen moves this gateway's part of an open quota by the told maximum. A part
// below one is kept by a pause after each attempt; see onResponse. The chance comes last.
func (c *Controller) meterOpen(q *customer, pct, force, asked float64) {
	if q.openCap > q.openLeast() {
		q.chance = 0
	} else if asked > 0 || pct <= 100 {
		q.chance = min(chanceMax, max(0, 1-(1-force)*100/max(pct, 1)))
	}
	if pct > 100 || q.openHit {
		q.openCap *= max(openDown, min(boundUp, 100/max(pct, 1)))
	}
	most := float64(q.plan.MaxConcurrent)
	q.openCap, q.openHit = min(most, max(q.openLeast(), q.openCap)), false
}

// openLeast is half of an even part of an open quota.
func (q *customer) openLeast() float64 { return float64(q.plan.MaxConcurrent) / q.spread / 2 }
