package request

import (
	"context"
	"strconv"

	"sloestile/control"
	"sloestile/internal/testbed/scale"
)

// ruleSets measures rule sets that give many tenants a quota of their own.
func ruleSets() scale.Sweep {
	return scale.Sweep{Name: "rules", Dimension: "tenants' factors in a rule set", Target: 84000,
		Sizes: []int{100, 1000, 10000, 84000}, Quick: []int{100, 10000},
		Costs: []scale.Cost{
			// A set is put in force for the tenants that the node knows, not for those that it names.
			{Name: "rules/activation-cpu", Unit: scale.Microseconds, Timed: true},
			{Name: "rules/request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Timed: true},
			{Name: "rules/heap", Unit: scale.Bytes, Budget: heapBudget, Exponent: 1, Slack: heapSlack},
		},
		Measure: measureRules}
}

func measureRules(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	f, err := newFleet(standard(serversHeld, seed))
	if err != nil {
		return nil, err
	}
	heap := scale.HeapOf(func() any { return factors(1, size) })
	f.node.Handle(factors(1, size))
	requests := requestsFor(serversHeld)
	if err := f.run(ctx, 4*requests, requests); err != nil {
		return nil, err
	}
	cpu, err := f.recording.Costs(ctx)
	if err != nil {
		return nil, err
	}
	f.settle()
	version := uint64(1)
	took, err := scale.LeastCPU(ctx, runsMost, runsTime, func() func() {
		version++
		rules := factors(version, size)
		return func() { f.node.control.Handle(f.clock.Now(), rules) }
	})
	return []scale.Reading{{Cost: "rules/activation-cpu", Value: microseconds(took)},
		{Cost: "rules/request-cpu", Value: cpu.request}, {Cost: "rules/heap", Value: heap}}, err
}

// factors gives a rule set with a factor for each of so many tenants, those of the load first.
func factors(version uint64, tenants int) control.Rules {
	rules := control.Rules{Version: version, TenantQuotaFactor: make(map[string]float64, tenants)}
	for i := range tenants {
		plan := "basic"
		if i%8 == 0 {
			plan = "premium"
		}
		rules.TenantQuotaFactor[plan+" tenant-"+strconv.Itoa(i)] = 1 + float64(version%7)/8
	}
	return rules
}
