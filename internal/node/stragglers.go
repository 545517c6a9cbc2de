package node

import (
	"time"

	"sloestile/control"
	"sloestile/fleet/straggler"
)

// stragglerWatch detects stragglers: attempts that take far longer than usual. It is owned by the event loop.
type stragglerWatch struct {
	loop        *loop
	detector    *straggler.Detector[uint32]
	lastID      uint64        // last ID assigned to an attempt
	timerAt     time.Duration // time when the timer fires; zero means no timer
	onStraggler []func(server uint32)
	// onOutcome is called for attempts that were no stragglers and ended with OK or one of serverFailures. The latency
	// of a failed attempt is -1.
	onOutcome []func(server uint32, latency time.Duration)
}

// ensureStragglerWatch returns the loop's watch and creates it on the first call.
func (l *loop) ensureStragglerWatch() *stragglerWatch {
	if l.stragglers == nil {
		l.stragglers = &stragglerWatch{loop: l, detector: straggler.New[uint32]()}
	}
	return l.stragglers
}

// attemptStarted starts to watch an attempt and returns its ID.
func (w *stragglerWatch) attemptStarted(server uint32) uint64 {
	w.lastID++
	w.detector.AttemptStarted(w.loop.now(), w.lastID, server)
	w.scheduleCheck()
	return w.lastID
}

// serverFailures contains the outcomes that count against a server. Overloaded is not one of them, as an overloaded
// server reports its load, and neither is Cancelled, as the node canceled the attempt itself.
var serverFailures = map[control.Outcome]bool{control.Errored: true, control.TimedOut: true, control.ConnectFailed: true, control.ResetByPeer: true}

// attemptEnded records the outcome of an attempt and calls the callbacks.
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

// notifyStraggler calls the callbacks for a straggler.
func (w *stragglerWatch) notifyStraggler(server uint32) {
	for _, f := range w.onStraggler {
		f(server)
	}
}

// scheduleCheck starts a timer that calls check when the next attempt becomes a straggler.
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

// check reports the attempts that have become stragglers.
func (w *stragglerWatch) check() {
	w.timerAt = 0
	for _, server := range w.detector.Stragglers(w.loop.now()) {
		w.notifyStraggler(server)
	}
	w.scheduleCheck()
}
