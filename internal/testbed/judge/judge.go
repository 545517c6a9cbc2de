// Package judge holds a play against the platform's rules and prices it, from the stand-in's own
// records.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// The figures of the platform's pages that no scenario changes.
const (
	slack       = 50 * time.Millisecond // of every limit on sockets
	freshLost   = 200                   // one in so many requests may have its new connection closed with no answer
	settled     = time.Second           // after a cut, until what was kept on the way has come
	improperFor = 3 * time.Second
	improperTop = 0.02                 // part of improper peers that may wait longer, as machines hiccup
	lateSend    = 5 * time.Millisecond // a send of the generator that counts as late
	lateMost    = 0.001                // part of the sends that may be, or the play is void
	examples    = 5                    // of each broken rule that are named
)

// Rules in the order in which they are reported.
var Rules = []string{"lost", "refusal", "duplicate", "gone", "drain", "cold", "stray", "ready", "quota", "crash", "advice", "improper"}

// Verdict is what the judge says of a play.
type Verdict struct {
	Broken  map[string][]string // by rule: the first few cases
	Count   map[string]int
	Void    string // why the play does not count; "" is that it does
	Figures Figures
	Means   NodeMeans
	Series  []Second
	// What was served beside what the late-seeing policy serves; NoReference says why there is none.
	Parts       []Part
	NoReference string
}

// Second is one second of the day: worth asked inside the quotas, served in time, tries and refusals.
type Second struct{ Offered, Served, Tries, Refused float64 }

func (v *Verdict) broke(rule, format string, args ...any) {
	if v.Count[rule]++; v.Count[rule] <= examples {
		v.Broken[rule] = append(v.Broken[rule], fmt.Sprintf(format, args...))
	}
}

// Judge gives the verdict on a play that has ended.
func Judge(d *scenario.Day, b *record.Book) *Verdict {
	v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
	b.With(func() {
		j := &judge{d, b, v}
		j.tries()
		j.gone()
		j.drains()
		j.cold()
		j.restarts()
		j.rest()
		j.price()
		v.Means = nodeMeans(d, b)
	})
	return v
}

type judge struct {
	day  *scenario.Day
	book *record.Book
	v    *Verdict
}

func (j *judge) tries() {
	closed := 0
	for _, t := range j.book.Order {
		slices.SortFunc(t.Attempts, func(a, b *record.Attempt) int { return cmp.Compare(a.Last, b.Last) })
		said := t.Status == 429 || t.Status == 503
		switch {
		case t.NodeKilled: // whoever kills a node answers for what it held
		case t.End == record.Unheard:
			j.v.broke("lost", "%s: no answer by %v, %v after its time", t.ID, t.Ended, t.Ended-t.Sent-t.Left)
		case closedNew(t):
			closed++
		case t.End == record.Broken:
			j.v.broke("lost", "%s: its connection ended at %v with no whole answer; sent to node %d at %v, fresh %v, kept %v, %d attempts",
				t.ID, t.Ended, t.Node, t.Sent, t.Fresh, t.Kept, len(t.Attempts))
		case t.End == record.Answered && t.Status == 200 && !t.Genuine:
			j.v.broke("lost", "%s: served with what no server made", t.ID)
		case said && j.day.File.Rules.RetryAfter && !t.Advice:
			j.v.broke("advice", "%s: refused without Retry-After", t.ID)
		}
		if said && !j.harmless(t) {
			j.v.broke("refusal", "%s: refused at %v though it may have run", t.ID, t.Ended)
		}
		j.duplicates(t)
	}
	if n := len(j.book.Order); closed*freshLost > n {
		j.v.broke("lost", "%d of %d requests had their new connection closed with no answer", closed, n)
	}
}

// closedNew tells whether a try that was never sent on had its new connection closed on it. Such a
// one counts as refused.
func closedNew(t *record.Try) bool {
	return t.End == record.Broken && t.Fresh && len(t.Attempts) == 0 && !t.NodeKilled
}

// refused tells whether a try was refused, or counts as refused: it was never sent on, and failed.
func refused(t *record.Try) bool {
	return t.Status == 429 || t.Status == 503 || closedNew(t) || t.End == record.Answered && t.Status != 200 && len(t.Attempts) == 0
}

// ran tells whether an attempt may have run, as far as anybody but its server knows.
func ran(a *record.Attempt) bool { return a.Outcome != record.Away }

