package refbucket

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// Whatever is asked, what a store grants inside the quota over any span from its start is at most
// its depth and its rate times the span; what is beyond takes nothing.
func TestStoreGrantsNoMoreThanItsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{Rate: rapid.Float64Range(0.1, 50).Draw(t, "rate"), Burst: rapid.Float64Range(1, 100).Draw(t, "depth")}
		l := New([]Quota{q}, time.Second, 0)
		now, granted := time.Duration(0), 0.0
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			units := float64(rapid.IntRange(1, 8).Draw(t, "units"))
			room := l.Room(0, now) * q.Burst
			inside := l.Take(0, units, now)
			if inside != (room >= units) {
				t.Fatalf("%g units of %g left: inside %v", units, room, inside)
			}
			if inside {
				granted += units
			}
			if most := q.Burst + q.Rate*now.Seconds() + 1e-6; granted > most {
				t.Fatalf("granted %g by %v, %g are in the quota", granted, now, most)
			}
		}
	})
}

// The meter tells the use of the last period that it has added up, and not before.
func TestMeterIsLate(t *testing.T) {
	l := New([]Quota{{Rate: 10, Burst: 100}}, time.Second, 500*time.Millisecond)
	l.Take(0, 5, 200*time.Millisecond)
	l.Take(0, 8, 1200*time.Millisecond)
	for at, want := range map[time.Duration]int{1600 * time.Millisecond: 50, 2400 * time.Millisecond: 50, 2600 * time.Millisecond: 80, 3600 * time.Millisecond: 0} {
		if got, ok := l.Used(0, at); !ok || got != want {
			t.Errorf("at %v: %d%%, %v, wanted %d%%", at, got, ok, want)
		}
	}
	if _, ok := l.Used(0, 1400*time.Millisecond); ok {
		t.Error("a period is told before it is late enough")
	}
}
