package discovery

import "time"

// Timeouts and delays of a watch. The contract with discovery counts an update that a node has missed as received
// progressTimeout after the last update or heartbeat.
const (
	progressTimeout = 6 * time.Second // time from the last update or heartbeat to the progress deadline
	moveTimeout     = 4 * time.Second // time from a change of address to the progress deadline
	stallTimeout    = 3 * time.Second // time without a heartbeat after which a watch is stalled; they come every 2 s

	answerTimeout     = 1500 * time.Millisecond // before the deadline, time without an answer until a parallel call
	lateAnswerTimeout = 3 * time.Second         // the same time after the deadline, and the dial timeout

	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond // maximum backoff in a fleet of fewer than minSpreadNodes

	minSpreadNodes  = 8                      // fleet size from which the nodes' calls are spread over time
	callTimePerNode = 100 * time.Millisecond // time reserved at discovery for one call of each node of such a fleet
	maxSpread       = 4 * time.Second
	minCallInterval = time.Second            // interval of each node's calls before the deadline in such a fleet
	callSpread      = 750 * time.Millisecond // part of minCallInterval in which calls start; the rest is for answers
	maxFirstDelay   = time.Second            // maximum delay before the first call of a new process
)

// pace computes when discovery is called. It does not read the clock. Stalls, delays and answers share one time budget,
// which ends at the deadline: see "One clock for the list" in docs/design.md.
type pace struct {
	fleetSize  int           // number of nodes that share discovery
	drainGrace time.Duration // time for which requests may still be sent to a draining server
	// jitter returns a random duration from 0 to limit.
	jitter func(limit time.Duration) time.Duration

	deadline    time.Time     // progress deadline at the current address
	staleAt     time.Time     // time at which missed updates count as received; a move may advance but not defer it
	nextBackoff time.Duration // next backoff; 0 restarts it
}

// spread returns the time over which the nodes of the fleet spread one call each. 0 means no spread.
func (p *pace) spread() time.Duration {
	if p.fleetSize < minSpreadNodes {
		return 0
	}
	return min(time.Duration(p.fleetSize)*callTimePerNode, maxSpread)
}

// recordProgress records an update or a heartbeat.
func (p *pace) recordProgress(now time.Time) {
	p.deadline, p.nextBackoff = now.Add(progressTimeout), 0
	p.staleAt = p.deadline
}

// recordMove records a change of discovery's address.
func (p *pace) recordMove(now time.Time) {
	p.deadline, p.nextBackoff = now.Add(moveTimeout), 0
	if p.deadline.Before(p.staleAt) {
		p.staleAt = p.deadline
	}
}

// firstDelay returns the delay of a new process with a cached list before its first call. An update that it would have
// received by a call at its start counts as received then.
func (p *pace) firstDelay() time.Duration {
	return p.jitter(min(p.spread(), maxFirstDelay, p.drainGrace/2))
}

// stallDelay returns the time without progress after which the watch counts as stalled and another one is opened.
func (p *pace) stallDelay() time.Duration {
	return stallTimeout + p.jitter(min(p.spread(), callSpread))
}

// parallelCallDelay returns the time for which a call may stay unanswered before another one is made in parallel.
func (p *pace) parallelCallDelay(now time.Time) time.Duration {
	if p.deadline.Sub(now) > answerTimeout {
		return answerTimeout
	}
	return lateAnswerTimeout + p.jitter(p.spread())
}

// reconnectDelay returns the delay before the call that follows the end of a working watch or a timed-out call. Updates
// that discovery has by then count as received at once, so the delay is a small part of the drain grace.
func (p *pace) reconnectDelay() time.Duration {
	maxDelay := max(initialBackoff, min(p.spread()/8, p.drainGrace/4))
	return maxDelay/4 + p.jitter(maxDelay*3/4)
}

// retryDelay returns the delay after a call without a usable update. Updates that discovery has at the end of the call
// count as received at once, so before the deadline the delay is also a part of the drain grace.
func (p *pace) retryDelay(now time.Time) time.Duration {
	minDelay, maxDelay := initialBackoff, max(initialBackoff, min(maxBackoff, p.drainGrace/4))
	if spread := p.spread(); spread > 0 {
		// The last calls that start before the deadline leave time for their answers.
		remaining, interval := p.deadline.Sub(now), max(initialBackoff, min(minCallInterval, p.drainGrace/2))
		if wholeIntervals := (remaining - 1).Truncate(interval); wholeIntervals >= interval {
			return remaining - wholeIntervals + p.jitter(interval*callSpread/minCallInterval)
		}
		minDelay, maxDelay = max(minDelay, spread/2), max(maxDelay, 2*spread)
	}
	if p.nextBackoff == 0 {
		p.nextBackoff = minDelay
	}
	delay := p.nextBackoff/4 + p.jitter(p.nextBackoff*3/4)
	p.nextBackoff = min(2*p.nextBackoff, maxDelay)
	return delay
}
