package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Options say what a run measures and what it may use.
type Options struct {
	Quick    bool
	Seeds    []uint64
	Only     []string      // names of sweeps and events; none is all
	Most     time.Duration // that the run may take
	Progress func(what string)
	Stopped  func(why error) // told at once where the run ends itself
	memory   func() (Memory, error)
}

// Result is what a run measured. A run that was stopped keeps what it had by then.
type Result struct {
	Quick    bool
	Seeds    []uint64
	Took     time.Duration
	Times    map[string]time.Duration // that each sweep and event took
	Series   []*Series
	Events   []*EventFigure
	Breaches []Breach
	Late     error // a generator in real time was late: the run does not count
	Stopped  error // the run ended before its time
}

// UnknownError says that a sweep or an event was asked for that there is not.
type UnknownError struct {
	Name  string
	Known []string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("no sweep or event is named %q; there are %v", e.Name, e.Known)
}

// ReadingsError says that a sweep or an event gave other readings than those it declares.
type ReadingsError struct {
	Name string
	Text string
}

func (e *ReadingsError) Error() string {
	return fmt.Sprintf("%s: its readings: %s; mend the sweep", e.Name, e.Text)
}

// Run measures sweeps and events one after another, so that none takes time from another. An error
// is that something could not be measured; that a run was stopped or late is in its result.
func Run(ctx context.Context, sweeps []Sweep, events []Event, o Options) (*Result, error) {
	if err := check(sweeps, events, o.Only); err != nil {
		return nil, err
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if o.memory == nil {
		o.memory = ReadMemory
	}
	if err := watch(ctx, end, o.memory); err != nil {
		return nil, err
	}
	begun := time.Now()
	limit := time.AfterFunc(o.Most, func() {
		end(&LimitError{What: "run time", Have: o.Most.Seconds(), Max: o.Most.Seconds(), Unit: Seconds})
	})
	defer limit.Stop()
	r := &Result{Quick: o.Quick, Seeds: o.Seeds, Times: make(map[string]time.Duration)}
	err := r.all(ctx, sweeps, events, o)
	r.Took = time.Since(begun)
	if ctx.Err() != nil {
		r.Stopped = context.Cause(ctx)
		if o.Stopped != nil {
			o.Stopped(r.Stopped)
		}
		err = nil
	}
	r.judge()
	return r, err
}

func (r *Result) all(ctx context.Context, sweeps []Sweep, events []Event, o Options) error {
	for i := range sweeps {
		if !o.wanted(sweeps[i].Name) {
			continue
		}
		if err := r.timed(sweeps[i].Name, func() error { return r.sweep(ctx, &sweeps[i], o) }); err != nil {
			return err
		}
	}
	for i := range events {
		if !o.wanted(events[i].Name) {
			continue
		}
		if err := r.timed(events[i].Name, func() error { return r.event(ctx, &events[i], o) }); err != nil {
			return err
		}
	}
	return nil
}

// timed measures a sweep or an event and notes how long that took. A generator that was late is noted
// too, and the run goes on.
func (r *Result) timed(name string, measure func() error) error {
	begun := time.Now()
	err := measure()
	r.Times[name] = time.Since(begun)
	if late, ok := errors.AsType[*LateError](err); ok {
		r.Late = late
		return nil
	}
	return err
}

func (o *Options) wanted(name string) bool { return len(o.Only) == 0 || slices.Contains(o.Only, name) }

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}

// sweep measures all sizes with all seeds.
func (r *Result) sweep(ctx context.Context, s *Sweep, o Options) error {
	sizes := s.Sizes
	if o.Quick {
		sizes = s.Quick
	}
	of := make(map[string]*Series)
	for _, c := range s.Costs {
		of[c.Name] = &Series{Sweep: s.Name, Dimension: s.Dimension, Target: s.Target, Cost: c}
		r.Series = append(r.Series, of[c.Name])
	}
	defer func() {
		for _, c := range s.Costs {
			of[c.Name].Fit = FitPoints(of[c.Name].Points)
		}
	}()
	for _, seed := range o.Seeds {
		for _, size := range sizes {
			o.progress("%s: %d, seed %d", s.Name, size, seed)
			readings, err := s.point(ctx, size, seed)
			if err != nil {
				return fmt.Errorf("%s at %d, seed %d: %w", s.Name, size, seed, err)
			}
			for _, x := range readings {
				of[x.Cost].Points = append(of[x.Cost].Points, Point{Size: size, Seed: seed, Value: x.Value})
			}
		}
	}
	return nil
}

// lateAgain is how often a point is measured again for which the load generator was late.
const lateAgain = 3

// point measures one size with one seed.
func (s *Sweep) point(ctx context.Context, size int, seed uint64) ([]Reading, error) {
	for again := 0; ; again++ {
		readings, err := s.Measure(ctx, size, seed)
		if _, late := errors.AsType[*LateError](err); late && again < lateAgain && ctx.Err() == nil {
			continue
		}
		if err == nil {
			err = complete(s.Name, s.Costs, readings)
		}
		return readings, err
	}
}

// event measures one event with all seeds.
func (r *Result) event(ctx context.Context, e *Event, o Options) error {
	of := make(map[string]*EventFigure)
	for _, c := range e.Costs {
		of[c.Name] = &EventFigure{Event: e.Name, Cost: c}
		r.Events = append(r.Events, of[c.Name])
	}
	for _, seed := range o.Seeds {
		o.progress("%s, seed %d", e.Name, seed)
		readings, err := e.Play(ctx, o.Quick, seed)
		if err == nil {
			err = complete(e.Name, e.Costs, readings)
		}
		if err != nil {
			return fmt.Errorf("%s, seed %d: %w", e.Name, seed, err)
		}
		for _, x := range readings {
			of[x.Cost].Values = append(of[x.Cost].Values, x.Value)
		}
	}
	return nil
}

// judge holds all that was measured against what the page states.
func (r *Result) judge() {
	for _, s := range r.Series {
		if b, ok := s.Guard(r.Quick); !ok {
			r.Breaches = append(r.Breaches, b)
		}
	}
	for _, e := range r.Events {
		if b, ok := e.Guard(r.Quick); !ok {
			r.Breaches = append(r.Breaches, b)
		}
	}
}

// Passed reports whether the run counts, is whole and found nothing above what the page states.
func (r *Result) Passed() bool {
	return r.Late == nil && r.Stopped == nil && len(r.Breaches) == 0
}

// Last is the line that ends a run's report.
func (r *Result) Last() string {
	switch {
	case r.Stopped != nil:
		return fmt.Sprintf("FAIL scale: stopped after %v: %v", r.Took.Round(time.Second), r.Stopped)
	case r.Late != nil:
		return fmt.Sprintf("FAIL scale: void: %v", r.Late)
	case len(r.Breaches) > 0:
		return fmt.Sprintf("FAIL scale: %v", r.Breaches[0])
	}
	form := "full"
	if r.Quick {
		form = "quick"
	}
	return fmt.Sprintf("PASS scale: %s, %d costs and %d figures of events, %d seeds, %v, none grows more than is stated", form,
		len(r.Series), len(r.Events), len(r.Seeds), r.Took.Round(time.Second))
}
