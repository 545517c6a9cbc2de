package control

import "time"

const (
	// tickInterval is how often queued requests are looked at without an event.
	tickInterval = 100 * time.Millisecond
	tickLabel    = 0 // of the timer; requests have labels from 1 on

	// controlInterval is the interval in which the in-flight bound and the shares are set. It lasts
	// longer, by intervalExtension at most, while it has fewer outcomes than minIntervalOutcomes: their
	// mean means little.
	controlInterval      = time.Second
	maxIntervalExtension = 4 * time.Second
	minIntervalOutcomes  = 5
)

// intervalStats is what is counted in one control interval.
type intervalStats struct {
	overloadDetected  bool    // overload was found
	saturated         bool    // the in-flight bound was reached
	latencyRatioSum   float64 // of latencies over their objectives, each 1 at most
	latencySecondsSum float64 // of latencies in seconds, each its objective at most
	latencyCount      float64 // number of values in the sums
	responses         float64
	overloads         float64 // rejections of servers and time-outs
	servedTokens      float64 // by servers that are not warming up
}

// overloadFraction returns the fraction of outcomes that are a rejection or a time-out.
func (i *intervalStats) overloadFraction() float64 {
	return i.overloads / max(1, i.overloads+i.responses)
}

// meanLatencyExceeds reports whether the mean latency is over a multiple of the idle latency.
func (i *intervalStats) meanLatencyExceeds(multiple, idleLatency float64) bool {
	return i.latencySecondsSum > i.latencyCount*multiple*idleLatency
}

// onTimer handles a timer: the controller's own tick, or the end of a request's time in the queue.
func (c *Controller) onTimer(label uint64) {
	if label == tickLabel {
		c.onTick()
		return
	}
	r := c.timers.byLabel[label]
	if r == nil || !r.queued {
		return
	}
	// A request that is not served counts with its deadline: a starved plan would else look punctual.
	r.plan.observeLateness(max(1, r.class.Deadline.Seconds()/r.class.LatencyObjective.Seconds()))
	c.counts.queue++
	c.rejectOrFail(r)
}

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

// endInterval sets the in-flight bound and the shares by an interval that lasted some seconds.
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
