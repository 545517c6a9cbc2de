package request

import (
	"context"
	"math"

	"sloestile/control"
	"sloestile/internal/testbed/scale"
)

// groupWarm is how many requests a node sends, for each factor of ten of the group, until its bound on
// requests in flight, which begins at its part of the group's, has grown to what its rate needs.
const groupWarm = 9000

// groups measures a node's own view of the number of nodes.
func groups() scale.Sweep {
	return scale.Sweep{Name: "group", Dimension: "nodes in the group, as control is told", Target: targetNodes,
		Sizes: []int{10, 100, 1000, 5800, 11600}, Quick: []int{10, 1000},
		Costs: []scale.Cost{
			{Name: "group/request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Timed: true},
			{Name: "group/list-change-cpu", Unit: scale.Microseconds, Budget: listChangeBudget, Timed: true},
		},
		Measure: measureGroup}
}

func measureGroup(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	s := standard(serversHeld, seed)
	s.group = size
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	if err := f.run(ctx, int(groupWarm*math.Log10(float64(size))), requestsFor(serversHeld)); err != nil {
		return nil, err
	}
	cpu, err := f.recording.Costs(ctx)
	if err != nil {
		return nil, err
	}
	f.settle()
	change, err := f.listChange(ctx)
	return []scale.Reading{{Cost: "group/request-cpu", Value: cpu.request}, {Cost: "group/list-change-cpu", Value: change}}, err
}

// listChange gives the CPU time of one changed entry, in us: servers drain and come back.
func (f *fleet) listChange(ctx context.Context) (float64, error) {
	changes := changesFor(len(f.list.Endpoints))
	now := f.clock.Now()
	took, err := scale.LeastCPU(ctx, runsMost, runsTime, func() func() {
		return func() {
			for i := range changes {
				entry := f.list.Endpoints[i/2%len(f.list.Endpoints)]
				if i%2 == 0 {
					entry.Condition = control.Draining
				}
				f.node.control.Handle(now, control.EndpointUpdate{Kind: control.Delta, Endpoints: []control.Endpoint{entry}})
			}
		}
	})
	return microseconds(took) / float64(changes), err
}

// zones measures a request where attempts at other zones have a price, one zone is closed and one is
// avoided in part.
func zones() scale.Sweep {
	return scale.Sweep{Name: "zones", Dimension: "zones of the servers", Target: targetZones,
		Sizes: []int{1, 3, 17, 100}, Quick: []int{1, 100},
		Costs:   []scale.Cost{{Name: "zones/request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Timed: true}},
		Measure: measureZones}
}

func measureZones(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	s := standard(serversHeld, seed)
	s.zones = size
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	f.node.Handle(zoneRules(size))
	if size > 2 {
		f.node.Handle(control.ZoneEvacuation{Evacuated: map[string]float64{zone(2, size): 0.5}})
	}
	requests := requestsFor(serversHeld)
	if err := f.run(ctx, requests, requests); err != nil {
		return nil, err
	}
	cpu, err := f.recording.Costs(ctx)
	return []scale.Reading{{Cost: "zones/request-cpu", Value: cpu.request}}, err
}

// zoneRules gives rules with a price for each zone, and one zone closed where there are others.
func zoneRules(zones int) control.Rules {
	rules := control.Rules{Version: 1, CrossZoneCost: make(map[string]float64, zones)}
	for i := range zones {
		rules.CrossZoneCost[zone(i, zones)] = 0.01
	}
	if zones > 1 {
		rules.ClosedZones = []string{zone(1, zones)}
	}
	return rules
}
