package request

import (
	"context"
	"math"
	"slices"
	"time"

	"sloestile/internal/testbed/scale"
)

// serversHeld is how many servers a node knows where another dimension is swept.
const serversHeld = 200

// The measured part of a run at some rate lasts so long in virtual time, at least and at most.
const (
	shortSegment = 2 * time.Second
	longSegment  = 12 * time.Second
	fewRequests  = 500
)

// rates measures a node at several rates of requests.
func rates() scale.Sweep {
	return scale.Sweep{Name: "rate", Dimension: "requests a second at a node", Target: targetRate,
		Sizes: []int{1, 10, 100, 534, 2000}, Quick: []int{20, 2000},
		Costs: []scale.Cost{
			// The budget is of all control at an edge node.
			{Name: "rate/core", Unit: scale.CorePercent, Budget: coreBudget, Exponent: 1, Timed: true},
			{Name: "rate/request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Timed: true},
			{Name: "rate/added-p50", Unit: scale.Milliseconds, Budget: addedBudget},
			{Name: "rate/added-p99", Unit: scale.Milliseconds, Budget: addedBudget},
		},
		Measure: measureRate}
}

func measureRate(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	s := standard(serversHeld, seed)
	s.rate = float64(size)
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	lasts := min(longSegment, max(shortSegment, time.Duration(fewRequests/s.rate*float64(time.Second))))
	each := max(1, int(s.rate*lasts.Seconds()))
	if err := f.run(ctx, 2*each, each); err != nil {
		return nil, err
	}
	waits := f.node.counts.Waits
	cpu, err := f.recording.Costs(ctx)
	const percent = 100 / 1e6 // us a second in percent of a core
	return []scale.Reading{{Cost: "rate/core", Value: cpu.second * percent}, {Cost: "rate/request-cpu", Value: cpu.request},
		{Cost: "rate/added-p50", Value: quantile(waits, 0.5)}, {Cost: "rate/added-p99", Value: quantile(waits, 0.99)}}, err
}

// quantile gives a quantile of spans in ms; there is one at least.
func quantile(spans []time.Duration, q float64) float64 {
	sorted := slices.Sorted(slices.Values(spans))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return float64(sorted[max(i, 0)]) / float64(time.Millisecond)
}
