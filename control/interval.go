package control

import "time"

const (
	// tickInterval is the interval at which the controller checks, without another event, whether periodic work
	// is due and queued requests can be dispatched.
	tickInterval = 100 * time.Millisecond
	tickLabel    = 0 // label of this timer; the timers of requests have labels from 1 on

	// controlInterval is the interval at which the in-flight bound and the shares are set. While the interval
	// has fewer than minIntervalOutcomes outcomes, too few for a meaningful mean, it is extended by up to
	// maxIntervalExtension.
	controlInterval      = time.Second
	maxIntervalExtension = 4 * time.Second
	minIntervalOutcomes  = 5
)

// intervalStats is what is counted in one control interval.
type intervalStats struct {
	overloadDetected  bool    // set by concurrencyLimit.adjust
	saturated         bool    // the in-flight bound was reached
	latencyRatioSum   float64 // sum of latency over latency objective, each at most 1
	latencySecondsSum float64 // sum of latencies in seconds, each at most its latency objective
	latencyCount      float64 // number of values in each sum
	responses         float64 // successful responses
	overloads         float64 // rejections by servers, and timeouts
	servedTokens      float64 // tokens served by servers that are not warming up
}

// overloadFraction returns the fraction of outcomes that are a rejection or a timeout.
func (i *intervalStats) overloadFraction() float64 {
	return i.overloads / max(1, i.overloads+i.responses)
}

// meanLatencyExceeds reports whether the mean latency exceeds a multiple of the idle latency.
func (i *intervalStats) meanLatencyExceeds(multiple, idleLatency float64) bool {
	return i.latencySecondsSum > i.latencyCount*multiple*idleLatency
}

// onTimer handles an expired timer: the tick, or the end of a request's maximum time in the queue. All timers
// of a request have one label, so the timer of its first wait also ends a retry that is queued by then.
func (c *Controller) onTimer(label uint64) {
	if label == tickLabel {
		c.onTick()
		return
	}
	r := c.timers.byLabel[label]
	if r == nil || !r.queued {
		return
	}
	// A request that is not served counts with its deadline. Otherwise a starved plan would seem to meet its
	// objectives.
	r.plan.observeLateness(max(1, r.class.Deadline.Seconds()/r.class.LatencyObjective.Seconds()))
	c.counts.queue++
	c.rejectOrFail(r)
}

// onTick requests the next tick and does the periodic work that is due.
func (c *Controller) onTick() {
	c.env.emit(SetTimer{After: tickInterval, Label: tickLabel})
	if c.env.now >= c.nextReportAt {
		c.report()
	}
	c.watch.poll()
	if c.env.now < c.intervalEndAt {
		return
	}
	enough := c.interval.responses+c.interval.overloads >= minIntervalOutcomes
	if enough || c.env.now >= c.intervalEndAt+maxIntervalExtension {
		c.endInterval((c.env.now - c.intervalEndAt + controlInterval).Seconds())
		c.intervalEndAt = c.env.now + controlInterval
	}
}

// endInterval sets the in-flight bound and the shares from a control interval that lasted some seconds, and
// begins the next one.
func (c *Controller) endInterval(lasted float64) {
	c.traffic.updateIdleLatency()
	if c.concurrency.adjust(&c.interval) {
		c.counts.cuts++
	}
	c.updateShares()
	c.traffic.updateRates(&c.interval, lasted)
	c.interval = intervalStats{}
	c.tenants.sweep()
}
