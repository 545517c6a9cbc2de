package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// What may not be repeated is sent again only where all before surely never ran, and never while one
// is out; a key only within its window.
func TestRepeatsThatAClassDoesNotAllow(t *testing.T) {
	const ms = time.Millisecond
	sent := func(at, ended time.Duration, o record.Outcome) *record.Attempt {
		return &record.Attempt{First: at, Last: at, Ended: ended, Outcome: o}
	}
	away, failed := sent(0, 20*ms, record.Away), sent(0, 20*ms, record.Failed)
	for _, x := range []struct {
		name, effect string
		attempts     []*record.Attempt
		copies       bool // are allowed
		broken       int
	}{
		{"unsafe, once", "single_shot", []*record.Attempt{failed}, true, 0},
		{"unsafe, after one turned away", "single_shot", []*record.Attempt{away, sent(30*ms, 50*ms, record.Served)}, true, 0},
		{"unsafe, after a failed one", "single_shot", []*record.Attempt{failed, sent(30*ms, 50*ms, record.Served)}, true, 1},
		{"unsafe, after one given up", "single_shot", []*record.Attempt{sent(0, 20*ms, record.GivenUp), sent(30*ms, 50*ms, record.Away)}, true, 1},
		{"unsafe, after one whose server died", "single_shot", []*record.Attempt{sent(0, 20*ms, record.Died), sent(30*ms, 50*ms, record.Away)}, true, 1},
		{"unsafe, beside one turned away later", "single_shot", []*record.Attempt{away, sent(10*ms, 50*ms, record.Served)}, true, 1},
		{"unsafe, beside the first of three", "single_shot",
			[]*record.Attempt{sent(0, 90*ms, record.Away), sent(10*ms, 95*ms, record.Away), sent(92*ms, 99*ms, record.Away)}, true, 2},
		{"free, beside another", "free", []*record.Attempt{failed, sent(10*ms, 50*ms, record.Served)}, true, 0},
		{"free, beside another where copies are not allowed", "free", []*record.Attempt{failed, sent(10*ms, 50*ms, record.Served)}, false, 1},
		{"a key within its window", "guarded", []*record.Attempt{failed, sent(550*ms, 600*ms, record.Served)}, true, 0},
		{"a key beyond it", "guarded", []*record.Attempt{failed, sent(551*ms, 600*ms, record.Served)}, true, 1},
		{"a key beyond that of one that never ran", "guarded", []*record.Attempt{away, sent(551*ms, 600*ms, record.Served)}, true, 0},
	} {
		f := &scenario.File{}
		f.Rules.SecondCopies = x.copies
		v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
		(&judge{&scenario.Day{Classes: []scenario.Class{{Effect: x.effect, Scope: "all", Window: 500}}, File: f}, record.NewBook(), v}).
			duplicates(&record.Try{Attempts: x.attempts})
		assert.Equal(t, x.broken, v.Count["duplicate"], x.name)
	}
}
