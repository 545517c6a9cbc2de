package control

import (
	"fmt"
	"time"
)

// reportInterval is how often the outcomes of requests go to the operators' log.
const reportInterval = 5 * time.Second

// rejectionCounts counts, between two lines of the operators' log, why requests were rejected. Without it a
// rejection for want of a dispatch slot looks like one for want of quota.
type rejectionCounts struct {
	requests int // that admission decided on
	late     int // rejected: could only be answered late, or yield to others
	bucket   int // rejected: the tenant's token bucket is empty
	chance   int // rejected by the metered rejection chance
	queue    int // ended: not dispatched in time
	failed   int // ended: an attempt failed and no retry was allowed
	cuts     int // of the in-flight bound
}

// report writes the counts as one line and starts them anew.
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
