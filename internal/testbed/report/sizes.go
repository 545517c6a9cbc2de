package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sloestile/internal/testbed/judge"
)

// Size is what the plays of one day at one number of rating servers came to, in the mean.
type Size struct {
	Servers int
	Means   judge.NodeMeans
	Served  float64 // of worth offered
}

// growthRow is one row of the operators' table: what a node may need among more servers, by what it needs at the usual size.
type growthRow struct {
	name        string
	unit        string
	value       func(Size) float64
	factor      float64 // on the figure at the usual size
	constant    float64 // added
	perThousand float64 // added for each thousand servers
	least       bool    // the limit is the least and not the most
}

const (
	kilobyte = 1e3
	megabyte = 1 << 20
)

// growthRows is the table of the operators' page on fleets of any size.
var growthRows = []growthRow{
	{"CPU", "s", func(s Size) float64 { return s.Means.CPU.Seconds() }, 1.4, 0.02, 0.03, false},
	{"peak memory", "MB", func(s Size) float64 { return s.Means.Memory / megabyte }, 1.5, 8, 4, false},
	{"descriptors", "", func(s Size) float64 { return s.Means.Descriptors }, 2, 40, 0, false},
	{"connections to servers", "", func(s Size) float64 { return s.Means.Connections }, 2.5, 40, 0, false},
	{"bytes of lists", "kB", func(s Size) float64 { return s.Means.ListBytes / kilobyte }, 2, 64, 500, false},
	{"served", "of worth offered", func(s Size) float64 { return s.Served }, 0.85, 0, 0, true},
}

// limit returns what the row allows among some servers where the usual size needs a value.
func (r *growthRow) limit(usual float64, servers int) float64 {
	return r.factor*usual + r.constant + r.perThousand*float64(servers)/1000
}

// Sizes prints what a node needs at two sizes beside the operators' limits. It returns the rows that are beyond theirs.
func Sizes(w io.Writer, usual, large Size) (beyond []string) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "a node, in the mean\t%d servers\t%d servers\tlimit\t\n", usual.Servers, large.Servers)
	for _, r := range growthRows {
		have, limit := r.value(large), r.limit(r.value(usual), large.Servers)
		verdict := "within"
		if (r.least && have < limit) || (!r.least && have > limit) {
			verdict = "BEYOND"
			beyond = append(beyond, r.name)
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g %s\t%s\n", r.name, r.value(usual), have, limit, r.unit, verdict)
	}
	_ = t.Flush()
	return beyond
}

// MeanSize returns the mean of plays at one number of servers.
func MeanSize(servers int, plays []Play) Size {
	s := Size{Servers: servers}
	n := float64(len(plays))
	for _, p := range plays {
		m := p.Verdict.Means
		s.Means.CPU += m.CPU
		s.Means.Memory += m.Memory / n
		s.Means.Descriptors += m.Descriptors / n
		s.Means.Connections += m.Connections / n
		s.Means.ListBytes += m.ListBytes / n
		s.Served += p.Verdict.Figures.Get("served") / n
	}
	s.Means.CPU /= time.Duration(max(1, len(plays)))
	return s
}
