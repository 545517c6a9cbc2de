// Package outage simulates failures and bursts of changes at the target size in virtual time: a region
// that is cut off, a hundred configuration changes in a minute, a rack or a zone that is lost, a
// restart of all nodes. It drives the code that the nodes run, in hollow nodes; links, disks,
// membership, discovery and servers are simulated, with the figures that their files state.
package outage

import (
	"context"
	"fmt"

	"sloestile/internal/testbed/scale"
)

// Events returns the events, those that cost most first.
func Events() []scale.Event {
	return []scale.Event{
		zoneLoss(),
		rackLoss(),
		zoneMembers(),
		regionCut(),
		changeBurst(),
		reconnect(),
		rollingRestart(),
		relayLoss(),
		shareLoss(),
	}
}

// figures collects the readings of an event whose costs are declared.
type figures struct {
	event    string
	readings []scale.Reading
}

func (f *figures) add(name string, value float64) {
	f.readings = append(f.readings, scale.Reading{Cost: f.event + "/" + name, Value: value})
}

// costsOf names costs after their event.
func costsOf(event string, costs ...scale.Cost) []scale.Cost {
	for i := range costs {
		costs[i].Name = event + "/" + costs[i].Name
	}
	return costs
}

// readingsOf returns what an event's simulation measured, or which event failed and why.
func readingsOf(event string, quick bool, simulate func(f fleetSize, out *figures) error) ([]scale.Reading, error) {
	out := &figures{event: event}
	if err := simulate(sizeOf(quick), out); err != nil {
		return nil, &FailedError{Event: event, Err: err}
	}
	return out.readings, nil
}

// FailedError is that an event could not be simulated to its end.
type FailedError struct {
	Event string
	Err   error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("event %s was not simulated: %v; run it alone, with more time", e.Event, e.Err)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Err }

// measure gives an event its simulation.
func measure(event string, simulate func(ctx context.Context, f fleetSize, seed uint64, out *figures) error) func(context.Context, bool, uint64) ([]scale.Reading, error) {
	return func(ctx context.Context, quick bool, seed uint64) ([]scale.Reading, error) {
		return readingsOf(event, quick, func(f fleetSize, out *figures) error { return simulate(ctx, f, seed, out) })
	}
}
