// Package straggler tells attempts that take far longer than is usual, when they do and not when they
// end: a server that is silent, or ten times slower, says nothing by its answers for as long. It
// has no clock, no socket and no goroutine.
package straggler

import (
	"math"
	"time"
)

// Figures, each with its reason.
const (
	thresholdFactor = 3.0                    // the mean answer, beyond which an attempt is late
	minThreshold    = 100 * time.Millisecond // and the least: below it a pause of the node itself looks the same
	minMeanWeight   = 0.05                   // of the mean answer
	minAnswers      = 10                     // before it is known
	maxAttempts     = 4096                   // attempts out at once that are watched
)

// Detector is what is known of the attempts that are out, by their numbers, each at a server.
type Detector[S any] struct {
	meanSeconds, answers float64 // s, of answers; and their number
	running              map[uint64]attempt[S]
	order                []uint64 // of out, by their start; those that ended are skipped
}

type attempt[S any] struct {
	server    S
	startedAt time.Duration
	reported  bool
}

// New makes a watch.
func New[S any]() *Detector[S] { return &Detector[S]{running: make(map[uint64]attempt[S])} }

// Threshold is how long an attempt may take; ok is false until enough answers are seen.
func (d *Detector[S]) Threshold() (threshold time.Duration, ok bool) {
	if d.answers < minAnswers {
		return 0, false
	}
	return max(minThreshold, time.Duration(thresholdFactor*d.meanSeconds*float64(time.Second))), true
}

// AttemptStarted takes that an attempt goes out. Beyond so many at once it is not watched.
func (d *Detector[S]) AttemptStarted(now time.Duration, number uint64, server S) {
	if len(d.running) < maxAttempts {
		d.running[number] = attempt[S]{server: server, startedAt: now}
		d.order = append(d.order, number)
	}
}

// AttemptEnded takes how an attempt ended: answered is that it brought an answer. It gives its server and
// how long it took, and whether it was late and Stragglers has not told so; ok is false for one that was
// not watched.
func (d *Detector[S]) AttemptEnded(now time.Duration, number uint64, answered bool) (server S, elapsed time.Duration, isStraggler, ok bool) {
	a, ok := d.running[number]
	if !ok {
		return server, 0, false, false
	}
	delete(d.running, number)
	d.trim()
	elapsed = now - a.startedAt
	threshold, known := d.Threshold()
	isStraggler = known && elapsed > threshold && !a.reported
	if answered {
		d.answers++
		seconds := elapsed.Seconds()
		if known { // one slow server does not move what is usual by much
			seconds = math.Min(seconds, threshold.Seconds())
		}
		d.meanSeconds += math.Max(minMeanWeight, 1/d.answers) * (seconds - d.meanSeconds)
	}
	return a.server, elapsed, isStraggler, true
}

// trim drops those at the head that have ended.
func (d *Detector[S]) trim() {
	for len(d.order) > 0 {
		if _, isRunning := d.running[d.order[0]]; isRunning {
			return
		}
		d.order = d.order[1:]
	}
}

// Stragglers gives the servers of attempts that have become late, each attempt once.
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

// NextCheck gives when Stragglers is to be asked next; ok is false where nothing is out.
func (d *Detector[S]) NextCheck() (when time.Duration, ok bool) {
	threshold, ok := d.Threshold()
	if !ok || len(d.order) == 0 {
		return 0, false
	}
	return d.running[d.order[0]].startedAt + threshold, true
}
