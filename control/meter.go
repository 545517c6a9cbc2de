package control

import (
	"math"
)

// usageMeter takes the readings of the platform's usage meter: how much of its quota a tenant used over
// all nodes in the last metered period. When a period ends and how late it is reported is learnt from
// this node's own attempts.
type usageMeter struct {
	env     *environment
	tenants *tenantTable
	phase   meterPhase
}

// tenantUsage is what is known of a tenant's use over all nodes.
type tenantUsage struct {
	metered          bool    // there was a reading
	readEnd          int64   // bin in which the last period read ended
	otherNodesRate   float64 // tokens per second that are taken to be used at other nodes
	lastPeriodTokens float64 // of the last reading
	localTokens      float64 // through this node, decaying with readings
	fleetTokens      float64 // through all nodes, decaying with readings
	meanRate         float64 // tokens per second through all nodes, average

	// By bin: tokens of attempts, tokens taken from the bucket, requests received and rejected.
	sent, charged, requested, rejected history
}

const (
	initialMeterLag = 8  // bins by which a period is taken to be reported late, until learnt
	maxMeterLag     = 66 // bins of lateness that are considered
	misfitDecay     = 0.99
	// missingWeight is the weight of attempts that a reading lacks against attempts that can't be in it.
	missingWeight = 0.5
	// phaseHysteresis is the factor by which another phase must fit better to be taken.
	phaseHysteresis = 0.8

	usageDecay       = 0.85 // of own and all tokens, by reading
	localPriorTokens = 10.0 // of belief in a use that is spread evenly over the nodes
	minLocalFraction = 0.05
	meanRateGain     = 0.2
	// surgeShape is the shape of the belief about others' use: a small one takes more of an own surge to
	// be a surge everywhere.
	surgeShape = 0.5
	// unreportedSeconds is how much use the meter has not reported yet.
	unreportedSeconds = 2.0
	// levelCorrectionGain is the fraction by which a reading moves the bucket's level towards its value,
	// where the nodes are many.
	levelCorrectionGain = 0.4
)

// applyReading takes a reading that came with an answer to a request of some tokens: 1 + percent of the
// quota, 0 is none. Each period is applyReading once.
func (m *usageMeter) applyReading(t *tenant, reading int, tokens float64) {
	if reading <= 0 || m.env.settings.MeterPeriod == 0 {
		return
	}
	m.tenants.refill(t)
	period := m.env.settings.MeterPeriod.Seconds()
	percent := float64(reading-1) / t.quotaFactor // the meter knows the settings' quota only
	used := percent / 100 * t.plan.Rate * period
	if t.plan.Rate > 0 {
		m.phase.update(t, used, tokens, m.env.currentBin())
	}
	end := m.phase.periodEnd(m.env.currentBin())
	if t.metered && end < t.readEnd+binsPerPeriod/2 {
		return
	}
	t.metered = true
	t.readEnd = end
	requested := t.requested.periodSumBefore(end)
	rejected := m.rejectedFraction(t, end)
	t.addReading(m.env.now, used, rejected, period, t.plan.Rate, t.visibility())
	if t.plan.Rate == 0 {
		t.adjustSlots(percent, rejected, requested)
		return
	}
	m.updateUsage(t, used, period, end)
	m.correctLevel(t, used, percent, end)
}

// rejectedFraction returns the fraction of a tenant's requests that was rejected in the period that was
// read, whoever decided it. Where many nodes decide, what all admit is what fits, once use is at the
// quota: a node would else take what it rejects itself to be rejected everywhere, and its belief would
// run away.
func (m *usageMeter) rejectedFraction(t *tenant, end int64) float64 {
	asked := t.requested.periodSumBefore(end)
	rejected := m.tenants.rejectionChance(t)
	if asked > 0 {
		rejected = t.rejected.periodSumBefore(end) / asked
	}
	if t.plan.Rate > 0 {
		visibility := t.visibility()
		rejected = visibility*rejected + (1-visibility)*(1-m.tenants.admissibleFraction(t))
	}
	return rejected
}

