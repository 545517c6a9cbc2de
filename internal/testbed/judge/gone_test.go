package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// An attempt that begins over 0.1 s after its client went breaks the rule from the third case on; of
// the requests that waited for their first attempt, a quarter may be sent on later, and any four.
func TestNothingIsBegunForAClientThatHasGone(t *testing.T) {
	const ms, went = time.Millisecond, 10 * time.Second
	sent := func(end record.End, after ...time.Duration) *record.Try {
		x := &record.Try{End: end, Ended: went}
		for _, d := range after {
			x.Attempts = append(x.Attempts, &record.Attempt{Try: x, First: went + d, Last: went + d})
		}
		return x
	}
	type group struct {
		n   int
		try *record.Try
	}
	late, waited, out := sent(record.Left, 351*ms), sent(record.Left), sent(record.Left, -50*ms)
	for _, x := range []struct {
		name   string
		of     []group
		cut    bool
		broken int
	}{
		{"at the bound", []group{{9, sent(record.Left, 150*ms)}}, false, 0},
		{"two first attempts beyond it", []group{{2, sent(record.Left, 151*ms)}}, false, 0},
		{"three", []group{{3, sent(record.Left, 151*ms)}}, false, 1},
		{"three further ones", []group{{3, sent(record.Left, -80*ms, 151*ms)}}, false, 1},
		{"of one request", []group{{1, sent(record.Left, -80*ms, 200*ms, 250*ms, 400*ms)}}, false, 1},
		{"its time was over long ago", []group{{3, sent(record.Unheard, 151*ms)}}, false, 1},
		{"the client has not gone", []group{{9, sent(record.Answered, 151*ms)}}, false, 0},
		{"its link is cut", []group{{9, late}}, true, 0},
		{"four sent on, of four", []group{{4, late}}, false, 2},
		{"five, of five", []group{{5, late}}, false, 4},
		{"five, of twenty", []group{{5, late}, {15, waited}}, false, 3},
		{"six, of 23", []group{{6, late}, {17, waited}}, false, 5},
		{"six, of 23 beside many that were out", []group{{6, late}, {17, waited}, {99, out}}, false, 5},
	} {
		b := record.NewBook()
		for _, g := range x.of {
			for range g.n {
				b.Order = append(b.Order, g.try)
			}
		}
		if x.cut {
			b.Cut(record.Pair{Server: record.Front}, went-2*time.Second)(went)
		}
		v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
		(&judge{&scenario.Day{}, b, v}).gone()
		assert.Equal(t, x.broken, v.Count["gone"], x.name)
	}
}
