package judge

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// playedDay judges a drawn day on which one try was made, with a sample of each quarter and views of each other.
func playedDay(t *testing.T, set ...string) *Verdict {
	t.Helper()
	f, err := scenario.Read("../../../scenarios/calm.toml", append([]string{"seconds = 6"}, set...)...)
	require.NoError(t, err)
	d, err := f.Draw(1)
	require.NoError(t, err)
	b := record.NewBook()
	a := d.Arrivals[0]
	try := &record.Try{ID: "x", Customer: a.Customer, Class: a.Class, Due: a.At, Sent: a.At, Ended: a.At + time.Millisecond, End: record.Answered,
		Status: 200, Genuine: true, Inside: true}
	if len(d.Faults) > 0 {
		before := d.Faults[0].At - time.Millisecond
		try.Attempts = []*record.Attempt{{Try: try, Server: d.Faults[0].Targets[0], First: before, Last: before, Ended: before, Outcome: record.Served}}
	}
	b.Order = append(b.Order, try)
	for i := range quarters {
		b.Samples = append(b.Samples, record.Sample{At: time.Duration(i) * d.Length / quarters, RSS: 1 << 20})
	}
	b.Views = []record.View{{At: time.Second, Right: 1, Known: 1, SentMost: 1}}
	return Judge(d, b)
}

// The figures of a verdict, with their units, the kinds of its parts and the rules have the recorded names, in the
// recorded order.
func TestNamesAreAsRecorded(t *testing.T) {
	var out strings.Builder
	for _, v := range []*Verdict{
		playedDay(t),
		playedDay(t, "fault = [{kind = \"slow\", at_s = 1, for_s = 4.5, share = 1, size = 3}, {kind = \"power\", at_s = 2, share = 0.5}]"),
	} {
		for _, f := range v.Figures {
			out.WriteString(f.Name + "|" + f.Unit + "\n")
		}
		for _, p := range v.Parts {
			out.WriteString(p.Kind + "|" + p.Name + "\n")
		}
		out.WriteString("\n")
	}
	out.WriteString(strings.Join(Rules, "\n") + "\n")
	golden.CheckText(t, "names", out.String())
}
