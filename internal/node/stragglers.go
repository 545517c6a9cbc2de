package node

import (
	"time"

	"sloestile/control"
	"sloestile/fleet/straggler"
)

// stragglerWatch notices attempts that take far longer than usual. It is owned by the event loop.
type stragglerWatch struct {
	loop        *loop
	detector    *straggler.Detector[uint32]
	lastID      uint64        // number given to an attempt
	timerAt     time.Duration // when the timer fires; zero is no timer
	onStraggler []func(server uint32)
	// onOutcome is called for attempts that ended and were not late; took is below zero for one that failed.
	onOutcome []func(server uint32, took time.Duration)
}

// stragglerWatch returns the loop's watch and makes it at the first call.
func (l *loop) ensureStragglerWatch() *stragglerWatch {
	if l.stragglers == nil {
		l.stragglers = &stragglerWatch{loop: l, detector: straggler.New[uint32]()}
	}
	return l.stragglers
}

// began starts to watch an attempt and returns its number.
func (w *stragglerWatch) attemptStarted(server uint32) uint64 {
	w.lastID++
	w.detector.AttemptStarted(w.loop.now(), w.lastID, server)
	w.scheduleCheck()
	return w.lastID
}

// serverFailures are the outcomes that count against a server. An overloaded server reports its load, and a cancelled
// attempt says nothing.
var serverFailures = map[control.Outcome]bool{control.Errored: true, control.TimedOut: true, control.ConnectFailed: true, control.ResetByPeer: true}

// ended takes the outcome of an attempt.
func (w *stragglerWatch) attemptEnded(id uint64, result control.Outcome) {
	server, latency, straggled, ok := w.detector.AttemptEnded(w.loop.now(), id, result == control.OK)
	switch {
	case !ok:
	case straggled:
		w.notifyStraggler(server)
	case result == control.OK:
		for _, f := range w.onOutcome {
			f(server, latency)
		}
	case serverFailures[result]:
		for _, f := range w.onOutcome {
			f(server, -1)
		}
	}
}

// notifyLate calls those that wait for late attempts.
func (w *stragglerWatch) notifyStraggler(server uint32) {
	for _, f := range w.onStraggler {
		f(server)
	}
}

// scheduleCheck has check called when the oldest attempt becomes late.
func (w *stragglerWatch) scheduleCheck() {
	at, ok := w.detector.NextCheck()
	if !ok || (w.timerAt != 0 && w.timerAt <= at) {
		return
	}
	w.timerAt = at
	time.AfterFunc(max(0, at-w.loop.now()), func() {
		w.loop.post(func() {
			if w.timerAt == at {
				w.check()
			}
		})
	})
}

// check notices the attempts that have become late.
func (w *stragglerWatch) check() {
	w.timerAt = 0
	for _, server := range w.detector.Stragglers(w.loop.now()) {
		w.notifyStraggler(server)
	}
	w.scheduleCheck()
}
