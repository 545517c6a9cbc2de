package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/scenario"
)

// fixedVerdict returns a verdict with something in each of its parts.
func fixedVerdict() *judge.Verdict {
	return &judge.Verdict{Broken: map[string][]string{"lost": {"x: no answer"}, "cold": {"y"}}, Count: map[string]int{"lost": 2, "cold": 1},
		Void: "the tool was late", NoReference: "no policy for this day",
		Figures: judge.Figures{{Name: "served", Value: 0.75, Unit: "of worth offered"}, {Name: "tries", Value: 9},
			{Name: "served_worst_class", Value: 0.5, Unit: "of worth offered"}, {Name: "over_units", Value: 0.25, Unit: "of units sent on"},
			{Name: "refused_with_room", Value: 0.125, Unit: "of tries"}, {Name: "p99", Value: 12, Unit: "ms"}}}
}

// The file of a run has the recorded keys, where it fails and where it passes.
func TestFileIsAsRecorded(t *testing.T) {
	d := &scenario.Day{Name: "calm", Seed: 7, Length: time.Second, File: &scenario.File{}}
	whole := fixedVerdict()
	passed := &judge.Verdict{Figures: whole.Figures}
	for name, v := range map[string]*judge.Verdict{"failed": whole, "passed": passed} {
		path := filepath.Join(t.TempDir(), "run.json")
		require.NoError(t, JSON(path, d, v))
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		golden.CheckText(t, "run-"+name, string(raw))
	}
}

// The table and the last line of a run are as recorded, where it fails and where it passes.
func TestTextsAreAsRecorded(t *testing.T) {
	d := &scenario.Day{Name: "calm", Seed: 7, Length: time.Second, File: &scenario.File{}}
	whole := fixedVerdict()
	passed := &judge.Verdict{Figures: whole.Figures, Parts: []judge.Part{{Kind: "class", Name: "read", Served: 0.5, Late: 0.75, Owed: 0.25}}}
	var out strings.Builder
	for _, v := range []*judge.Verdict{whole, passed} {
		Table(&out, d, v)
		last, _ := Last(d, v)
		out.WriteString(last + "\n")
	}
	d.File.Gate = scenario.Gate{Served: 0.8}
	last, _ := Last(d, passed)
	out.WriteString(last + "\n")
	golden.CheckText(t, "texts", out.String())
}
