// Package process measures costs of real edge node processes, as the check of the figures that
// hollow nodes give. A point of its sweeps starts the deployed program as the platform does, with
// discovery, rating servers, other members and clients in this process, all on loopback addresses.
// CPU and memory are read from /proc, so that the package works on Linux only.
//
// A program that measures these sweeps calls proc.ReapIfAsked before anything else.
package process

import (
	"context"
	"time"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/scale"
)

// pointMost bounds the real time of one point.
const pointMost = 60 * time.Second

// Sweeps are the sweeps over real processes of the program that a deploy file runs. The program is
// built before the first point. They take too long for the quick form and have no quick sizes. Where
// the generator was late, Measure gives a scale.LateError beside the readings: the point is void.
func Sweeps(deploy *testbed.Deploy) []scale.Sweep {
	return []scale.Sweep{serverSweep(deploy), subsetSweep(deploy), rateSweep(deploy), limitSweep(deploy), memberSweep(deploy)}
}

// measured bounds a point's real time and gives it surroundings of its own.
func measured(deploy *testbed.Deploy, point func(ctx context.Context, b *bench, size int, seed uint64) ([]scale.Reading, error)) func(context.Context, int, uint64) ([]scale.Reading, error) {
	return func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
		ctx, cancel := context.WithTimeout(ctx, pointMost)
		defer cancel()
		b, err := newBench(deploy, fullSpans)
		if err != nil {
			return nil, err
		}
		defer b.close()
		return point(ctx, b, size, seed)
	}
}

// wait lets a span pass, or gives why ctx ended before.
func wait(ctx context.Context, span time.Duration) error {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