func (m *usageMeter) updateUsage(t *tenant, used, period float64, end int64) {
	t.localTokens = t.localTokens*usageDecay + min(t.sent.periodSumBefore(end), used)
	t.fleetTokens = t.fleetTokens*usageDecay + used
	// The lower of the last two readings is taken to go on elsewhere.
	t.otherNodesRate = (1 - t.localFraction()) * min(min(used, t.lastPeriodTokens)/period, t.plan.Rate)
	t.lastPeriodTokens = used
	t.meanRate += meanRateGain * (used/period - t.meanRate)
}

// correctLevel takes what the period really used from the bucket in place of what was charged. Where the
// nodes are many, charges for use elsewhere that no reading has reported yet are guesses, and the reading
// shows how far the bucket is from empty.
func (m *usageMeter) correctLevel(t *tenant, used, percent float64, end int64) {
	burst := m.env.quotaFraction() * t.plan.Burst
	t.level = min(burst, max(-t.plan.Burst/2, t.level-used+t.charged.periodSumBefore(end)))
	t.level += (1 - t.visibility()) * levelCorrectionGain * max(0, burst*(1-percent/100)-t.level)
}

// advance brings the histories up to a bin.
func (u *tenantUsage) advance(bin int64) {
	u.sent.advance(bin)
	u.charged.advance(bin)
	u.requested.advance(bin)
	u.rejected.advance(bin)
}

// localFraction returns the learnt fraction of a tenant's use that comes through this node.
func (t *tenant) localFraction() float64 {
	return min(1, max(minLocalFraction,
		(localPriorTokens/t.nodes+t.localTokens)/(localPriorTokens+t.fleetTokens)))
}

// fleetUsePerToken returns the tokens that all nodes are taken to have sent for each one sent here.
func (t *tenant) fleetUsePerToken() float64 {
	local := t.localFraction()
	if !t.metered { // the design's rule for a tenant that is not metered yet
		return 1 / local
	}
	// What goes on elsewhere in any case is in the next reading, and no sign of a surge.
	steady := min(1, t.otherNodesRate/max(t.plan.Rate, t.otherNodesRate+epsilon))
	return 1 + (1-steady)*(1-local)/(local+surgeShape/max(t.meanRate*unreportedSeconds, surgeShape/10))
}

// meterPhase is what is learnt of the meter's clock: the bin at which its periods end, and how many bins
// late they are reported.
type meterPhase struct {
	misfit     [binsPerPeriod][maxMeterLag]float64 // of each pair, decaying
	phase, lag int64
}

// update finds the phase and the lag under which own attempts fit best with what is read. Without it a
// period would be read many times, or matched with another one's attempts.
func (m *meterPhase) update(t *tenant, used, tokens float64, now int64) {
	local := t.localFraction()
	var misfit [binsPerPeriod + maxMeterLag]float64 // of a period that ended so many bins ago
	for ago := range misfit {
		own := t.sent.periodSumBefore(now - int64(ago))
		misfit[ago] = (max(0, own-used) + missingWeight*max(0, local*used-own)) / (tokens + used + own)
	}
	least := math.Inf(1)
	bestPhase, bestLag := int64(0), int64(0)
	for phase := range int64(binsPerPeriod) {
		ago := now - lastBinAt(now, phase)
		for lag := range int64(maxMeterLag) {
			sum := &m.misfit[phase][lag]
			*sum = *sum*misfitDecay + misfit[ago+lag]
			if *sum < least {
				least = *sum
				bestPhase, bestLag = phase, lag
			}
		}
	}
	if least < phaseHysteresis*m.misfit[m.phase][m.lag] {
		m.phase = bestPhase
		m.lag = bestLag
	}
}

// periodEnd returns the bin in which the period ended that is reported now.
func (m *meterPhase) periodEnd(now int64) int64 { return lastBinAt(now, m.phase) - m.lag }

// lastBinAt returns the latest bin at or before now that lies at a phase of the period.
func lastBinAt(now, phase int64) int64 {
	return now - ((now-phase)%binsPerPeriod+binsPerPeriod)%binsPerPeriod
}
