package request

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"sloestile/control"
	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
	"sloestile/internal/testbed/scale"
)

// restarts measures what a node that starts with nothing fetches, and the CPU time until its first send.
func restarts() scale.Sweep {
	return scale.Sweep{Name: "restart", Dimension: "servers in the whole list", Target: targetServers,
		Sizes: []int{20, 200, 2000, 20000, 85000}, Quick: []int{200, 20000},
		Costs: []scale.Cost{
			{Name: "restart/list-bytes", Unit: scale.Bytes, Exponent: 1},
			{Name: "restart/decode-cpu", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
			{Name: "restart/plain-first-send-cpu", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
			{Name: "restart/subset-first-send-cpu", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
		},
		Measure: measureRestart}
}

func measureRestart(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	raw, err := json.Marshal(listing(servers(size), true))
	if err != nil {
		return nil, err
	}
	request := NewLoad(targetRate, 1, 1, seed).next()
	readings := []scale.Reading{{Cost: "restart/list-bytes", Value: float64(len(raw))}}
	for _, step := range []struct {
		cost string
		do   func() error
	}{
		{"restart/decode-cpu", func() error { _, err := decoded(raw); return err }},
		{"restart/plain-first-send-cpu", func() error { return firstSend(raw, size, seed, request, wholeList) }},
		{"restart/subset-first-send-cpu", func() error { return firstSend(raw, size, seed, request, subsetOf) }},
	} {
		var failed error
		took, err := scale.LeastCPU(ctx, runsMost, runsTime, func() func() {
			return func() {
				if err := step.do(); err != nil {
					failed = err
				}
			}
		})
		if err != nil || failed != nil {
			return nil, fmt.Errorf("%s: %w", step.cost, first(failed, err))
		}
		readings = append(readings, scale.Reading{Cost: step.cost, Value: microseconds(took) / 1000})
	}
	return readings, nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// decoded reads a list that discovery sent.
func decoded(raw []byte) ([]subset.Server, error) {
	var l discovery.Update
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&l); err != nil {
		return nil, err
	}
	if err := l.Check(); err != nil {
		return nil, err
	}
	all := make([]subset.Server, len(l.Targets))
	for i, t := range l.Targets {
		all[i] = subset.Server{ID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Model: t.Model, Group: t.Group, Capacity: t.Capacity,
			State: state(t.Status())}
	}
	return all, nil
}

// state is what the subset is told of a server's status.
func state(s discovery.Status) subset.State {
	switch s {
	case discovery.Available:
		return subset.Available
	case discovery.Removed:
		return subset.Removed
	}
	return subset.Draining
}

// firstSend starts a controller with a list and has it send one request.
func firstSend(raw []byte, size int, seed uint64, request control.Request, choose choice) error {
	all, err := decoded(raw)
	if err != nil {
		return err
	}
	k, err := choose(all, nodesFor(size))
	if err != nil {
		return err
	}
	set, err := Settings(nodesFor(size))
	if err != nil {
		return err
	}
	c, err := control.New(set, seed)
	if err != nil {
		return err
	}
	c.Handle(start, k.list)
	for _, a := range c.Handle(start, request) {
		if _, ok := a.(control.Send); ok {
			return nil
		}
	}
	return fmt.Errorf("hollow node: with %d servers its first request was not sent; that is a fault of the sweep", len(all))
}
