// Package report writes what plays came to: a line for the terminal, a table, JSON, and a folder
// with report.md and plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/scenario"
)

// Gate holds a verdict against a scenario's gate. It gives the line that failed, with what was
// wanted and measured, or "".
func Gate(g scenario.Gate, v *judge.Verdict) string {
	for _, rule := range judge.Rules {
		if n := v.Count[rule]; n > 0 {
			return fmt.Sprintf("rule %s, wanted 0 broken, measured %d: %s", rule, n, v.Broken[rule][0])
		}
	}
	if v.Void != "" {
		return "void: " + v.Void
	}
	for _, p := range v.Parts {
		if p.Served < p.Owed {
			return fmt.Sprintf("%s %s: served, wanted %.3f or more of what is offered by the late-seeing policy's %.3f, measured %.3f", p.Kind, p.Name, p.Owed, p.Late, p.Served)
		}
	}
	type line struct {
		name  string
		bound float64
		least bool
	}
	for _, l := range []line{{"served", g.Served, true}, {"served_worst_class", g.WorstClass, true}, {"over_units", g.Over, false}, {"refused_with_room", g.Room, false}, {"slowed_kept", g.SlowedKept, false}, {"messages_most", g.MessagesMost, false}, {"back", g.BackWithin, false},
		{"views_back", g.ViewsBack, false}} {
		got := v.Figures.Get(l.name)
		switch {
		case l.bound == 0:
		case l.least && !(got >= l.bound):
			return fmt.Sprintf("%s, wanted %g or more, measured %.3f", l.name, l.bound, got)
		case !l.least && !(got <= l.bound):
			return fmt.Sprintf("%s, wanted %g or less, measured %.3f", l.name, l.bound, got)
		}
	}
	return ""
}

// Table prints the figures of one play.
func Table(w io.Writer, d *scenario.Day, v *judge.Verdict) {
	fmt.Fprintf(w, "%s, seed %d, day %s: %d nodes, %d servers, %d customers, %d requests in %v\n", d.Name, d.Seed, d.Digest(),
		len(d.Nodes), len(d.Servers), len(d.Customers), len(d.Arrivals), d.Length)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, f := range v.Figures {
		fmt.Fprintf(t, "%s\t%.4g\t%s\n", f.Name, f.Value, f.Unit)
	}
	_ = t.Flush()
	parts(w, v)
	for _, rule := range judge.Rules {
		for _, c := range v.Broken[rule] {
			fmt.Fprintf(w, "broken: %s: %s\n", rule, c)
		}
	}
}

// parts prints what was served of each class and plan, beside the late-seeing policy's and what is
// owed by it.
func parts(w io.Writer, v *judge.Verdict) {
	if v.NoReference != "" {
		fmt.Fprintln(w, v.NoReference)
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "of worth offered\tserved\tlate-seeing policy\towed")
	for _, p := range v.Parts {
		fmt.Fprintf(t, "%s %s\t%.3f\t%.3f\t%.3f\n", p.Kind, p.Name, p.Served, p.Late, p.Owed)
	}
	_ = t.Flush()
}

// Last is the last line of a play, and whether it passed.
func Last(d *scenario.Day, v *judge.Verdict) (string, bool) {
	if failed := Gate(d.File.Gate, v); failed != "" {
		return fmt.Sprintf("FAIL %s: %s", d.Name, failed), false
	}
	return fmt.Sprintf("PASS %s: served %.3f, worst class %.3f, over quota %.3f, refused with room %.3f, p99 %.0f ms", d.Name,
		v.Figures.Get("served"), v.Figures.Get("served_worst_class"), v.Figures.Get("over_units"),
		v.Figures.Get("refused_with_room"), v.Figures.Get("p99")), true
}

