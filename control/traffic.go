package control

import "math"

// trafficStats holds the moving averages of this node's traffic that several rules use.
type trafficStats struct {
	latency          float64 // mean latency in seconds, each response counted up to its latency objective
	responses        float64 // number of responses in latency
	idleLatency      float64 // lowest mean latency in seconds: that of an idle server
	slowStartLatency float64 // mean latency in seconds of servers that are warming up; 0 means none yet
	outcomeRate      float64 // responses, rejections by servers and timeouts per second; 0 means none yet
	servedRate       float64 // tokens per second served by servers that are not warming up
	meanTokens       float64 // mean tokens of a request
}

const (
	initialMeanTokens    = 3.0  // mean tokens of a request until the first request
	meanTokensGain       = 0.05 // gain of the mean tokens
	latencyGain          = 0.02 // gain of the mean latency, after the first 50 responses
	slowStartLatencyGain = 0.05 // gain of the mean latency of servers that are warming up
	rateGain             = 0.2  // gain of the rates, per control interval

	idleLatencyGrowth = 1.005 // factor on the idle latency in an interval without a shorter one
	minIdleResponses  = 25    // responses before an idle latency is kept

	// An observation of a server counts for the time in which each server responds observedResponses times,
	// within these limits. With a fixed time, a node of a large fleet would forget which server is slow before
	// it sends to it again.
	observedResponses      = 6.0
	minObservationLifetime = 5.0  // seconds
	maxObservationLifetime = 60.0 // seconds
)

// observe adds the latency of a response, in seconds.
func (t *trafficStats) observe(latency float64) {
	t.responses++
	t.latency += max(latencyGain, 1/t.responses) * (latency - t.latency)
}

// observeSlowStart adds the latency of a response of a server that is warming up. Both arguments are in
// seconds.
func (t *trafficStats) observeSlowStart(latency, objective float64) {
	if t.slowStartLatency == 0 {
		t.slowStartLatency = latency
	}
	t.slowStartLatency += slowStartLatencyGain * (min(latency, objective) - t.slowStartLatency)
}

// updateIdleLatency updates the idle latency at the end of a control interval.
func (t *trafficStats) updateIdleLatency() {
	t.idleLatency = min(t.idleLatency*idleLatencyGrowth, t.latency)
	if t.responses < minIdleResponses || t.idleLatency == 0 {
		t.idleLatency = t.latency
	}
}

// updateRates updates the rates from a control interval that lasted some seconds.
func (t *trafficStats) updateRates(interval *intervalStats, lasted float64) {
	t.servedRate += rateGain * (interval.servedTokens/lasted - t.servedRate)
	updateAverage(&t.outcomeRate, (interval.responses+interval.overloads)/lasted, rateGain)
}

// observationLifetime returns the time, in seconds, after which an observation of a server has decayed to 1/e
// of its weight. servers is the number of usable servers.
func (t *trafficStats) observationLifetime(servers float64) float64 {
	if t.outcomeRate == 0 {
		return minObservationLifetime
	}
	return min(maxObservationLifetime, max(minObservationLifetime, observedResponses*servers/t.outcomeRate))
}

// decay returns the weight that is left after elapsed seconds: 1/e after one lifetime.
func decay(elapsed, lifetime float64) float64 { return math.Exp(-elapsed / lifetime) }
