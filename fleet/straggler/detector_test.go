package straggler

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// newWarmDetector returns a detector that has observed 20 responses of 0.1 s.
func newWarmDetector() *Detector[string] {
	detector := New[string]()
	for n := range uint64(20) {
		detector.AttemptStarted(0, n, "a")
		detector.AttemptEnded(100*ms, n, true)
	}
	return detector
}

// TestStragglerIsReportedOnce guards against a straggler that is missed or reported twice: it must be reported once,
// while it runs or when it ends. Attempts that end in time must not be reported.
func TestStragglerIsReportedOnce(t *testing.T) {
	detector := New[string]()
	if detector.AttemptStarted(0, 1, "x"); len(detector.Stragglers(time.Hour)) > 0 {
		t.Error("straggler reported before the first response")
	}
	detector = newWarmDetector()
	detector.AttemptStarted(time.Second, 100, "slow")
	detector.AttemptStarted(time.Second+50*ms, 101, "fast")
	detector.AttemptEnded(time.Second+150*ms, 101, true)
	if when, ok := detector.NextCheck(); !ok || when != time.Second+300*ms {
		t.Errorf("next check at %v, %v, want 1.3s", when, ok)
	}
	if got := detector.Stragglers(time.Second + 299*ms); len(got) > 0 {
		t.Errorf("stragglers %v before the threshold, want none", got)
	}
	if got := detector.Stragglers(time.Second + 300*ms); len(got) != 1 || got[0] != "slow" {
		t.Errorf("stragglers %v at the threshold, want the slow attempt", got)
	}
	if got := detector.Stragglers(time.Second + 400*ms); len(got) > 0 {
		t.Errorf("stragglers %v reported again", got)
	}
	if server, elapsed, isStraggler, ok := detector.AttemptEnded(time.Second+900*ms, 100, true); server != "slow" || elapsed != 900*ms || isStraggler || !ok {
		t.Errorf("end of a reported straggler: server %v, elapsed %v, straggler %v, ok %v", server, elapsed, isStraggler, ok)
	}
	detector.AttemptStarted(2*time.Second, 102, "slow")
	if _, _, isStraggler, _ := detector.AttemptEnded(2*time.Second+500*ms, 102, false); !isStraggler {
		t.Error("straggler that ended between two checks is not reported")
	}
	if _, ok := detector.NextCheck(); ok {
		t.Error("check scheduled without a running attempt")
	}
}

// TestObservedAttemptsAreBounded guards against unbounded state: at most maxAttempts attempts may be observed, and none
// after all have ended.
func TestObservedAttemptsAreBounded(t *testing.T) {
	detector := newWarmDetector()
	for n := range uint64(3 * maxAttempts) {
		detector.AttemptStarted(time.Second, 100+n, "a")
	}
	if len(detector.running) > maxAttempts || len(detector.order) > maxAttempts {
		t.Errorf("%d attempts, %d in order, want at most %d", len(detector.running), len(detector.order), maxAttempts)
	}
	for n := range uint64(10 * maxAttempts) {
		detector.AttemptEnded(time.Second, 100+n, false)
		detector.AttemptStarted(time.Second, 1e6+n, "a")
		detector.AttemptEnded(time.Second, 1e6+n, false)
	}
	if len(detector.running) > 0 || len(detector.order) > 0 {
		t.Errorf("%d attempts, %d in order after all have ended", len(detector.running), len(detector.order))
	}
}
