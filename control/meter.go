package control

import (
	"math"
)

// usageMeter applies the readings of the platform's usage meter. A reading is the percentage of its quota
// that a tenant used over all nodes in the last metered period. When a period ends, and how late it is
// reported, is learned from this node's own attempts.
type usageMeter struct {
	env     *environment
	tenants *tenantTable
	phase   meterPhase
}

// tenantUsage is what is known of a tenant's use over all nodes.
type tenantUsage struct {
	metered          bool    // a reading has been received
	readEnd          int64   // bin in which the period of the last reading ended
	otherNodesRate   float64 // tokens per second that other nodes are assumed to use
	lastPeriodTokens float64 // tokens used in the period of the last reading
	localTokens      float64 // tokens used through this node, decaying with each reading
	fleetTokens      float64 // tokens used through all nodes, decaying with each reading
	meanRate         float64 // average tokens per second used through all nodes

	// By bin: tokens of attempts, tokens charged to the bucket, requests received and requests rejected.
	sent, charged, requested, rejected history
}

const (
	initialMeterLag = 8    // bins from the end of a period to its reading, until learned
	maxMeterLag     = 66   // number of lags that are considered, from 0 on
	misfitDecay     = 0.99 // factor on the misfits with each reading
	// missingWeight is the weight of attempts that a reading should contain and does not, relative to attempts
	// that it cannot contain.
	missingWeight = 0.5
	// phaseHysteresis is the factor by which the misfit of another phase and lag must be smaller for these to be
	// used.
	phaseHysteresis = 0.8

	usageDecay       = 0.85 // factor on localTokens and fleetTokens with each reading
	localPriorTokens = 10.0 // weight, in tokens, of the prior belief that use is even over the nodes
	minLocalFraction = 0.05 // minimum of the estimated local fraction
	meanRateGain     = 0.2  // gain of meanRate
	// surgeShape is the shape of the prior belief about the use at other nodes. The smaller it is, the more
	// local use it takes for a surge here to count as a surge at all nodes.
	surgeShape = 0.5
	// unreportedSeconds is the time whose use the meter has not reported yet, in seconds.
	unreportedSeconds = 2.0
	// levelCorrectionGain is the fraction by which a reading moves the bucket's level towards the level that the
	// reading implies, where a tenant has many nodes.
	levelCorrectionGain = 0.4
)

// applyReading applies a reading that arrived with a response to a request of the given tokens. The reading
// is 1 + the percentage of the quota; 0 means none. Only the first reading of each period counts towards the
// usage.
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

// rejectedFraction returns the fraction of a tenant's requests that all nodes together rejected in the period
// that was read. Where a tenant has many nodes, the fraction is estimated from the quota and the demand: once
// use is at the quota, the nodes together admit just what fits. If a node took its own rejections for those
// of all nodes, its estimate of the demand would grow without bound.
func (m *usageMeter) rejectedFraction(t *tenant, end int64) float64 {
	requested := t.requested.periodSumBefore(end)
	rejected := m.tenants.rejectionChance(t)
	if requested > 0 {
		rejected = t.rejected.periodSumBefore(end) / requested
	}
	if t.plan.Rate > 0 {
		visibility := t.visibility()
		rejected = visibility*rejected + (1-visibility)*(1-m.tenants.admissibleFraction(t))
	}
	return rejected
}

// updateUsage updates the averages of a tenant's use from the reading of a period.
func (m *usageMeter) updateUsage(t *tenant, used, period float64, end int64) {
	t.localTokens = t.localTokens*usageDecay + min(t.sent.periodSumBefore(end), used)
	t.fleetTokens = t.fleetTokens*usageDecay + used
	// The use at other nodes is assumed to continue at the lower of the last two readings.
	t.otherNodesRate = (1 - t.localFraction()) * min(min(used, t.lastPeriodTokens)/period, t.plan.Rate)
	t.lastPeriodTokens = used
	t.meanRate += meanRateGain * (used/period - t.meanRate)
}

// correctLevel replaces what was charged to the bucket for the period by the use that was read. Where a
// tenant has many nodes, charges for use at other nodes that no reading has reported yet are estimates, so
// the level is also moved towards the one that the reading implies.
func (m *usageMeter) correctLevel(t *tenant, used, percent float64, end int64) {
	burst := m.env.quotaFraction() * t.plan.Burst
	t.level = min(burst, max(-t.plan.Burst/2, t.level-used+t.charged.periodSumBefore(end)))
	t.level += (1 - t.visibility()) * levelCorrectionGain * max(0, burst*(1-percent/100)-t.level)
}

// advance advances the histories to a bin.
func (u *tenantUsage) advance(bin int64) {
	u.sent.advance(bin)
	u.charged.advance(bin)
	u.requested.advance(bin)
	u.rejected.advance(bin)
}

// localFraction returns the estimated fraction of a tenant's use that comes through this node.
func (t *tenant) localFraction() float64 {
	return min(1, max(minLocalFraction,
		(localPriorTokens/t.nodes+t.localTokens)/(localPriorTokens+t.fleetTokens)))
}

// fleetUsePerToken returns how many tokens all nodes are assumed to have used for each token used here.
func (t *tenant) fleetUsePerToken() float64 {
	local := t.localFraction()
	if !t.metered { // the rule of the DESIGN page for a tenant without a reading
		return 1 / local
	}
	// Steady use at other nodes will be in the next reading and is no sign of a surge.
	steady := min(1, t.otherNodesRate/max(t.plan.Rate, t.otherNodesRate+epsilon))
	return 1 + (1-steady)*(1-local)/(local+surgeShape/max(t.meanRate*unreportedSeconds, surgeShape/10))
}

// meterPhase is what is learned of the meter's clock: the phase at which its periods end, and the lag with
// which they are reported, both in bins.
type meterPhase struct {
	misfit     [binsPerPeriod][maxMeterLag]float64 // by phase and lag, decaying
	phase, lag int64                               // best phase and lag
}

// update determines the phase and lag with which this node's attempts fit the readings best. With wrong ones
// a period would be read many times, or compared with the attempts of another period.
func (m *meterPhase) update(t *tenant, used, tokens float64, now int64) {
	local := t.localFraction()
	var misfit [binsPerPeriod + maxMeterLag]float64 // by the bins since the end of the period
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

// periodEnd returns the bin in which the period ended that is reported at bin now.
func (m *meterPhase) periodEnd(now int64) int64 { return lastBinAt(now, m.phase) - m.lag }

// lastBinAt returns the latest bin at or before now that has the given phase within its period.
func lastBinAt(now, phase int64) int64 {
	return now - ((now-phase)%binsPerPeriod+binsPerPeriod)%binsPerPeriod
}
