package discovery

import "time"

// Deadlines and delays of a watch. What a node could have received counts as received progressDeadline after the last
// update or heartbeat.
const (
	progressTimeout = 6 * time.Second // after the last update or heartbeat
	moveTimeout     = 4 * time.Second // after a change of address, for what the new address has
	stallTimeout    = 3 * time.Second // without a heartbeat, which come every 2 s: the watch is stalled

	answerTimeout     = 1500 * time.Millisecond // of a call before the deadline: then another one is made beside it
	lateAnswerTimeout = 3 * time.Second         // of a call after the deadline

	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond // of a small fleet

	minSpreadNodes  = 8                      // nodes of a fleet from which calls are spread
	callTimePerNode = 100 * time.Millisecond // of discovery's time for each node of such a fleet
	maxSpread       = 4 * time.Second
	minCallInterval = time.Second            // least interval of each node's calls before the deadline in such a fleet
	callSpread      = 750 * time.Millisecond // part of the interval over which calls spread; the rest is for answers
	maxFirstDelay   = time.Second            // before the first call of a new process
)

// pace computes when discovery is called. It has no clock of its own. Stalls, delays and answers come out of one budget,
// which ends at the deadline: see "One clock for the list" in docs/design.md.
type pace struct {
	fleetSize  int           // nodes that share discovery
	drainGrace time.Duration // for sends to a server that is told to drain
	jitter     func(limit time.Duration) time.Duration

	deadline    time.Time     // the watch progress deadline: what is missed now counts as received then
	receivedBy  time.Time     // the same for what any address had since the last progress: no move defers it
	nextBackoff time.Duration // the next pause that doubles
}

// spread is how long discovery may take for one call of each node of the group.
func (p *pace) spread() time.Duration {
	if p.fleetSize < minSpreadNodes {
		return 0
	}
	return min(time.Duration(p.fleetSize)*callTimePerNode, maxSpread)
}

// progress takes an update or a heartbeat.
func (p *pace) recordProgress(now time.Time) {
	p.deadline, p.nextBackoff = now.Add(progressTimeout), 0
	p.receivedBy = p.deadline
}

// moved takes a change of address.
func (p *pace) recordMove(now time.Time) {
	p.deadline, p.nextBackoff = now.Add(moveTimeout), 0
	if p.deadline.Before(p.receivedBy) {
		p.receivedBy = p.deadline
	}
}

// firstDelay returns how long a new process with a cached list waits. What it would have received, had it called at its
// start, counts as received then.
func (p *pace) firstDelay() time.Duration {
	return p.jitter(min(p.spread(), maxFirstDelay, p.drainGrace/2))
}

// stallDelay returns how long after progress the watch counts as stalled and another one is opened.
func (p *pace) stallDelay() time.Duration {
	return stallTimeout + p.jitter(min(p.spread(), callSpread))
}

// parallelCallDelay returns how long a call may stay unanswered before another one is made beside it.
func (p *pace) parallelCallDelay(now time.Time) time.Duration {
	if p.deadline.Sub(now) > answerTimeout {
		return answerTimeout
	}
	return lateAnswerTimeout + p.jitter(p.spread())
}

// reconnectDelay returns the delay after the end of a watch that was answered. What discovery has counts as received at
// once, so the delay is a small part of the grace.
func (p *pace) reconnectDelay() time.Duration {
	maxDelay := max(initialBackoff, min(p.spread()/8, p.drainGrace/4))
	return maxDelay/4 + p.jitter(maxDelay*3/4)
}

// retryDelay returns the delay after a call without a usable update. What discovery has by its end counts as received at
// once, so within the budget the delay is a part of the grace too.
func (p *pace) retryDelay(now time.Time) time.Duration {
	minDelay, maxDelay := initialBackoff, max(initialBackoff, min(maxBackoff, p.drainGrace/4))
	if spread := p.spread(); spread > 0 {
		// The last calls that start before the deadline leave time for their answers.
		remaining, interval := p.deadline.Sub(now), max(initialBackoff, min(minCallInterval, p.drainGrace/2))
		if callTime := (remaining - 1).Truncate(interval); callTime >= interval {
			return remaining - callTime + p.jitter(interval*callSpread/minCallInterval)
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
