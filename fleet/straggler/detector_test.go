package straggler

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// usual is a watch that has seen 20 answers of 0.1 s.
func newWarmDetector() *Detector[string] {
	detector := New[string]()
	for n := range uint64(20) {
		detector.AttemptStarted(0, n, "a")
		detector.AttemptEnded(100*ms, n, true)
	}
	return detector
}

// An attempt is told late once, when it is, whether it ends or not; one that ends in time never.
func TestStragglerIsReportedOnce(t *testing.T) {
	detector := New[string]()
	if detector.AttemptStarted(0, 1, "x"); len(detector.Stragglers(time.Hour)) > 0 {
		t.Error("late before anything is known of what is usual")
	}
	detector = newWarmDetector()
	detector.AttemptStarted(time.Second, 100, "slow")
	detector.AttemptStarted(time.Second+50*ms, 101, "fast")
	detector.AttemptEnded(time.Second+150*ms, 101, true)
	if when, ok := detector.NextCheck(); !ok || when != time.Second+300*ms {
		t.Errorf("next at %v, %v", when, ok)
	}
	if got := detector.Stragglers(time.Second + 299*ms); len(got) > 0 {
		t.Errorf("early: %v", got)
	}
	if got := detector.Stragglers(time.Second + 300*ms); len(got) != 1 || got[0] != "slow" {
		t.Errorf("late: %v", got)
	}
	if got := detector.Stragglers(time.Second + 400*ms); len(got) > 0 {
		t.Errorf("told again: %v", got)
	}
	if server, elapsed, isStraggler, ok := detector.AttemptEnded(time.Second+900*ms, 100, true); server != "slow" || elapsed != 900*ms || isStraggler || !ok {
		t.Errorf("ended: %v %v %v %v", server, elapsed, isStraggler, ok)
	}
	detector.AttemptStarted(2*time.Second, 102, "slow")
	if _, _, isStraggler, _ := detector.AttemptEnded(2*time.Second+500*ms, 102, false); !isStraggler {
		t.Error("one that ended late before it was looked for is not told")
	}
	if _, ok := detector.NextCheck(); ok {
		t.Error("something is out")
	}
}

// What is remembered is bounded, whatever comes.
func TestWatchedAttemptsAreBounded(t *testing.T) {
	detector := newWarmDetector()
	for n := range uint64(3 * maxAttempts) {
		detector.AttemptStarted(time.Second, 100+n, "a")
	}
	if len(detector.running) > maxAttempts || len(detector.order) > maxAttempts {
		t.Errorf("%d attempts, %d in order", len(detector.running), len(detector.order))
	}
	for n := range uint64(10 * maxAttempts) {
		detector.AttemptEnded(time.Second, 100+n, false)
		detector.AttemptStarted(time.Second, 1e6+n, "a")
		detector.AttemptEnded(time.Second, 1e6+n, false)
	}
	if len(detector.running) > 0 || len(detector.order) > 0 {
		t.Errorf("%d attempts, %d in order, all have ended", len(detector.running), len(detector.order))
	}
}
