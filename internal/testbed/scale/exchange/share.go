package exchange

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"sloestile/internal/testbed/scale"
)

const (
	nodesRate   = 9.0 // requests a second and node, where the nodes are swept
	rateNodes   = 60  // where the rate or the tenants are swept
	tenantsRate = 100.0
	measured    = time.Second // of virtual time, after the warming up
)

// shareNodes measures the shared limits by the number of edge nodes, at a fixed rate of requests. Its heap
// is that of the tenants of some seconds; shareRate has those of a long run.
func shareNodes(p plant) scale.Sweep {
	costs := shareCosts("share-nodes/")
	// Flat from some 300 nodes on; below, tenants' sets are smaller than 60 and the relay has fewer groups.
	costs.messages.Exponent, costs.bytesOut.Exponent, costs.bytesIn.Exponent, costs.relayed.Exponent = 0.1, 0.15, 0.15, 0.3
	// A relay sends to as many nodes as the root of all, and hears of more tenants until sets are 60.
	costs.busiest.Exponent = 0.7
	// A part that is constant, and 17 bytes and some work for each node that there is.
	costs.heap.Exponent, costs.live.Exponent = 0.5, 0.5
	costs.messageCPU.Exponent, costs.cpu.Exponent = 0.15, 0.2
	return scale.Sweep{Name: "share-nodes", Dimension: "edge nodes, each with 9 requests a second, tenants' sets of 60",
		Target: targetNodes, Sizes: []int{10, 60, 300, 1000, 5800, 11600}, Quick: []int{60, 300, 600}, Costs: costs.all(),
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			cfg := fleetConfig{nodes: size, tenants: tenantsFor(size, nodesRate), rate: nodesRate, warm: warmUp, measure: measured, seed: seed, plant: p}
			return measureShare(ctx, cfg, costs)
		}}
}

// shareRate measures them by the rate of requests, over a fleet of one size, with tenants in proportion.
func shareRate(p plant) scale.Sweep {
	costs := shareCosts("share-rate/")
	// Each use is told to its owner. Messages grow less than requests, as more uses go in one.
	costs.messages.Exponent, costs.bytesOut.Exponent, costs.bytesIn.Exponent, costs.relayed.Exponent = 0.7, 0.85, 0.85, 0.85
	costs.busiest.Exponent, costs.messageCPU.Exponent, costs.cpu.Exponent = 0.8, 0.15, 0.9
	costs.heap.Exponent, costs.live.Exponent = 0.8, 0.6
	return scale.Sweep{Name: "share-rate", Dimension: "requests a second and node, among 60 nodes",
		Target: targetRate, Sizes: []int{1, 10, 100, 534, 1000, 2000}, Quick: []int{1, 10, 30, 100}, Costs: costs.all(),
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			cfg := fleetConfig{nodes: rateNodes, tenants: tenantsFor(rateNodes, float64(size)), rate: float64(size), fill: remembered, warm: warmUp, measure: measured, seed: seed, plant: p}
			return measureShare(ctx, cfg, costs)
		}}
}

// shareTenants measures them by the number of active tenants, with all else held.
func shareTenants(p plant) scale.Sweep {
	costs := shareCosts("share-tenants/")
	// A node remembers who sent of late, which its rate of requests bounds. A change of members has the owner
	// of each token bucket held here looked for again.
	costs.heap.Exponent, costs.live.Exponent = 0.35, 0.7
	return scale.Sweep{Name: "share-tenants", Dimension: "tenants active, among 60 nodes with 100 requests a second each",
		Target: targetTenants, Sizes: []int{1000, 10_000, 100_000, 470_000}, Quick: []int{1000, 100_000}, Costs: costs.all(),
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			cfg := fleetConfig{nodes: rateNodes, tenants: size, rate: tenantsRate, fill: remembered, warm: warmUp, measure: measured, seed: seed, plant: p}
			return measureShare(ctx, cfg, costs)
		}}
}

// tenantsFor is how many tenants send so many requests at their usual rates.
func tenantsFor(nodes int, rate float64) int {
	return max(1, int(math.Round(float64(nodes)*rate/tenantRequests)))
}

