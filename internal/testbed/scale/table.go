package scale

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Table writes what was measured: a part for each sweep, the events, and the overview, worst ratio to
// the budget first.
func (r *Result) Table(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	sweep := ""
	for _, s := range r.Series {
		if s.Sweep != sweep {
			sweep = s.Sweep
			r.head(out, s)
		}
		row(out, s)
	}
	r.events(out)
	r.overview(out)
	for _, b := range r.Breaches {
		fmt.Fprintf(out, "worse than stated: %v\n", b)
	}
	return out.Flush()
}

func (r *Result) head(w io.Writer, s *Series) {
	fmt.Fprintf(w, "\n%s: %s; target %d, seeds %s, medians; took %v\n", s.Sweep, s.Dimension, s.Target, seeds(r.Seeds),
		r.Times[s.Sweep].Round(100*time.Millisecond))
	cells := []string{"cost", "unit"}
	for _, size := range Sizes(s.Points) {
		cells = append(cells, strconv.Itoa(size))
	}
	cells = append(cells, "exponent (95%)", "stated", "at target", "budget", "ratio", "basis")
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func row(w io.Writer, s *Series) {
	cells := []string{s.Cost.Name, string(s.Cost.Unit)}
	for _, size := range Sizes(s.Points) {
		cells = append(cells, number(Median(s.Points, size)))
	}
	value, basis := s.AtTarget()
	note := string(basis)
	if s.Fit.Label != "" {
		note += "; fit: " + s.Fit.Label
	}
	cells = append(cells, exponent(s.Fit), number(s.Cost.Exponent), number(value), budget(s.Cost.Budget), number(s.Ratio()), note)
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func (r *Result) events(w io.Writer) {
	if len(r.Events) == 0 {
		return
	}
	fmt.Fprintf(w, "\nevents, seeds %s\n", seeds(r.Seeds))
	fmt.Fprintln(w, "event\tfigure\tunit\tmedian\tmost\tbudget\tratio\tbound\ttook")
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\n", e.Event, e.Cost.Name, e.Cost.Unit, number(e.Median()),
			number(e.Most()), budget(e.Cost.Budget), number(e.Ratio()), budget(e.Cost.Bound), r.Times[e.Event].Round(100*time.Millisecond))
	}
}

// line is a row of the overview.
type line struct {
	name   string
	unit   Unit
	value  float64
	budget float64
	ratio  float64
	basis  Basis
}

// overview writes all costs that have a budget, and which of them have no value at the target.
func (r *Result) overview(w io.Writer) {
	var lines []line
	for _, s := range r.Series {
		if value, basis := s.AtTarget(); s.Cost.Budget > 0 {
			lines = append(lines, line{s.Cost.Name, s.Cost.Unit, value, s.Cost.Budget, s.Ratio(), basis})
		}
	}
	for _, e := range r.Events {
		if e.Cost.Budget > 0 {
			lines = append(lines, line{e.Cost.Name, e.Cost.Unit, e.Most(), e.Cost.Budget, e.Ratio(), Measured})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		if a.known() != b.known() {
			return cmp.Compare(b.rank(), a.rank())
		}
		return cmp.Compare(b.ratio, a.ratio)
	})
	fmt.Fprintf(w, "\noverview, %v, worst ratio first\n", r.Took.Round(100*time.Millisecond))
	fmt.Fprintln(w, "cost\tunit\tat target\tbudget\tratio\tbasis")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", l.name, l.unit, number(l.value), number(l.budget), number(l.ratio), l.basis)
	}
}

func (l line) known() bool { return !math.IsNaN(l.ratio) }

// rank puts lines without a ratio last.
func (l line) rank() int {
	if l.known() {
		return 1
	}
	return 0
}

func exponent(f Fit) string {
	switch {
	case math.IsNaN(f.Exponent):
		return "-"
	case math.IsNaN(f.Half):
		return fmt.Sprintf("%.2f", f.Exponent)
	}
	return fmt.Sprintf("%.2f ± %.2f", f.Exponent, f.Half)
}

func budget(b float64) string {
	if b == 0 {
		return "-"
	}
	return number(b)
}

// number writes a figure with three digits, and whole from a thousand on.
func number(v float64) string {
	switch {
	case math.IsNaN(v):
		return "-"
	case math.Abs(v) >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func seeds(all []uint64) string {
	if len(all) == 0 {
		return "none"
	}
	if len(all) == 1 {
		return strconv.FormatUint(all[0], 10)
	}
	return fmt.Sprintf("%d..%d", all[0], all[len(all)-1])
}
