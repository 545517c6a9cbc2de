package straggler

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// usual is a watch that has seen 20 answers of 0.1 s.
func usual() *Detector[string] {
	w := New[string]()
	for n := range uint64(20) {
		w.AttemptStarted(0, n, "a")
		w.AttemptEnded(100*ms, n, true)
	}
	return w
}

// An attempt is told late once, when it is, whether it ends or not; one that ends in time never.
func TestLateIsToldOnce(t *testing.T) {
	w := New[string]()
	if w.AttemptStarted(0, 1, "x"); len(w.Stragglers(time.Hour)) > 0 {
		t.Error("late before anything is known of what is usual")
	}
	w = usual()
	w.AttemptStarted(time.Second, 100, "slow")
	w.AttemptStarted(time.Second+50*ms, 101, "fast")
	w.AttemptEnded(time.Second+150*ms, 101, true)
	if when, ok := w.NextCheck(); !ok || when != time.Second+300*ms {
		t.Errorf("next at %v, %v", when, ok)
	}
	if got := w.Stragglers(time.Second + 299*ms); len(got) > 0 {
		t.Errorf("early: %v", got)
	}
	if got := w.Stragglers(time.Second + 300*ms); len(got) != 1 || got[0] != "slow" {
		t.Errorf("late: %v", got)
	}
	if got := w.Stragglers(time.Second + 400*ms); len(got) > 0 {
		t.Errorf("told again: %v", got)
	}
	if s, took, late, ok := w.AttemptEnded(time.Second+900*ms, 100, true); s != "slow" || took != 900*ms || late || !ok {
		t.Errorf("ended: %v %v %v %v", s, took, late, ok)
	}
	w.AttemptStarted(2*time.Second, 102, "slow")
	if _, _, late, _ := w.AttemptEnded(2*time.Second+500*ms, 102, false); !late {
		t.Error("one that ended late before it was looked for is not told")
	}
	if _, ok := w.NextCheck(); ok {
		t.Error("something is out")
	}
}

// What is remembered is bounded, whatever comes.
func TestBounded(t *testing.T) {
	w := usual()
	for n := range uint64(3 * most) {
		w.AttemptStarted(time.Second, 100+n, "a")
	}
	if len(w.out) > most || len(w.order) > most {
		t.Errorf("%d attempts, %d in order", len(w.out), len(w.order))
	}
	for n := range uint64(10 * most) {
		w.AttemptEnded(time.Second, 100+n, false)
		w.AttemptStarted(time.Second, 1e6+n, "a")
		w.AttemptEnded(time.Second, 1e6+n, false)
	}
	if len(w.out) > 0 || len(w.order) > 0 {
		t.Errorf("%d attempts, %d in order, all have ended", len(w.out), len(w.order))
	}
}
