package control

import "math"

// trafficStats are moving averages of this node's traffic that several rules go by.
type trafficStats struct {
	latency          float64 // s: mean of answers, each counted up to its latency objective
	responses        float64 // number of answers in latency
	idleLatency      float64 // s: the least mean latency, which an idle server takes
	slowStartLatency float64 // s: mean of answers of servers that are warming up; 0 is none yet
	outcomeRate      float64 // answers and overload outcomes per second
	servedRate       float64 // tokens per second, served by servers that are not warming up
	meanTokens       float64 // of a request
}

const (
	initialMeanTokens    = 3.0  // of a request, until some are seen
	meanTokensGain       = 0.05 // of the average of tokens
	latencyGain          = 0.02 // of the average latency, once 50 answers are seen
	slowStartLatencyGain = 0.05 // of the average latency of warming-up servers
	rateGain             = 0.2  // of the averages of rates, by control interval

	idleLatencyGrowth = 1.005 // growth of the idle latency in an interval without a shorter one
	minIdleResponses  = 25    // answers before an idle latency is kept

	// An observation of a server counts for as long as each server answers observedResponses times, within
	// these limits. A node among many would otherwise forget which server is slow before it is back there.
	observedResponses      = 6.0
	minObservationLifetime = 5.0  // s
	maxObservationLifetime = 60.0 // s
)

// observe adds the latency of an answer.
func (t *trafficStats) observe(latency float64) {
	t.responses++
	t.latency += max(latencyGain, 1/t.responses) * (latency - t.latency)
}

// observeSlowStart adds the latency of an answer of a server that is warming up.
func (t *trafficStats) observeSlowStart(latency, objective float64) {
	if t.slowStartLatency == 0 {
		t.slowStartLatency = latency
	}
	t.slowStartLatency += slowStartLatencyGain * (min(latency, objective) - t.slowStartLatency)
}

// updateIdleLatency follows the least mean latency at the end of a control interval.
func (t *trafficStats) updateIdleLatency() {
	t.idleLatency = min(t.idleLatency*idleLatencyGrowth, t.latency)
	if t.responses < minIdleResponses || t.idleLatency == 0 {
		t.idleLatency = t.latency
	}
}

// updateRates takes what an interval counted, which lasted some seconds.
func (t *trafficStats) updateRates(interval *intervalStats, lasted float64) {
	t.servedRate += rateGain * (interval.servedTokens/lasted - t.servedRate)
	updateAverage(&t.outcomeRate, (interval.responses+interval.overloads)/lasted, rateGain)
}

// observationLifetime returns for how long, in seconds, an observation of one of some servers counts.
func (t *trafficStats) observationLifetime(servers float64) float64 {
	if t.outcomeRate == 0 {
		return minObservationLifetime
	}
	return min(maxObservationLifetime, max(minObservationLifetime, observedResponses*servers/t.outcomeRate))
}

// decay returns the weight that is left after some seconds, 1/e after a lifetime.
func decay(elapsed, lifetime float64) float64 { return math.Exp(-elapsed / lifetime) }
