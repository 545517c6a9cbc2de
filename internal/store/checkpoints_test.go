package store

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After a crash at any time, recovery from the checkpoints on disk gives a bucket at most the tokens that it had,
// unless the last granted request was counted as uncovered. Otherwise a crash would return tokens that were used. The
// check must also find the fault of counting checkpoints as durable before they are written.
func TestCheckpointsCoverGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runCheckpoints(t, false); violation != "" {
			t.Fatal(violation)
		}
	})
	found := false
	rapid.Check(t, func(t *rapid.T) { found = found || runCheckpoints(t, true) != "" })
	if !found {
		t.Error("checkpoints that are confirmed before they are written are not found")
	}
}

// recoveryExcess returns a message if recovery from the checkpoint on disk gives more tokens than the bucket has, and
// "" otherwise. It is called while the last granted request is covered.
func recoveryExcess(onDisk []Checkpoint, bucket BucketState, wall time.Time) string {
	if len(onDisk) == 0 {
		return "the last grant is counted as covered, but no checkpoint is on disk"
	}
	since := wall.Sub(time.UnixMilli(onDisk[0].LevelAt)).Seconds()
	if recovered := min(bucket.Burst, onDisk[0].Level+bucket.Rate*since); recovered > bucket.Tokens+0.1 { // times are rounded to ms
		return fmt.Sprintf("recovery gives %g tokens, the bucket has %g", recovered, bucket.Tokens)
	}
	return ""
}

// runCheckpoints performs random grants, batches and writes, and returns the first result of recoveryExcess that is not
// "". With confirmEarly it reports each batch as durable before it is written.
func runCheckpoints(t *rapid.T, confirmEarly bool) (violation string) {
	c, bucket := NewCheckpoints(10), BucketState{Rate: rapid.Float64Range(0.1, 20).Draw(t, "rate"), Burst: 40, Nodes: 1, Tokens: 40}
	key, now, wall := TenantKey{"p", "c"}, time.Hour, time.UnixMilli(1e12)
	var onDisk, writing []Checkpoint
	covered := false
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		pause := time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
		now, wall = now+pause, wall.Add(pause)
		bucket.Tokens = min(bucket.Burst, bucket.Tokens+bucket.Rate*pause.Seconds())
		switch rapid.IntRange(0, 3).Draw(t, "operation") {
		case 0, 1:
			bucket.Tokens -= float64(rapid.IntRange(1, 6).Draw(t, "tokens"))
			before := c.UncoveredGrants
			c.RecordGrant(key, bucket, now)
			covered = c.UncoveredGrants == before
		case 2:
			if b := c.NextBatch(now, wall); b != nil {
				writing = b
				if confirmEarly {
					c.BatchDone(true)
				}
			}
		case 3:
			if writing != nil {
				written := rapid.Bool().Draw(t, "written")
				if written {
					onDisk = writing
				}
				c.BatchDone(written)
				writing = nil
			}
		}
		if covered {
			if violation := recoveryExcess(onDisk, bucket, wall); violation != "" {
				return violation
			}
		}
	}
	return ""
}
