package request

import (
	"context"
	"math/rand/v2"

	"sloestile/control"
	"sloestile/internal/testbed/scale"
)

// fewServers keeps a request cheap where there are very many of them.
const fewServers = 20

// tenantsBound is the most that a node may hold for its tenants, whatever their number.
const tenantsBound = heapBudget / 4

// tenants measures a node that has seen many tenants, each at the node's own rate.
func tenants() scale.Sweep {
	return scale.Sweep{Name: "tenants", Dimension: "tenants seen by a node", Target: 470000,
		Sizes: []int{1000, 10000, 100000, 470000}, Quick: []int{1000, 30000},
		Costs: []scale.Cost{
			// Tenants are remembered up to a bound: below it a heap grows with them, above it not.
			{Name: "tenants/heap", Unit: scale.Bytes, Budget: heapBudget, Exponent: 0.5, Slack: 20, Bound: tenantsBound},
			{Name: "tenants/request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Timed: true},
			{Name: "tenants/unbounded-heap", Unit: scale.Bytes, Budget: heapBudget, Exponent: 0.5, Slack: 20},
			{Name: "tenants/unbounded-request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Timed: true},
		},
		Measure: measureTenants}
}

func measureTenants(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	heap, cpu, err := tenantCosts(ctx, size, -1, seed)
	if err != nil {
		return nil, err
	}
	freeHeap, freeCPU, err := tenantCosts(ctx, size, 0, seed)
	return []scale.Reading{{Cost: "tenants/heap", Value: heap}, {Cost: "tenants/request-cpu", Value: cpu},
		{Cost: "tenants/unbounded-heap", Value: freeHeap}, {Cost: "tenants/unbounded-request-cpu", Value: freeCPU}}, err
}

// tenantCosts has each tenant seen once, in a drawn order, and then gives the heap of the node's
// controller and the CPU time of a request, in us. customers is what the node may remember: below 0
// as the program has it from its memory, 0 is not told.
func tenantCosts(ctx context.Context, size, customers int, seed uint64) (heap, cpu float64, err error) {
	s := standard(fewServers, seed)
	s.tenants, s.customers = size, customers
	f, err := newFleet(s)
	if err != nil {
		return 0, 0, err
	}
	order := rand.New(rand.NewPCG(seed, 0x6f72646572)).Perm(size)
	seen := 0
	each := func() control.Request {
		seen++
		return f.load.of(order[seen-1])
	}
	if err := f.node.Run(ctx, size, f.load.gap, each); err != nil {
		return 0, 0, err
	}
	if err := f.run(ctx, 0, requestsFor(serversHeld)); err != nil {
		return 0, 0, err
	}
	spent, err := f.recording.Costs(ctx)
	return spent.heap, spent.request, err
}
