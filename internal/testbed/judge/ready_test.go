package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// Nine in ten of the processes that are started again are ready within 10 s, and each within 30 s.
func TestRestartedNodesAreReadySoon(t *testing.T) {
	const s, never = time.Second, record.Never
	again := func(ready, to time.Duration) record.Run {
		return record.Run{From: 20 * s, Ready: ready, To: to}
	}
	at := func(after time.Duration) record.Run { return again(20*s+after, 90*s) }
	for _, x := range []struct {
		name   string
		n      int // that are ready at once
		runs   []record.Run
		cut    bool
		broken int
	}{
		{"all at once", 3, nil, false, 0},
		{"at the bound", 0, []record.Run{at(10 * s)}, false, 0},
		{"beyond it", 0, []record.Run{at(10*s + 1)}, false, 1},
		{"one in ten", 9, []record.Run{at(11 * s)}, false, 0},
		{"one in nine", 8, []record.Run{at(11 * s)}, false, 1},
		{"never", 0, []record.Run{again(never, 31*s)}, false, 1},
		{"it ended before", 0, []record.Run{again(never, 29*s)}, false, 0},
		{"its link was cut", 0, []record.Run{at(11 * s)}, true, 0},
		{"one of many after 30 s", 99, []record.Run{at(30*s + 1)}, false, 1},
		{"one of many not after 30 s", 99, []record.Run{again(never, 51*s)}, false, 1},
	} {
		b := record.NewBook()
		b.Runs = []record.Run{{Ready: 15 * s, To: 19 * s}} // the first, before the play
		for range x.n {
			b.Runs = append(b.Runs, at(s))
		}
		if b.Runs = append(b.Runs, x.runs...); x.cut {
			b.Cut(record.Pair{Server: record.Front}, 25*s)(26 * s)
		}
		v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
		(&judge{&scenario.Day{}, b, v}).restarts()
		assert.Equal(t, x.broken, v.Count["ready"], x.name)
	}
}
