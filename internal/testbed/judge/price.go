package judge

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

// Figure is one measured figure with its unit.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Figures are in the order in which they are reported.
type Figures []Figure

// Get gives a figure by name, or NaN.
func (f Figures) Get(name string) float64 {
	for _, x := range f {
		if x.Name == name {
			return x.Value
		}
	}
	return math.NaN()
}

func (j *judge) add(name string, value float64, unit string) {
	j.v.Figures = append(j.v.Figures, Figure{name, value, unit})
}

const (
	window   = 10 // s of the worst window
	wholeAt  = 0.9
	quarters = 4
)

// worth is what a request is worth when served in time.
func (j *judge) worth(arrival int) float64 {
	a := &j.day.Arrivals[arrival]
	return j.day.Classes[a.Class].Worth * j.day.Plans[j.day.Customers[a.Customer].Plan].Price * float64(a.Units)
}

// offered is the worth of each first try that one gateway that saw all of them would let in.
func (j *judge) offered() []float64 {
	var quotas []refbucket.Quota
	for _, c := range j.day.Customers {
		quotas = append(quotas, refbucket.Quota{Rate: j.day.Plans[c.Plan].Rate, Burst: j.day.Plans[c.Plan].Depth})
	}
	l := refbucket.New(quotas, 0, 0)
	out := make([]float64, len(j.day.Arrivals))
	for i, a := range j.day.Arrivals {
		if l.Take(a.Customer, float64(a.Units), a.At) {
			l.Settle(a.Customer, float64(a.Units), float64(a.True), a.At)
			out[i] = j.worth(i)
		}
	}
	return out
}

// price reckons the figures of a play.
func (j *judge) price() {
	offered := j.offered()
	served := make([]float64, len(offered)) // in time and inside the quota
	j.v.Series = make([]Second, int(math.Ceil(j.day.Length.Seconds())))
	var n, no, room, kept, late, over, units, overCost, attempts, cross, open, work, waste float64
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, t := range j.book.Order {
		a := &j.day.Arrivals[t.Arrival]
		n++
		attempts += float64(len(t.Attempts))
		for _, x := range t.Attempts {
			cross += btof(x.Cross)
			if work += x.Work; x.Outcome != record.Served {
				waste += x.Work
			}
		}
		if t.Taken {
			units += float64(t.Units)
			if !t.Inside {
				over += float64(t.Units)
				overCost += j.worth(t.Arrival) * j.day.Plans[j.day.Customers[t.Customer].Plan].OverCost
			}
		}
		sec := &j.v.Series[min(len(j.v.Series)-1, int(max(0, t.Due).Seconds()))]
		sec.Tries++
		kept += btof(t.Kept)
		late += btof(lateUnsent(t)) * j.worth(t.Arrival)
		switch {
		case t.End == record.Answered && t.Status == 200:
			_ = h.RecordValue(max(1, int64((t.Ended-t.Due)/time.Microsecond)))
			if t.Inside && t.Ended-a.At <= time.Duration(j.day.Classes[t.Class].AimMS*float64(time.Millisecond)) {
				served[t.Arrival] = j.worth(t.Arrival)
			}
		case refused(t):
			no++
			sec.Refused++
			room += btof(t.Room)
		case t.End == record.Unsent:
			open++
		}
	}
	j.shares(offered, served)
	j.reference(offered)
	total := max(sum(offered), 1e-9)
	j.add("over_units", over/max(units, 1), "of units sent on")
	j.add("over_cost", overCost/total, "of worth offered")
	if calm(j.day) && overCost/total > overMost {
		j.v.broke("quota", "what was sent on beyond quotas costs %.3f of the worth offered, %g is allowed on a calm day", overCost/total, overMost)
	}
	j.add("late_unsent_cost", latePart*late/total, "of worth offered")
	j.add("refused", no/max(n, 1), "of tries")
	j.add("refused_with_room", room/max(n, 1), "of tries")
	j.add("kept", kept/max(n, 1), "of tries, on connections that stayed open at nodes that leave")
	j.add("unsent", open/max(n, 1), "of tries")
	j.add("tries", n, "")
	j.add("attempts", attempts/max(n, 1), "a try")
	j.add("waste", waste/max(work, 1e-9), "of work done")
	j.add("cross_zone", cross/max(attempts, 1), "of attempts")
	j.add("cold_falls", float64(len(j.book.Fallen)), "servers")
	if j.day.File.Disks() {
		j.add("disk_undone", float64(j.book.Undone), "steps that disks lost with their power")
	}
	j.add("probes", float64(j.book.Probes)/max(n, 1), "a try")
	j.add("handshakes", float64(j.book.Opened)/max(n, 1), "a try")
	j.add("p50", float64(h.ValueAtQuantile(50))/1000, "ms")
	j.add("p99", float64(h.ValueAtQuantile(99))/1000, "ms")
	j.slowed()
	j.usage(n)
	j.membership()
	j.lateness()
}

// overMost is what may be paid on a calm day for what goes beyond quotas, more than the late-seeing policy
// pays: nothing, as it sends on only what the true stores hold.
const overMost = 0.1

// calm tells whether nothing fails on a day; more may be asked.
func calm(d *scenario.Day) bool {
	return !slices.ContainsFunc(d.Faults, func(e scenario.Event) bool { return e.Kind != "burst" })
}

// latePart is the part of its worth that a try costs of which nothing was sent on and whose answer
// came after more than half of its time, or never.
const latePart = 0.3

