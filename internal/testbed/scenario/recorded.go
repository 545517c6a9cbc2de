package scenario

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
)

// columns of a recording of arrivals, in this order.
var columns = []string{"at_ms", "account", "plan", "class", "units", "true_units", "work_ms"}

// readArrivals takes recorded arrivals in place of drawn ones. A customer's set is drawn.
func (d *Day) readArrivals(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if len(rows) == 0 || !slices.Equal(rows[0], columns) {
		return fmt.Errorf("%s: the first line is not %v", path, columns)
	}
	rng, seen := rngFor(d.Seed, "recorded"), map[string]int{}
	for i, row := range rows[1:] {
		a, plan, err := d.readArrival(row)
		if err != nil {
			return fmt.Errorf("%s: line %d: %w", path, i+2, err)
		}
		n, ok := seen[row[1]]
		if !ok {
			n, seen[row[1]] = len(d.Customers), len(d.Customers)
			id, err := strconv.ParseUint(row[1], 16, 33)
			if err != nil {
				return fmt.Errorf("%s: line %d: account: %w", path, i+2, err)
			}
			d.addCustomer(rng, plan, d.File.Plan[plan], d.File.Load.Skew.draw(rng), span(d.File.Load.ShiftS.draw(rng)))
			d.Customers[n].ID = id
		}
		a.Customer, a.Seed = n, rng.Uint64()
		d.Arrivals = append(d.Arrivals, a)
	}
	slices.SortStableFunc(d.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return nil
}

func (d *Day) readArrival(row []string) (a Arrival, plan int, err error) {
	at, err1 := strconv.ParseFloat(row[0], 64)
	plan = slices.IndexFunc(d.Plans, func(p DayPlan) bool { return p.Name == row[2] })
	a.Class = slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == row[3] })
	units, err2 := strconv.Atoi(row[4])
	real, err3 := strconv.Atoi(row[5])
	work, err4 := strconv.ParseFloat(row[6], 64)
	a.At, a.Units, a.True, a.Work = spanMS(at), units, real, spanMS(work)
	switch {
	case cmp.Or(err1, err2, err3, err4) != nil:
		return a, plan, cmp.Or(err1, err2, err3, err4)
	case plan < 0 || a.Class < 0:
		return a, plan, fmt.Errorf("plan %q or class %q is not in the scenario", row[2], row[3])
	case units < 1 || real < 1 || !(work > 0 && work < 1e6) || !(at >= 0 && at < 1e9):
		return a, plan, fmt.Errorf("a figure is out of range in %v", row)
	}
	return a, plan, nil
}