// JSON writes every figure of a play by name.
func JSON(path string, d *scenario.Day, v *judge.Verdict) error {
	raw, err := json.MarshalIndent(struct {
		Scenario string              `json:"scenario"`
		Seed     uint64              `json:"seed"`
		Day      string              `json:"day"`
		Passed   bool                `json:"passed"`
		Void     string              `json:"void,omitempty"`
		Broken   map[string][]string `json:"broken,omitempty"`
		NoLate   string              `json:"no_reference,omitempty"`
		Figures  judge.Figures       `json:"figures"`
	}{d.Name, d.Seed, d.Digest(), Gate(d.File.Gate, v) == "", v.Void, v.Broken, v.NoReference, v.Figures}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Spread is what a figure came to over plays.
type Spread struct{ Median, Low, High float64 }

// Of gives the spread of some values.
func Of(values []float64) Spread {
	x := append([]float64(nil), values...)
	slices.Sort(x)
	return Spread{(x[(len(x)-1)/2] + x[len(x)/2]) / 2, x[0], x[len(x)-1]}
}

// Paired is the mean of paired differences with half the width of its 95% interval, by Student's t;
// with a single pair the interval is not known.
func Paired(with, against []float64) (mean, half float64) {
	diff := make([]float64, len(with))
	for i := range with {
		diff[i] = with[i] - against[i]
	}
	mean, sd := stat.MeanStdDev(diff, nil)
	if len(diff) < 2 {
		return mean, math.NaN()
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(diff) - 1)}
	return mean, t.Quantile(0.975) * sd / math.Sqrt(float64(len(diff)))
}

// Compare prints each figure's medians on both sides and their paired difference.
func Compare(w io.Writer, with, against []judge.Figures) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "figure\twith\tagainst\tdifference\t95%\tunit")
	for _, f := range with[0] {
		var a, b []float64
		for i := range with {
			a, b = append(a, with[i].Get(f.Name)), append(b, against[i].Get(f.Name))
		}
		if slices.ContainsFunc(b, math.IsNaN) { // the other side has no such figure
			fmt.Fprintf(t, "%s\t%.4g\t-\t\t\t%s\n", f.Name, Of(a).Median, f.Unit)
			continue
		}
		mean, half := Paired(a, b)
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t±%.2g\t%s\n", f.Name, Of(a).Median, Of(b).Median, mean, half, f.Unit)
	}
	_ = t.Flush()
}

// Spreads prints each figure's median, least and most over plays.
func Spreads(w io.Writer, title string, plays []judge.Figures) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tmedian\tleast\tmost\t\n", title)
	for _, f := range plays[0] {
		var x []float64
		for _, p := range plays {
			x = append(x, p.Get(f.Name))
		}
		s := Of(x)
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%s\n", f.Name, s.Median, s.Low, s.High, f.Unit)
	}
	_ = t.Flush()
}

// Play is one play of a report.
type Play struct {
	Day     *scenario.Day
	Verdict *judge.Verdict
}

// Write writes a folder with report.md and the plots that it shows.
func Write(dir string, plays []Play) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	d := plays[0].Day
	fmt.Fprintf(&b, "# %s\n\n%s\n\n", d.Name, d.File.About)
	for _, p := range plays {
		last, _ := Last(p.Day, p.Verdict)
		name := fmt.Sprintf("day-%d.png", p.Day.Seed)
		if err := plotDay(filepath.Join(dir, name), p); err != nil {
			return err
		}
		fmt.Fprintf(&b, "## Seed %d\n\n%s\n\n![served and refused over time](%s)\n\n", p.Day.Seed, last, name)
	}
	if len(plays) > 1 {
		shares := []string{"served", "served_worst_10s", "served_worst_class", "over_units", "refused_with_room"}
		if err := plotSeeds(filepath.Join(dir, "seeds.png"), plays, "share", 1, shares...); err != nil {
			return err
		}
		if err := plotSeeds(filepath.Join(dir, "back.png"), plays, "s until service is whole", 0, "back"); err != nil {
			return err
		}
		fmt.Fprint(&b, "## Over seeds\n\n![distribution by seed](seeds.png)\n\n![time to recover, by seed](back.png)\n\n")
	}
	fmt.Fprint(&b, "| figure | median | least | most | unit |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range plays[0].Verdict.Figures {
		var x []float64
		for _, p := range plays {
			x = append(x, p.Verdict.Figures.Get(f.Name))
		}
		s := Of(x)
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %.4g | %s |\n", f.Name, s.Median, s.Low, s.High, f.Unit)
	}
	return os.WriteFile(filepath.Join(dir, "report.md"), []byte(b.String()), 0o644)
}
