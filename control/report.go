package control

import (
	"fmt"
	"time"
)

// reportInterval is the interval at which the counts of outcomes are written to the operators' log.
const reportInterval = 5 * time.Second

// rejectionCounts counts the reasons for which requests were rejected since the last line of the operators'
// log. Without them a rejection for lack of a dispatch slot could not be distinguished from one for lack of
// quota.
type rejectionCounts struct {
	requests int // requests that admission decided on
	late     int // rejected: the response could only be late, or the class has a low priority
	bucket   int // rejected: the tenant's token bucket or ceiling lacks tokens
	chance   int // rejected by the rejection chance
	queue    int // ended: not dispatched in time
	failed   int // ended: an attempt failed and no retry was allowed
	cuts     int // cuts of the in-flight bound
}

// report writes the counts as one log line and resets them.
func (c *Controller) report() {
	const precision = time.Millisecond / 10
	c.nextReportAt = c.env.now + reportInterval
	n := c.counts
	rejected := fmt.Sprintf("asked=%d late=%d store=%d chance=%d queue=%d ended=%d",
		n.requests, n.late, n.bucket, n.chance, n.queue, n.failed)
	limit := fmt.Sprintf("cuts=%d bound=%.1f inflight=%d", n.cuts, c.concurrency.bound, c.concurrency.inFlight)
	latency := seconds(c.traffic.latency).Round(precision)
	idle := seconds(c.traffic.idleLatency).Round(precision)
	averages := fmt.Sprintf("latency=%v idle=%v retries=%.1f", latency, idle, c.retries.budget)
	c.env.emit(LogLine{Text: rejected + " " + limit + " " + averages})
	c.counts = rejectionCounts{}
}
