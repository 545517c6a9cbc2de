package maintenanceday

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/maintenance"
)

// A third of a fleet is worked on with a zone lost in the middle: no bound is broken, and all is done
// within 1.3 times the best order that a search finds.
func TestNoBoundIsBrokenAndWorkEnds(t *testing.T) {
	for _, size := range []struct {
		machines, steps int
		last            uint64
	}{{60, 500, 25}, {300, 10, 21}} {
		for seed := uint64(21); seed <= size.last; seed++ {
			t.Run(fmt.Sprint(size.machines, "/", seed), func(t *testing.T) {
				t.Parallel()
				d := Draw(seed, size.machines)
				d.At = Bound(d) / 2
				p, err := Run(d)
				require.NoError(t, err)
				assert.Empty(t, p.Broken)
				assert.Equal(t, 1, p.Halts, "the lost zone")
				assert.Less(t, p.Makespan.Seconds()/Best(d, size.steps).Seconds(), 1.3)
			})
		}
	}
}

// The judge finds a play that goes by wider bounds than it judges by.
func TestJudgeFindsWideBounds(t *testing.T) {
	for what, widen := range map[string]func(*maintenance.Bounds){
		"its zone":         func(b *maintenance.Bounds) { b.MaxZoneFraction = 1000 },
		"warm capacity":    func(b *maintenance.Bounds) { b.MaxCapacityFraction = 1000 },
		"a customer's set": func(b *maintenance.Bounds) { b.MaxSetFraction = 1000 },
	} {
		d := Draw(21, 60)
		wide := *d.Plan
		widen(&wide.Bounds)
		d.Followed = &wide
		p, err := Run(d)
		require.NoError(t, err)
		assert.Contains(t, fmt.Sprint(p.Broken), what)
	}
}

// A forecast that is made as a plan is accepted is off by no more than what turns are off the plan's
// word for them.
func TestForecastHolds(t *testing.T) {
	for seed := uint64(21); seed <= 22; seed++ {
		d := Draw(seed, 60)
		d.Lost = ""
		p, err := Run(d)
		require.NoError(t, err)
		said := time.Duration(p.Forecast.DoneAt-begin) * time.Millisecond
		assert.InEpsilon(t, p.Makespan.Seconds(), said.Seconds(), 0.25, "seed %d: said %v, was %v", seed, said, p.Makespan)
	}
}
