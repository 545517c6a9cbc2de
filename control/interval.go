package control

import "time"

const (
	// tick is how often queued requests are looked at without an event.
	tick      = 100 * time.Millisecond
	tickLabel = 0 // of the timer; requests have labels from 1 on

	// controlInterval is the interval in which the in-flight bound and the shares are set. It lasts
	// longer, by intervalExtension at most, while it has fewer outcomes than minIntervalOutcomes: their
	// mean means little.
	controlInterval     = time.Second
	intervalExtension   = 4 * time.Second
	minIntervalOutcomes = 5
)

// intervalStats is what is counted in one control interval.
type intervalStats struct {
	cut          bool    // overload was found
	saturated    bool    // the in-flight bound was reached
	latencySum   float64 // of latencies over their objectives, each 1 at most
	secondsSum   float64 // of latencies in seconds, each its objective at most
	latencies    float64 // number of values in the sums
	answers      float64
	overloaded   float64 // rejections of servers and time-outs
	servedTokens float64 // by servers that are not warming up
}

// overloadFraction returns the fraction of outcomes that are a rejection or a time-out.
func (i *intervalStats) overloadFraction() float64 {
	return i.overloaded / max(1, i.overloaded+i.answers)
}

// meanExceeds reports whether the mean latency is over a multiple of the idle latency.
func (i *intervalStats) meanExceeds(multiple, idleLatency float64) bool {
	return i.secondsSum > i.latencies*multiple*idleLatency
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
	c.finish(r)
}

func (c *Controller) onTick() {
	c.env.act(SetTimer{After: tick, Label: tickLabel})
	if c.env.now >= c.nextReport {
		c.report()
	}
	c.watch.poll()
	if c.env.now < c.intervalEnd {
		return
	}
	enough := c.interval.answers+c.interval.overloaded >= minIntervalOutcomes
	if enough || c.env.now >= c.intervalEnd+intervalExtension {
		c.endInterval((c.env.now - c.intervalEnd + controlInterval).Seconds())
		c.intervalEnd = c.env.now + controlInterval
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
