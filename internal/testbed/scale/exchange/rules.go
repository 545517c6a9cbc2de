package exchange

import (
	"context"
	"fmt"
	"time"

	"sloestile/fleet/rules"
	"sloestile/internal/testbed/scale"
	"sloestile/internal/testbed/scenario"
	"sloestile/internal/testbed/virtual"
)

const (
	// virtualOverhead is what internal/testbed/virtual adds to each message.
	virtualOverhead = 28 + 1
	// ruleOverhead is what is missing in it: the library's label and checksum, and the kind of the message.
	ruleOverhead = float64(datagramOverhead + 1 - virtualOverhead)
	inForceMost  = 7000.0 // ms in which a change has to be in force everywhere
)

// ruleNodes measures the leases on rule sets and the activation of one, by the number of edge nodes.
func ruleNodes() scale.Sweep {
	costs := ruleCosts("rules-nodes/")
	// The leader answers as many relays as the root of all nodes.
	costs.busiest.Exponent = 0.5
	return scale.Sweep{Name: "rules-nodes", Dimension: "edge nodes, in 17 zones and 5 regions", Target: targetNodes,
		Sizes: []int{10, 60, 300, 1000, 3000, 5800}, Quick: []int{24, 60, 240}, Costs: costs.costs(),
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			return measureRules(ctx, costs, size, targetZones, targetRegions, seed)
		}}
}

type ruleFigures struct{ messages, bytes, busiest, p50, p99, all scale.Cost }

func ruleCosts(prefix string) ruleFigures {
	return ruleFigures{
		messages: scale.Cost{Name: prefix + "messages", Unit: scale.PerSecond, Exponent: 0.1},
		bytes:    scale.Cost{Name: prefix + "bytes", Unit: scale.BytesPerSecond, Budget: budgetBytes, Exponent: 0.1},
		busiest:  scale.Cost{Name: prefix + "busiest-messages", Unit: scale.PerSecond, Slack: 1.5},
		p50:      scale.Cost{Name: prefix + "in-force-p50", Unit: scale.Milliseconds, Budget: inForceMost, Exponent: 0.15},
		p99:      scale.Cost{Name: prefix + "in-force-p99", Unit: scale.Milliseconds, Budget: inForceMost, Exponent: 0.15},
		all:      scale.Cost{Name: prefix + "in-force-max", Unit: scale.Milliseconds, Budget: inForceMost, Exponent: 0.15},
	}
}

func (r *ruleFigures) costs() []scale.Cost {
	return []scale.Cost{r.messages, r.bytes, r.busiest, r.p50, r.p99, r.all}
}

// measureRules runs activations in virtual time. The run cannot be stopped; the context is asked before.
func measureRules(ctx context.Context, costs ruleFigures, nodes, zones, regions int, seed uint64) ([]scale.Reading, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	f := virtual.RunRules(fleetOf(nodes, zones, regions, seed), rules.Overlap, 0)
	if wrong := f.Get("wrong"); wrong != 0 {
		return nil, fmt.Errorf("%d nodes: %g requests by a version that was not in force", nodes, wrong)
	}
	messages := f.Get("messages")
	return readings(costs.costs(), []float64{messages, f.Get("bytes") + messages*ruleOverhead, f.Get("busiest"),
		f.Get("in_force_p50"), f.Get("in_force_p99"), f.Get("in_force_all")}), nil
}

// fleetOf is a fleet without servers, clients and faults, for runs of what nodes tell each other.
func fleetOf(nodes, zones, regions int, seed uint64) *scenario.Day {
	d := &scenario.Day{Name: "scale", Seed: seed, Length: time.Second}
	for z := range zones {
		d.Zones = append(d.Zones, scenario.Zone{Name: memberZone(z), Region: z % regions})
	}
	for i := range nodes {
		d.Nodes = append(d.Nodes, scenario.Node{Name: memberName(i), Zone: i % zones})
	}
	d.Link.Same, d.Link.Cross, d.Link.Far = nearLink/2, nearLink, farLink
	return d
}
