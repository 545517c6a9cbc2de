package node

import (
	"time"

	"sloestile/control"
	"sloestile/fleet/straggler"
)

// watching tells those who ask of attempts that take far longer than is usual. It belongs to the loop.
type stragglerWatch struct {
	loop    *loop
	watch   *straggler.Watch[uint32]
	lastID  uint64        // number of an attempt
	timerAt time.Duration // when the timer rings; zero is not
	onLate  []func(server uint32)
	// Told of attempts that were not late: took is below zero for one that failed.
	onOutcome []func(server uint32, took time.Duration)
}

// watch gives the loop's watch, which is made when it is first asked for.
func (l *loop) stragglerWatch() *stragglerWatch {
	if l.stragglers == nil {
		l.stragglers = &stragglerWatch{loop: l, watch: straggler.New[uint32]()}
	}
	return l.stragglers
}

// began watches an attempt and gives its number.
func (w *stragglerWatch) began(server uint32) uint64 {
	w.lastID++
	w.watch.Began(w.loop.now(), w.lastID, server)
	w.scheduleCheck()
	return w.lastID
}

// failing are the ends that speak against a server. One that is full speaks of its load; one that was
// called off says nothing.
var serverFailures = map[control.Outcome]bool{control.Errored: true, control.TimedOut: true, control.ConnectFailed: true, control.ResetByPeer: true}

// ended takes how an attempt ended.
func (w *stragglerWatch) ended(number uint64, how control.Outcome) {
	server, took, late, ok := w.watch.Ended(w.loop.now(), number, how == control.OK)
	switch {
	case !ok:
	case late:
		w.notifyLate(server)
	case how == control.OK:
		for _, f := range w.onOutcome {
			f(server, took)
		}
	case serverFailures[how]:
		for _, f := range w.onOutcome {
			f(server, -1)
		}
	}
}

func (w *stragglerWatch) notifyLate(server uint32) {
	for _, f := range w.onLate {
		f(server)
	}
}

// arm has look called when the oldest attempt becomes late.
func (w *stragglerWatch) scheduleCheck() {
	when, ok := w.watch.Next()
	if !ok || w.timerAt != 0 && w.timerAt <= when {
		return
	}
	w.timerAt = when
	time.AfterFunc(max(0, when-w.loop.now()), func() {
		w.loop.post(func() {
			if w.timerAt == when {
				w.check()
			}
		})
	})
}

func (w *stragglerWatch) check() {
	w.timerAt = 0
	for _, server := range w.watch.Late(w.loop.now()) {
		w.notifyLate(server)
	}
	w.scheduleCheck()
}
