package main

import (
	"fmt"
	"os"
	"strings"

	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/maintenanceday"
	"sloestile/internal/testbed/report"
)

type workCmd struct {
	Machines []int  `help:"Sizes of the fleet, in edge nodes and rating servers together." default:"60,300"`
	Seeds    string `help:"Seeds, as 1..5." default:"21..25"`
	Steps    int    `help:"Of the search for the best order; 0 compares with the lower bound alone." default:"3000"`
	Whole    bool   `help:"Lose no zone."`
}

// Run plays the work of drawn fleets in virtual time.
func (w *workCmd) Run() error {
	from, to, err := span(w.Seeds)
	if err != nil {
		return err
	}
	broken := 0
	for _, n := range w.Machines {
		var plays []judge.Figures
		for seed := from; seed <= to; seed++ {
			d := maintenanceday.Draw(seed, n)
			if d.At = maintenanceday.Bound(d) / 2; w.Whole {
				d.Lost = ""
			}
			p, err := maintenanceday.Run(d)
			if err != nil {
				return err
			}
			if broken += len(p.Broken); len(p.Broken) > 0 {
				fmt.Fprintf(os.Stderr, "seed %d: %s\n", seed, strings.Join(p.Broken[:min(3, len(p.Broken))], "; "))
			}
			plays = append(plays, p.Figures(w.Steps))
		}
		report.Spreads(os.Stdout, fmt.Sprintf("work of %d machines, %d seeds", n, to-from+1), plays)
	}
	if broken > 0 {
		return fmt.Errorf("%d bounds broken: %w", broken, errFailed)
	}
	return nil
}
