package report

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// served is the book of a play in which the first try of each arrival that ok holds for is served at
// once, and all others are refused.
func served(d *scenario.Day, ok func(scenario.Arrival) bool) *record.Book {
	b := record.NewBook()
	for i, a := range d.Arrivals {
		t := &record.Try{ID: "x", Arrival: i, Customer: a.Customer, Class: a.Class, Due: a.At, Sent: a.At, Ended: a.At + time.Millisecond,
			End: record.Answered, Status: 503, Advice: true}
		if ok(a) {
			t.Status, t.Genuine, t.Inside = 200, true, true
		}
		b.Order = append(b.Order, t)
	}
	return b
}

// Each class is owed half of what the late-seeing policy serves of it, each plan a third, and each third
// of the day three tenths or what its gate says; on a day
// that the policy's world does not have, nothing is owed and the report says so.
func TestGateHoldsWhatEachClassAndPlanIsOwed(t *testing.T) {
	read := func(set ...string) *scenario.Day {
		f, err := scenario.Read("../../../scenarios/calm.toml", append([]string{"seconds = 6", "load.heavy = 0", "load.spiky = 0",
			"load.full = 0", "gate.served = 0", "gate.worst_class = 0"}, set...)...)
		require.NoError(t, err)
		d, err := f.Draw(7)
		require.NoError(t, err)
		return d
	}
	d := read()
	// Of class 2, as of plan 0, the part is served that the seed of an arrival draws.
	of := func(part float64, x func(scenario.Arrival) bool) func(scenario.Arrival) bool {
		return func(a scenario.Arrival) bool { return !x(a) || float64(a.Seed%1000) < 1000*part }
	}
	class := func(a scenario.Arrival) bool { return a.Class == 2 }
	third := func(a scenario.Arrival) bool { return a.At >= d.Length/3 && a.At < d.Length*2/3 }
	plan := func(a scenario.Arrival) bool { return d.Customers[a.Customer].Plan == 0 }
	for _, x := range []struct {
		name, want string
		ok         func(scenario.Arrival) bool
	}{
		{"all", "", of(1, class)}, {"four tenths of a class", "class charge-post: ", of(0.4, class)}, {"six tenths of a class", "", of(0.6, class)},
		{"four tenths of a plan", "", of(0.4, plan)}, {"a quarter of a plan", "plan basic: ", of(0.25, plan)},
		{"a fifth of a third", "third 2: ", of(0.2, third)}, {"four tenths of a third", "", of(0.4, third)},
	} {
		v := judge.Judge(d, served(d, x.ok))
		failed := Gate(d.File.Gate, v)
		assert.True(t, strings.HasPrefix(failed, x.want) && (failed == "") == (x.want == ""), "%s: %q", x.name, failed)
		assert.InDelta(t, 0.95, v.Figures.Get("late_served"), 0.05)
	}
	for part, failed := range map[float64]bool{0.4: true, 0.6: false} {
		d = read("gate.third = 0.5") // as on a soak
		assert.Equal(t, failed, strings.HasPrefix(Gate(d.File.Gate, judge.Judge(d, served(d, of(part, third)))), "third 2: "), "%v of a third", part)
	}
	d = read("fault = [{kind = \"reset\", at_s = 2, share = 0.5}]")
	v := judge.Judge(d, served(d, of(0, class)))
	assert.Contains(t, v.NoReference, `no fault of kind "reset"`)
	assert.Empty(t, Gate(d.File.Gate, v))
	var out strings.Builder
	Table(&out, d, v)
	assert.Contains(t, out.String(), "no late-seeing policy for this day")
}
