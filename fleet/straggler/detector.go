// Package straggler detects stragglers: attempts that take far longer than usual. It detects them while they are still
// running, because a server that does not respond, or responds ten times more slowly, would otherwise be noticed late.
// The caller reports each attempt with Detector.AttemptStarted and Detector.AttemptEnded, and calls
// Detector.Stragglers at the time that Detector.NextCheck returns. The package has no clock, socket or goroutine.
package straggler

import (
	"math"
	"time"
)

const (
	thresholdFactor = 3.0 // multiple of the mean response time from which an attempt is a straggler
	// minThreshold is the minimum duration from which an attempt is a straggler. Shorter delays may be due to a pause
	// of the node itself.
	minThreshold  = 100 * time.Millisecond
	minMeanWeight = 0.05 // weight of a new response in the moving mean; the first 20 weigh equally
	minResponses  = 10   // number of responses before which the mean is not used
	maxAttempts   = 4096 // number of attempts that are observed at the same time
)

// Detector observes the running attempts of a node, each with a number and a server of type S. It is not safe for
// concurrent use.
type Detector[S any] struct {
	meanSeconds, responses float64               // mean response time in s, and number of responses
	running                map[uint64]attempt[S] // observed attempts that have not ended, by number
	order                  []uint64              // numbers of attempts not yet reported, by start; may include ended ones
}

// attempt is a running attempt.
type attempt[S any] struct {
	server    S
	startedAt time.Duration
	reported  bool // whether Stragglers has returned the attempt
}

// New returns a detector without attempts.
func New[S any]() *Detector[S] { return &Detector[S]{running: make(map[uint64]attempt[S])} }

// Threshold returns the duration from which an attempt is a straggler; ok is false until minResponses responses have
// been received.
func (d *Detector[S]) Threshold() (threshold time.Duration, ok bool) {
	if d.responses < minResponses {
		return 0, false
	}
	return max(minThreshold, time.Duration(thresholdFactor*d.meanSeconds*float64(time.Second))), true
}

// AttemptStarted records the start of an attempt. Numbers must not repeat. While maxAttempts attempts are running,
// further ones are not observed.
func (d *Detector[S]) AttemptStarted(now time.Duration, number uint64, server S) {
	if len(d.running) < maxAttempts {
		d.running[number] = attempt[S]{server: server, startedAt: now}
		d.order = append(d.order, number)
	}
}

// AttemptEnded records the end of an attempt; its duration counts as a response time if responded is true. It returns
// the server and duration of the attempt, and whether it is a straggler that Stragglers has not returned. ok is false
// if the attempt was not observed.
func (d *Detector[S]) AttemptEnded(now time.Duration, number uint64, responded bool) (server S, elapsed time.Duration, isStraggler, ok bool) {
	a, ok := d.running[number]
	if !ok {
		return server, 0, false, false
	}
	delete(d.running, number)
	d.trim()
	elapsed = now - a.startedAt
	threshold, known := d.Threshold()
	isStraggler = known && elapsed > threshold && !a.reported
	if responded {
		d.responses++
		seconds := elapsed.Seconds()
		if known { // so that one slow server changes the mean by little
			seconds = math.Min(seconds, threshold.Seconds())
		}
		d.meanSeconds += math.Max(minMeanWeight, 1/d.responses) * (seconds - d.meanSeconds)
	}
	return a.server, elapsed, isStraggler, true
}

// trim removes ended attempts from the head of the order.
func (d *Detector[S]) trim() {
	for len(d.order) > 0 {
		if _, isRunning := d.running[d.order[0]]; isRunning {
			return
		}
		d.order = d.order[1:]
	}
}

// Stragglers returns the servers of the running attempts that have become stragglers since the last call.
func (d *Detector[S]) Stragglers(now time.Duration) (servers []S) {
	threshold, ok := d.Threshold()
	for ok && len(d.order) > 0 {
		a := d.running[d.order[0]]
		if now < a.startedAt+threshold {
			break
		}
		a.reported = true
		d.running[d.order[0]] = a
		d.order = d.order[1:]
		d.trim()
		servers = append(servers, a.server)
	}
	return servers
}

// NextCheck returns the time at which Stragglers is to be called next; ok is false if there is no attempt to check.
func (d *Detector[S]) NextCheck() (when time.Duration, ok bool) {
	threshold, ok := d.Threshold()
	if !ok || len(d.order) == 0 {
		return 0, false
	}
	return d.running[d.order[0]].startedAt + threshold, true
}
