package node

import (
	"time"

	"sloestile/control"
	"sloestile/fleet/straggler"
)

// watching tells those who ask of attempts that take far longer than is usual. It belongs to the loop.
type watching struct {
	loop  *loop
	w     *straggler.Watch[uint32]
	last  uint64        // number of an attempt
	armed time.Duration // when the timer rings; zero is not
	late  []func(server uint32)
	// Told of attempts that were not late: took is below zero for one that failed.
	fared []func(server uint32, took time.Duration)
}

// watch gives the loop's watch, which is made when it is first asked for.
func (l *loop) watch() *watching {
	if l.watching == nil {
		l.watching = &watching{loop: l, w: straggler.New[uint32]()}
	}
	return l.watching
}

// began watches an attempt and gives its number.
func (w *watching) began(server uint32) uint64 {
	w.last++
	w.w.Began(w.loop.now(), w.last, server)
	w.arm()
	return w.last
}

// failing are the ends that speak against a server. One that is full speaks of its load; one that was
// called off says nothing.
var failing = map[control.Outcome]bool{control.Errored: true, control.TimedOut: true, control.ConnectFailed: true, control.ResetByPeer: true}

// ended takes how an attempt ended.
func (w *watching) ended(number uint64, how control.Outcome) {
	server, took, late, ok := w.w.Ended(w.loop.now(), number, how == control.OK)
	switch {
	case !ok:
	case late:
		w.tell(server)
	case how == control.OK:
		for _, f := range w.fared {
			f(server, took)
		}
	case failing[how]:
		for _, f := range w.fared {
			f(server, -1)
		}
	}
}

func (w *watching) tell(server uint32) {
	for _, f := range w.late {
		f(server)
	}
}

// arm has look called when the oldest attempt becomes late.
func (w *watching) arm() {
	when, ok := w.w.Next()
	if !ok || w.armed != 0 && w.armed <= when {
		return
	}
	w.armed = when
	time.AfterFunc(max(0, when-w.loop.now()), func() {
		w.loop.post(func() {
			if w.armed == when {
				w.look()
			}
		})
	})
}

func (w *watching) look() {
	w.armed = 0
	for _, server := range w.w.Late(w.loop.now()) {
		w.tell(server)
	}
	w.arm()
}