func lateUnsent(t *record.Try) bool {
	if len(t.Attempts) > 0 || t.End == record.Unsent || t.End == record.Left || t.NodeKilled || t.End == record.Answered && t.Status == 200 {
		return false
	}
	return t.End != record.Answered || t.Ended-t.Sent > t.Left/2
}

// slowedAfter and slowedSpan are when, after a server turned slow, its sends are counted, and for how
// long; and how long before.
const (
	slowedAfter = time.Second
	slowedSpan  = 3 * time.Second
)

// slowed adds what servers that turned slow still got a second after, of what they got before.
func (j *judge) slowed() {
	var before, after float64
	for _, f := range j.day.Faults {
		if f.Kind != "slow" || f.For < slowedAfter+slowedSpan {
			continue
		}
		for _, t := range j.book.Order {
			for _, x := range t.Attempts {
				if !slices.Contains(f.Targets, x.Server) {
					continue
				}
				since := x.First - f.At
				before += btof(since >= -slowedSpan && since < 0)
				after += btof(since >= slowedAfter && since < slowedAfter+slowedSpan)
			}
		}
	}
	if before > 0 {
		j.add("slowed_kept", after/before, "of the sends to servers that turned slow")
	}
}

// membership adds how long after the last fault the nodes' views of each other were right for good,
// and what their talk came to. A play in which nodes do not talk has neither.
func (j *judge) membership() {
	if len(j.book.Views) == 0 {
		return
	}
	last, wrong, part := time.Duration(0), time.Duration(0), 0.0
	for _, f := range j.day.Faults {
		last = max(last, f.At+f.For)
	}
	for _, v := range j.book.Views {
		if part += v.Right; v.Right < 1 && v.At > last {
			wrong = v.At - last
		}
	}
	j.add("views_right", part/float64(len(j.book.Views)), "of the day, mean over nodes")
	j.add("views_back", wrong.Seconds(), "s")
	most := 0.0
	for _, v := range j.book.Views {
		most = max(most, v.SentMost)
	}
	if v := j.book.Views[len(j.book.Views)-1]; v.Known > 0 {
		j.add("messages_most", most, "a second by one node")
		j.add("known", v.Known/(v.Known+v.Unknown), "of requests, by the nodes' word")
	}
	j.add("talk", float64(j.book.Talk)/float64(len(j.day.Nodes))/j.day.Length.Seconds(), "bytes a second and node")
}

// back is how long after the end of the last fault service was whole again: three seconds together
// at nine tenths of what they were before the first fault. Where it is not by the end, it is what
// was left of the day.
func (j *judge) back() float64 {
	if len(j.day.Faults) == 0 {
		return 0
	}
	first, last := j.day.Length, time.Duration(0)
	for _, f := range j.day.Faults {
		first, last = min(first, f.At), max(last, f.At+f.For)
	}
	part := func(from, to int) float64 {
		var x [2]float64
		for i := max(0, from); i < min(to, len(j.v.Series)); i++ {
			x[0], x[1] = x[0]+j.v.Series[i].Offered, x[1]+j.v.Series[i].Served
		}
		return x[1] / max(x[0], 1e-9)
	}
	before, end := part(0, int(first.Seconds())), int(math.Ceil(last.Seconds()))
	for i := end; i+3 <= len(j.v.Series); i++ {
		if part(i, i+3) >= wholeAt*before {
			return float64(i - end)
		}
	}
	return max(0, (j.day.Length - last).Seconds())
}

// usage adds what the nodes' processes used, as seen from outside.
func (j *judge) usage(tries float64) {
	cpu, most, fds := map[int][]record.Sample{}, int64(0), 0
	quarter := make([][]float64, quarters)
	for _, s := range j.book.Samples {
		cpu[s.Node] = append(cpu[s.Node], s)
		most, fds = max(most, s.RSS), max(fds, s.Descriptors)
		if q := int(quarters * s.At / j.day.Length); s.At >= 0 && q < quarters {
			quarter[q] = append(quarter[q], float64(s.RSS)/(1<<20))
		}
	}
	total := time.Duration(0)
	for _, ss := range cpu {
		slices.SortFunc(ss, func(a, b record.Sample) int { return cmp.Compare(a.At, b.At) })
		for i := 1; i < len(ss); i++ {
			if d := ss[i].CPU - ss[i-1].CPU; d > 0 && ss[i-1].At >= 0 { // else a new process
				total += d
			}
		}
	}
	j.add("cpu", float64(total.Microseconds())/max(tries, 1), "us a try")
	j.add("memory_most", float64(most)/(1<<20), "MB")
	for i, q := range quarter {
		if len(q) > 0 {
			slices.Sort(q)
			j.add(fmt.Sprintf("memory_q%d", i+1), stat.Quantile(0.5, stat.Empirical, q, nil), "MB")
		}
	}
	j.add("descriptors_most", float64(fds), "")
}

func (j *judge) lateness() {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	over := 0.0
	for _, t := range j.book.Late {
		_ = h.RecordValue(max(1, int64(t/time.Microsecond)))
		over += btof(t > lateSend)
	}
	j.add("late", over/math.Max(1, float64(len(j.book.Late))), "of sends")
	j.add("late_p999", float64(h.ValueAtQuantile(99.9))/1000, "ms")
}

func btof(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func sum(x []float64) float64 {
	s := 0.0
	for _, v := range x {
		s += v
	}
	return s
}