// shareFigures are the costs of shared limits.
type shareFigures struct {
	messages, bytesOut, bytesIn, relayed, busiest, messageCPU, cpu, heap, live scale.Cost
}

// shareCosts are flat unless a sweep says otherwise: that is what the exchange was built for.
func shareCosts(prefix string) shareFigures {
	name := func(s string) string { return prefix + s }
	return shareFigures{
		messages:   scale.Cost{Name: name("messages"), Unit: scale.PerSecond},
		bytesOut:   scale.Cost{Name: name("bytes-out"), Unit: scale.BytesPerSecond, Budget: budgetBytes},
		bytesIn:    scale.Cost{Name: name("bytes-in"), Unit: scale.BytesPerSecond, Budget: budgetBytes},
		relayed:    scale.Cost{Name: name("relayed-bytes"), Unit: scale.BytesPerSecond, Budget: budgetBytes},
		busiest:    scale.Cost{Name: name("busiest-bytes-out"), Unit: scale.BytesPerSecond, Budget: budgetBytes, Slack: 1.5},
		messageCPU: scale.Cost{Name: name("message-cpu"), Unit: scale.Microseconds, Timed: true},
		cpu:        scale.Cost{Name: name("cpu"), Unit: scale.CorePercent, Budget: budgetCPU, Timed: true},
		heap:       scale.Cost{Name: name("heap"), Unit: scale.Bytes, Budget: budgetMemory, Slack: 2},
		live:       scale.Cost{Name: name("members-change-cpu"), Unit: scale.Microseconds, Timed: true},
	}
}

func (s *shareFigures) all() []scale.Cost {
	return []scale.Cost{s.messages, s.bytesOut, s.bytesIn, s.relayed, s.busiest, s.messageCPU, s.cpu, s.heap, s.live}
}

func measureShare(ctx context.Context, cfg fleetConfig, costs shareFigures) ([]scale.Reading, error) {
	f := newHollowFleet(ctx, cfg)
	if err := f.run(); err != nil {
		return nil, err
	}
	n, s, t := float64(cfg.nodes), cfg.measure.Seconds(), f.sum()
	heap := f.heap()
	return readings(costs.all(), []float64{t.out.messages / n / s, t.out.bytes / n / s, t.in.bytes / n / s,
		f.relayed.bytes / n / s, t.busiest / s,
		1e6 * f.messages.seconds() / (t.out.messages + t.in.messages), 100 * (f.messages.seconds() + f.requests.seconds()) / n / s,
		heap, f.timeLive()}), nil
}

// fleetTraffic is what all nodes have sent and heard, and the bytes that the busiest has sent.
type fleetTraffic struct {
	out, in traffic
	busiest float64
}

func (f *hollowFleet) sum() (t fleetTraffic) {
	for i := range f.nodes {
		n := &f.nodes[i]
		t.out.messages, t.out.bytes = t.out.messages+n.out.messages, t.out.bytes+n.out.bytes
		t.in.messages, t.in.bytes = t.in.messages+n.in.messages, t.in.bytes+n.in.bytes
		t.busiest = max(t.busiest, n.out.bytes)
	}
	return t
}

// heap is the bytes a node that the fleet holds; the load and what is on its way are not in it.
func (f *hollowFleet) heap() float64 {
	per := (scale.Heap() - f.heapFrom) / float64(len(f.nodes))
	runtime.KeepAlive(f.nodes)
	return per
}

// timeLive is the CPU time in us, in which a node takes a change of members: here one that restarted.
func (f *hollowFleet) timeLive() float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	all, rng := f.members(), rand.New(rand.NewPCG(f.seed, 1))
	spent := time.Duration(0)
	for range liveSample {
		i := rng.IntN(len(f.nodes))
		all[(i+1)%len(all)].Incarnation++
		from := threadCPU()
		f.nodes[i].SetLivePeers(f.now(i), all)
		spent += max(0, threadCPU()-from-f.messages.overhead)
	}
	return float64(spent.Microseconds()) / liveSample
}
