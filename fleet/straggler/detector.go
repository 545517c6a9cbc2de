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
	times        = 3.0                    // the mean answer, beyond which an attempt is late
	least        = 100 * time.Millisecond // and the least: below it a pause of the node itself looks the same
	gain         = 0.05                   // of the mean answer
	answersLeast = 10                     // before it is known
	most         = 4096                   // attempts out at once that are watched
)

// Detector is what is known of the attempts that are out, by their numbers, each at a server.
type Detector[S any] struct {
	mean, seen float64 // s, of answers; and their number
	out        map[uint64]attempt[S]
	order      []uint64 // of out, by their start; those that ended are skipped
}

type attempt[S any] struct {
	server S
	began  time.Duration
	late   bool
}

// New makes a watch.
func New[S any]() *Detector[S] { return &Detector[S]{out: make(map[uint64]attempt[S])} }

// Threshold is how long an attempt may take; ok is false until enough answers are seen.
func (w *Detector[S]) Threshold() (limit time.Duration, ok bool) {
	if w.seen < answersLeast {
		return 0, false
	}
	return max(least, time.Duration(times*w.mean*float64(time.Second))), true
}

// AttemptStarted takes that an attempt goes out. Beyond so many at once it is not watched.
func (w *Detector[S]) AttemptStarted(now time.Duration, number uint64, server S) {
	if len(w.out) < most {
		w.out[number] = attempt[S]{server: server, began: now}
		w.order = append(w.order, number)
	}
}

// AttemptEnded takes how an attempt ended: answered is that it brought an answer. It gives its server and
// how long it took, and whether it was late and Stragglers has not told so; ok is false for one that was
// not watched.
func (w *Detector[S]) AttemptEnded(now time.Duration, number uint64, answered bool) (server S, took time.Duration, late, ok bool) {
	a, ok := w.out[number]
	if !ok {
		return server, 0, false, false
	}
	delete(w.out, number)
	w.trim()
	took = now - a.began
	limit, known := w.Threshold()
	late = known && took > limit && !a.late
	if answered {
		w.seen++
		s := took.Seconds()
		if known { // one slow server does not move what is usual by much
			s = math.Min(s, limit.Seconds())
		}
		w.mean += math.Max(gain, 1/w.seen) * (s - w.mean)
	}
	return a.server, took, late, true
}

// trim drops those at the head that have ended.
func (w *Detector[S]) trim() {
	for len(w.order) > 0 {
		if _, out := w.out[w.order[0]]; out {
			return
		}
		w.order = w.order[1:]
	}
}

// Stragglers gives the servers of attempts that have become late, each attempt once.
func (w *Detector[S]) Stragglers(now time.Duration) (servers []S) {
	limit, ok := w.Threshold()
	for ok && len(w.order) > 0 {
		a := w.out[w.order[0]]
		if now < a.began+limit {
			break
		}
		a.late = true
		w.out[w.order[0]] = a
		w.order = w.order[1:]
		w.trim()
		servers = append(servers, a.server)
	}
	return servers
}

// NextCheck gives when Stragglers is to be asked next; ok is false where nothing is out.
func (w *Detector[S]) NextCheck() (when time.Duration, ok bool) {
	limit, ok := w.Threshold()
	if !ok || len(w.order) == 0 {
		return 0, false
	}
	return w.out[w.order[0]].began + limit, true
}
