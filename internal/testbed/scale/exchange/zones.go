package exchange

import (
	"context"

	"sloestile/internal/testbed/scale"
)

// zoneNodes is the fleet over which zones are swept.
const zoneNodes = 340

// zones measures shared limits and rule leases by the number of zones that a fleet of one size is in.
func zones() scale.Sweep {
	const name = "share-zones/"
	share := shareCosts(name + "share-")
	rules := ruleCosts(name + "rules-")
	// The relay groups are by index and know no zones: what stays in a region is an even part of all.
	inRegion := scale.Cost{Name: name + "share-bytes-in-region", Unit: scale.BytesPerSecond}
	// The leader answers a relay of each zone at least.
	rules.busiest.Exponent = 0.5
	rules.p50.Exponent, rules.p99.Exponent, rules.all.Exponent = 0.5, 0.5, 0.5 // with one zone there is no far link
	costs := append([]scale.Cost{share.messages, share.bytesOut, share.busiest, inRegion}, rules.costs()...)
	return scale.Sweep{Name: "share-zones", Dimension: "zones, in up to 5 regions, of 340 nodes with 9 requests a second each", Target: targetZones,
		Sizes: []int{1, 3, 17, 100}, Quick: []int{3, 100}, Costs: costs,
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			regions := min(size, targetRegions)
			f := newHollowFleet(ctx, fleetConfig{nodes: zoneNodes, tenants: tenantsFor(zoneNodes, nodesRate), rate: nodesRate, zones: size,
				regions: regions, warm: warmUp, measure: measured, seed: seed})
			if err := f.run(); err != nil {
				return nil, err
			}
			s := f.sum()
			ruled, err := measureRules(ctx, rules, zoneNodes, size, regions, seed)
			per := float64(zoneNodes) * measured.Seconds()
			own := readings(costs[:4], []float64{s.out.messages / per, s.out.bytes / per, s.busiest / measured.Seconds(), (s.out.bytes - f.far.bytes) / per})
			return append(own, ruled...), err
		}}
}
