package judge

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"sloestile/internal/testbed/delayedref"
)

// The part of what the late-seeing policy serves that is owed, and to whom, as the gate's page has it.
const (
	owedClass = 1.0 / 2 // to all, and to each class
	owedPlan  = 1.0 / 3 // to each plan
	owedThird = 0.3     // to each third of a day whose gate names no other part
	thirds    = 3
	weighs    = 1.0 / 20 // of the requests or of the worth, from which a class or plan is owed any
	lateLeast = 0.3      // served by that policy, below which a class is owed nothing
)

// Part is what was served of one class or plan, or in one third of the day, beside what the late-seeing policy serves of it, both
// of the worth offered.
type Part struct {
	Kind, Name         string // "class", "plan" or "third", or "day" with no name
	Served, Late, Owed float64
}

// tally is worth offered and served, and arrivals.
type tally struct{ offered, served, arrivals float64 }

func (t tally) share() float64 { return math.Min(1, t.served/max(t.offered, 1e-9)) }

// tallies sums up by class, by plan, by third of the day, and all, in the order of the day's classes
// and plans.
func (j *judge) tallies(offered, served []float64) (class, plan, third []tally, all tally) {
	class, plan, third = make([]tally, len(j.day.Classes)), make([]tally, len(j.day.Plans)), make([]tally, thirds)
	for i, o := range offered {
		a := &j.day.Arrivals[i]
		for _, t := range []*tally{&class[a.Class], &plan[j.day.Customers[a.Customer].Plan], &third[min(thirds-1, int(thirds*a.At/j.day.Length))], &all} {
			t.offered, t.served, t.arrivals = t.offered+o, t.served+served[i], t.arrivals+1
		}
	}
	return class, plan, third, all
}

// shares adds served worth: all, by class and plan, and in the worst window; and how long service
// took to be whole after the last fault.
func (j *judge) shares(offered, served []float64) {
	for i, o := range offered {
		s := &j.v.Series[min(len(j.v.Series)-1, int(j.day.Arrivals[i].At.Seconds()))]
		s.Offered += o
		s.Served += served[i]
	}
	class, plan, third, all := j.tallies(offered, served)
	j.v.Parts = []Part{{Kind: "day", Served: all.share()}}
	j.add("served", all.share(), "of worth offered")
	worst := 1.0
	for i, t := range class {
		j.v.Parts = append(j.v.Parts, Part{Kind: "class", Name: j.day.Classes[i].Name, Served: t.share()})
		j.add("served_"+j.day.Classes[i].Name, t.share(), "of worth offered")
		worst = math.Min(worst, t.share())
	}
	j.add("served_worst_class", worst, "of worth offered")
	for i, t := range plan {
		j.v.Parts = append(j.v.Parts, Part{Kind: "plan", Name: j.day.Plans[i].Name, Served: t.share()})
		j.add("served_"+j.day.Plans[i].Name, t.share(), "of worth offered")
	}
	for i, t := range third {
		j.v.Parts = append(j.v.Parts, Part{Kind: "third", Name: strconv.Itoa(i + 1), Served: t.share()})
		j.add("served_third_"+strconv.Itoa(i+1), t.share(), "of worth offered")
	}
	least := 1.0
	for i := 0; i+min(window, len(j.v.Series)) <= len(j.v.Series); i++ {
		var x tally
		for _, s := range j.v.Series[i : i+min(window, len(j.v.Series))] {
			x.offered, x.served = x.offered+s.Offered, x.served+s.Served
		}
		least = math.Min(least, x.share())
	}
	j.add("served_worst_10s", least, "of worth offered")
	j.add("back", j.back(), "s")
}

// reference adds what the late-seeing policy serves of the same day, by class, plan and third, and what
// is owed by it; or why there is none.
func (j *judge) reference(offered []float64) {
	inTime, err := delayedref.Served(j.day)
	if err != nil {
		j.v.NoReference = err.Error()
		return
	}
	served := make([]float64, len(offered))
	for i, yes := range inTime {
		served[i] = btof(yes) * j.worth(i)
	}
	class, plan, third, all := j.tallies(offered, served)
	counts := func(t tally) bool {
		return t.arrivals >= weighs*all.arrivals || t.offered >= weighs*all.offered
	}
	for i, t := range slices.Concat([]tally{all}, class, plan, third) {
		p := &j.v.Parts[i]
		name := "late_served"
		if p.Late = t.share(); p.Name != "" {
			name += "_" + p.Name
		}
		switch p.Kind {
		case "third":
			name = "late_served_third_" + p.Name
			p.Owed = cmp.Or(j.day.File.Gate.Third, owedThird) * p.Late
		case "day":
			p.Owed = owedClass * p.Late
		case "class":
			if (counts(t) || j.day.Classes[i-1].Effect != "free") && p.Late >= lateLeast {
				p.Owed = owedClass * p.Late
			}
		case "plan":
			if t.offered >= weighs*all.offered {
				p.Owed = owedPlan * p.Late
			}
		}
		j.add(name, p.Late, "of worth offered, by the late-seeing policy")
	}
}
