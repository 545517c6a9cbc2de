package request

import (
	"context"
	"time"

	"sloestile/control"
)

// fleet is one hollow node with its servers, its clients and what its controller was told.
type fleet struct {
	node      *Node
	clock     *Clock
	load      *Load
	recording *Recording
	list      control.EndpointUpdate // that the controller was told first
}

// shape is what a fleet is made of; every sweep changes one field of the standard one.
type shape struct {
	servers, group, zones, tenants int
	rate                           float64
	customers                      int                     // that the node may remember; below 0 is as the program has it
	list                           *control.EndpointUpdate // that the controller is told; nil is all servers
	seed                           uint64
}

// standard is a node of the target that knows so many servers, with as many nodes as share them.
func standard(servers int, seed uint64) shape {
	return shape{servers: servers, group: nodesFor(servers), zones: targetZones, tenants: tenantsHeld, rate: targetRate,
		customers: -1, seed: seed}
}

const (
	// spreadMost is the number of gateways that a tenant comes through at most. Where there are many
	// more, control refuses a part of the first requests of tenants of whom it has not read the use.
	spreadMost = 4
	segments   = 5 // of the measured part of a run
)

// newFleet makes a fleet, tells its node the list and records all.
func newFleet(s shape) (*fleet, error) {
	set, err := Settings(s.group)
	if err != nil {
		return nil, err
	}
	if s.customers >= 0 {
		set.MaxTenants = s.customers
	}
	f := &fleet{clock: NewClock(start), load: NewLoad(s.rate, s.tenants, min(s.group, spreadMost), s.seed),
		recording: &Recording{settings: set, seed: s.seed}}
	if f.list = (control.EndpointUpdate{Kind: control.Complete}); s.list != nil {
		f.list = *s.list
	} else {
		f.list.Endpoints = members(s.servers, s.zones)
	}
	f.node, err = NewNode(set, s.seed, f.clock, NewModel(s.seed), quotaUsed)
	if err != nil {
		return nil, err
	}
	f.node.Record(f.recording)
	f.node.List(f.list)
	return f, nil
}

// run sends warm requests and then those of each segment, and checks that they were served.
func (f *fleet) run(ctx context.Context, warm, each int) error {
	if err := f.node.Run(ctx, warm, f.load.gap, f.load.next); err != nil {
		return err
	}
	f.node.ResetCounts()
	for range segments {
		f.recording.Mark(f.clock.Now())
		if err := f.node.Run(ctx, each, f.load.gap, f.load.next); err != nil {
			return err
		}
	}
	f.recording.Mark(f.clock.Now())
	return f.node.counts.served()
}

// settle lets all requests end, outside of what is measured.
func (f *fleet) settle() {
	f.node.Record(nil)
	f.clock.Run(f.clock.Now() + 5*time.Second)
}

// requestsFor is how many requests a segment has where a request costs in proportion to the servers:
// enough to average over, and no more than fits its time.
func requestsFor(servers int) int { return min(500, max(40, 2_000_000/max(servers, 1))) }
