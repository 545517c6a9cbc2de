package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"sloestile/internal/testbed/scale"
	"sloestile/internal/testbed/scale/exchange"
	"sloestile/internal/testbed/scale/outage"
	"sloestile/internal/testbed/scale/process"
	"sloestile/internal/testbed/scale/request"
)

// Run times after which the tool stops itself where no other is given. The quick form takes under 30 s on a quiet machine of
// 8 cores.
const (
	quickLimit = 58 * time.Second
	fullLimit  = 15 * time.Minute
)

type scaleCmd struct {
	Quick     bool          `help:"Measure smaller sizes, and guard growth by ratios within the run; ends within half a minute on a quiet machine."`
	Seeds     string        `help:"Seeds, as 1..5; 1..3 in the full form and 1 in the quick one." default:""`
	Only      []string      `help:"Measure these sweeps and events only." placeholder:"NAME"`
	Most      time.Duration `help:"The run time after which the tool stops itself; 58s in the quick form and 15m in the full one where none is given."`
	JSON      string        `help:"Write every figure to this file." type:"path"`
	Processes bool          `help:"Measure real processes too, in real time: for a quiet machine, as one where the load generator is late does not count."`
	Root      string        `help:"Folder of the program's deploy file, for real processes." default:"." type:"existingdir"`
	Report    string        `help:"Draw each cost over its size into this folder." type:"path"`
}

// sweeps are all that the command measures.
func sweeps() []scale.Sweep {
	return slices.Concat(request.Sweeps(), exchange.Sweeps())
}

// events are all that the command lets happen at the target size.
func events() []scale.Event {
	return outage.Events()
}

// Run measures how costs grow and holds the growth against what docs/CAPACITY.md states.
func (s *scaleCmd) Run(ctx context.Context) error {
	o, err := s.options()
	if err != nil {
		return err
	}
	if s.divides() {
		return s.runParts(ctx)
	}
	all := sweeps()
	if s.Processes {
		d, err := (&common{}).deploy(ctx, s.Root, false)
		if err != nil {
			return err
		}
		all = append(all, process.Sweeps(d)...)
	}
	r, err := scale.Run(ctx, all, events(), o)
	if err != nil {
		return err
	}
	say("")
	if err := s.report(r); err != nil {
		return err
	}
	fmt.Println(r.Last())
	if !r.Passed() {
		return errFailed
	}
	return nil
}

// options gives what the flags ask for.
func (s *scaleCmd) options() (scale.Options, error) {
	o := scale.Options{Quick: s.Quick, Only: s.Only, Most: s.limit(), Progress: say,
		Stopped: func(why error) { fmt.Fprintln(os.Stderr, "\nfleetlab scale: stopped:", why) }}
	seeds := s.Seeds
	if s.Quick && seeds == "" {
		seeds = "1"
	}
	if seeds == "" {
		seeds = "1..3"
	}
	from, to, err := span(seeds)
	for seed := from; err == nil && seed <= to; seed++ {
		o.Seeds = append(o.Seeds, seed)
	}
	return o, err
}

// limit returns the run time after which the tool stops itself.
func (s *scaleCmd) limit() time.Duration {
	switch {
	case s.Most > 0:
		return s.Most
	case s.Quick:
		return quickLimit
	}
	return fullLimit
}

// report writes the table, and the files that are asked for.
func (s *scaleCmd) report(r *scale.Result) error {
	if err := r.Table(os.Stdout); err != nil {
		return err
	}
	if s.JSON != "" {
		if err := r.JSON(s.JSON); err != nil {
			return err
		}
	}
	if s.Report != "" {
		return r.Plots(s.Report)
	}
	return nil
}
