package outage

import (
	"context"
	"math/rand/v2"
	"time"

	"sloestile/fleet/subset"
)

// The course of a loss of servers at the sample of nodes.
const (
	sampleWarm    = 4 * time.Second  // of the sample before the loss
	sampleAfter   = 10 * time.Second // of the sample after it
	noticedWithin = 3 * time.Second  // from a machine's loss until discovery lists it no more
	sampleFull    = 10               // nodes
	sampleQuick   = 3
)

// lossSample simulates the requests of a sample of nodes that lose servers at once.
type lossSample struct {
	gatewayCounts
	nodes int
}

// simulateLoss has servers lost at the sample: they answer nothing from one moment on, discovery notices it
// noticedWithin later and tells each node after its push delay.
func simulateLoss(ctx context.Context, l *serverList, nodes []int, lost []subset.Server, seed uint64) (lossSample, error) {
	w := newGatewayWorld(ctx, l.size, sampleWarm+sampleAfter, seed)
	w.counts.from = sampleWarm
	for _, node := range nodes {
		set, err := newSet(node, l.near(node))
		if err != nil {
			return lossSample{}, err
		}
		if err := w.add(l, node, set, l.size.servers); err != nil {
			return lossSample{}, err
		}
	}
	w.after(sampleWarm, func() {
		for _, s := range lost {
			w.gone[s.ID] = true
		}
	})
	delta := removed(lost)
	var failed error
	for _, g := range w.gateways {
		w.after(sampleWarm+noticedWithin+pushDelay(w.rng), func() {
			if err := g.apply(delta, l.size.servers-len(lost)); err != nil {
				failed = err
			}
		})
	}
	if err := w.run(); err != nil {
		return lossSample{}, err
	}
	return lossSample{w.counts, len(nodes)}, failed
}

// perNode returns a count of the sample for one node in the mean.
func (s *lossSample) perNode(count int) float64 { return float64(count) / float64(max(1, s.nodes)) }

// pushDelays draws the delay of each node, in seconds.
func pushDelays(nodes int, rng *rand.Rand) []float64 {
	out := make([]float64, nodes)
	for i := range out {
		out[i] = pushDelay(rng).Seconds()
	}
	return out
}

// pick draws a number of different elements.
func pick[T any](rng *rand.Rand, from []T, count int) []T {
	out := make([]T, 0, count)
	for _, i := range rng.Perm(len(from))[:min(count, len(from))] {
		out = append(out, from[i])
	}
	return out
}

// sampleSize returns how many nodes the sample of an event has.
func sampleSize(f fleetSize) int {
	if f == quickSize {
		return sampleQuick
	}
	return sampleFull
}
