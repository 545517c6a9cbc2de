package store

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// No grant is forgotten that was made under a mark on the disk: what a crash at any moment leaves
// gives no more than the store held, unless the last grant was counted as covered by none. Marks
// that count before they are on the disk are found.
func TestMarksCoverGrants(t *testing.T) {
	run := func(t *rapid.T, planted bool) (forgot string) {
		m, l := NewMarks(10), Level{Rate: rapid.Float64Range(0.1, 20).Draw(t, "rate"), Depth: 40, Spread: 1, Units: 40}
		k, now, wall := Key{"p", "c"}, time.Hour, time.UnixMilli(1e12)
		var disk, writing []Record
		covered := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			now, wall = now+pause, wall.Add(pause)
			l.Units = min(l.Depth, l.Units+l.Rate*pause.Seconds())
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				l.Units -= float64(rapid.IntRange(1, 6).Draw(t, "units"))
				before := m.Uncovered
				m.Grant(k, l, now)
				covered = m.Uncovered == before
			case 2:
				if b := m.Batch(now, wall); b != nil {
					writing = b
					if planted {
						m.Done(true)
					}
				}
			case 3:
				if writing != nil {
					if ok := rapid.Bool().Draw(t, "written"); ok {
						disk = writing
						m.Done(true)
					} else {
						m.Done(false)
					}
					writing = nil
				}
			}
			if covered && len(disk) == 0 {
				return "a grant is covered by nothing on the disk"
			}
			if covered {
				since := wall.Sub(time.UnixMilli(disk[0].At)).Seconds()
				if left := min(l.Depth, disk[0].Level+l.Rate*since); left > l.Units+0.1 { // marks are told in ms
					return fmt.Sprintf("recovery gives %g, the store holds %g", left, l.Units)
				}
			}
		}
		return ""
	}
	rapid.Check(t, func(t *rapid.T) {
		if forgot := run(t, false); forgot != "" {
			t.Fatal(forgot)
		}
	})
	found := false
	rapid.Check(t, func(t *rapid.T) { found = found || run(t, true) != "" })
	if !found {
		t.Error("marks that count before they are on the disk are not found")
	}
}