// harmless tells whether trying again does no harm: nothing may have run, or runs do not matter.
func (j *judge) harmless(t *record.Try) bool {
	c := &j.day.Classes[t.Class]
	if c.Effect == "free" || c.Effect == "guarded" && c.Scope == "all" {
		return true
	}
	return !slices.ContainsFunc(t.Attempts, ran)
}

// duplicates holds the attempts of a try against what its class allows.
func (j *judge) duplicates(t *record.Try) {
	c, r := &j.day.Classes[t.Class], &j.day.File.Rules
	if r.SendCap > 0 && len(t.Attempts) > r.SendCap {
		j.v.broke("duplicate", "%s: %d attempts, %d are allowed", t.ID, len(t.Attempts), r.SendCap)
	}
	var first *record.Attempt // that may have run
	for i, a := range t.Attempts {
		if !r.SecondCopies || c.Effect == "single_shot" {
			if slices.ContainsFunc(t.Attempts[:i], func(p *record.Attempt) bool { return p.Outcome == record.Running || p.Ended > a.Last }) {
				j.v.broke("duplicate", "%s: a second copy at %v", t.ID, a.Last)
			}
		}
		switch {
		case first == nil && ran(a):
			first = a
		case first == nil || c.Effect == "free":
		case c.Effect == "single_shot":
			j.v.broke("duplicate", "%s: sent again at %v though it may have run", t.ID, a.Last)
		case c.Effect == "guarded" && c.Scope == "zone" && j.zone(a) != j.zone(first),
			c.Effect == "guarded" && c.Scope == "cell" && j.day.Servers[a.Server].Cell != j.day.Servers[first.Server].Cell:
			j.v.broke("duplicate", "%s: its key went to another group at %v", t.ID, a.Last)
		case j.late(a): // when it was sent is not known
		case a.Last > first.Last+time.Duration(c.Window*float64(time.Millisecond))+slack:
			j.v.broke("duplicate", "%s: its key came %v after the first, its window is %g ms", t.ID, a.Last-first.Last, c.Window)
		}
	}
}

func (j *judge) zone(a *record.Attempt) int { return j.day.Servers[a.Server].Zone }

// drains finds sends to servers that the node's process had been told to leave.
func (j *judge) drains() {
	grace := time.Duration(j.day.File.Rules.DrainGraceMS*float64(time.Millisecond)) + slack
	for _, t := range j.book.Order {
		for _, a := range t.Attempts {
			since := j.started(a.Node, a.First)
			left := time.Duration(-1) // when it was told to leave the server, and not yet that it is up again
			for _, x := range j.order(a.Node, a.Server, since) {
				if x.at > a.First {
					break
				}
				if x.Kind == "up" {
					left = -1
				} else if left < 0 {
					left = x.at
				}
			}
			if left >= 0 && a.First > left+grace && !j.late(a) {
				j.v.broke("drain", "%s: node %d sent to server %d %v after it was told to leave it", t.ID, a.Node, a.Server, a.First-left)
			}
		}
	}
}

// late tells whether the way that an attempt came was cut when it arrived or shortly before.
func (j *judge) late(a *record.Attempt) bool {
	return j.book.CutWithin(record.Pair{Node: a.Node, Server: a.Server}, a.First-settled, a.Last)
}

func (j *judge) rest() {
	for _, id := range j.book.Strays {
		j.v.broke("stray", "%q: no client sent it in this form", id)
	}
	for _, c := range j.book.Crashes {
		j.v.broke("crash", "%s", c)
	}
	waited := 0
	for _, t := range j.book.Improper {
		if t > improperFor+slack {
			waited++
		}
	}
	if n := len(j.book.Improper); n > 0 && float64(waited) > improperTop*float64(n) {
		j.v.broke("improper", "%d of %d improper peers waited over %v", waited, n, improperFor)
	}
	late := 0
	for _, t := range j.book.Late {
		if t > lateSend {
			late++
		}
	}
	if n := len(j.book.Late); n > 0 && float64(late) > lateMost*float64(n) {
		j.v.Void = fmt.Sprintf("the generator was over %v late in %d of %d sends", lateSend, late, n)
	}
}

// Whole tells whether no rule is broken and the play counts.
func (v *Verdict) Whole() bool { return v.Void == "" && len(v.Count) == 0 }
