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
	rapid.Check(t, func(t *rapid.T) {
		if forgot := runCheckpoints(t, false); forgot != "" {
			t.Fatal(forgot)
		}
	})
	found := false
	rapid.Check(t, func(t *rapid.T) { found = found || runCheckpoints(t, true) != "" })
	if !found {
		t.Error("marks that count before they are on the disk are not found")
	}
}

// forgottenGrant tells what a recovery from the disk would give beyond the level, though the last grant was covered.
func forgottenGrant(disk []Checkpoint, l BucketState, wall time.Time) string {
	if len(disk) == 0 {
		return "a grant is covered by nothing on the disk"
	}
	since := wall.Sub(time.UnixMilli(disk[0].LevelAt)).Seconds()
	if left := min(l.Burst, disk[0].Level+l.Rate*since); left > l.Tokens+0.1 { // marks are told in ms
		return fmt.Sprintf("recovery gives %g, the store holds %g", left, l.Tokens)
	}
	return ""
}

// runCheckpoints draws grants, batches and writes, and tells the first grant that recovery would forget. Planted
// confirms each batch before it is written.
func runCheckpoints(t *rapid.T, planted bool) (forgot string) {
	m, l := NewCheckpoints(10), BucketState{Rate: rapid.Float64Range(0.1, 20).Draw(t, "rate"), Burst: 40, Nodes: 1, Tokens: 40}
	k, now, wall := TenantKey{"p", "c"}, time.Hour, time.UnixMilli(1e12)
	var disk, writing []Checkpoint
	covered := false
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		pause := time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
		now, wall = now+pause, wall.Add(pause)
		l.Tokens = min(l.Burst, l.Tokens+l.Rate*pause.Seconds())
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0, 1:
			l.Tokens -= float64(rapid.IntRange(1, 6).Draw(t, "units"))
			before := m.UncoveredGrants
			m.RecordGrant(k, l, now)
			covered = m.UncoveredGrants == before
		case 2:
			if b := m.NextBatch(now, wall); b != nil {
				writing = b
				if planted {
					m.BatchDone(true)
				}
			}
		case 3:
			if writing != nil {
				written := rapid.Bool().Draw(t, "written")
				if written {
					disk = writing
				}
				m.BatchDone(written)
				writing = nil
			}
		}
		if covered {
			if forgot := forgottenGrant(disk, l, wall); forgot != "" {
				return forgot
			}
		}
	}
	return ""
}
