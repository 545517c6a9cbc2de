package exchange

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/scale"
)

// heapSpread is by how much two readings of a heap may differ: maps of one content differ by how they grew.
const heapSpread = 0.15

// seedless are the sweeps that draw nothing, or whose draws are the membership library's own.
var seedless = map[string]bool{"membership": true}

// narrow are the sweeps over less than two decades, with the reason at each: their fits are not extrapolated.
var narrow = map[string]bool{"churn": true}

// read measures a point, and gives its readings by cost.
func read(t *testing.T, s scale.Sweep, size int, seed uint64) map[string]float64 {
	t.Helper()
	readings, err := s.Measure(t.Context(), size, seed)
	require.NoError(t, err, "%s at %d", s.Name, size)
	out := make(map[string]float64)
	for _, r := range readings {
		require.NotContains(t, out, r.Cost, "%s gives a cost twice", s.Name)
		out[r.Cost] = r.Value
	}
	return out
}

// sweepNamed gives the sweep of a name.
func sweepNamed(t *testing.T, all []scale.Sweep, name string) scale.Sweep {
	t.Helper()
	for _, s := range all {
		if s.Name == name {
			return s
		}
	}
	require.Fail(t, "no sweep of that name", name)
	return scale.Sweep{}
}

// Each sweep covers two decades with four sizes at least, and gives each of its costs once, as a figure.
func TestSweepsGiveAllTheirCosts(t *testing.T) {
	names := make(map[string]bool)
	for _, s := range Sweeps() {
		t.Run(s.Name, func(t *testing.T) {
			require.GreaterOrEqual(t, len(s.Sizes), 4)
			require.GreaterOrEqual(t, len(s.Quick), 2)
			assert.True(t, s.Sizes[len(s.Sizes)-1] >= 100*s.Sizes[0] || narrow[s.Name], "sizes of less than two decades")
			got := read(t, s, s.Quick[0], 1)
			assert.Len(t, got, len(s.Costs))
			for _, c := range s.Costs {
				assert.False(t, names[c.Name], "%s is in two sweeps", c.Name)
				names[c.Name] = true
				v, ok := got[c.Name]
				assert.True(t, ok && v >= 0 && !math.IsInf(v, 0), "%s is %v", c.Name, v)
			}
		})
	}
}

// What does not depend on the machine's speed is the same each time, and not with another seed.
func TestUntimedCostsAreTheSeeds(t *testing.T) {
	for _, s := range Sweeps() {
		if !slices.ContainsFunc(s.Costs, func(c scale.Cost) bool { return !c.Timed }) {
			continue // in real time as a whole
		}
		t.Run(s.Name, func(t *testing.T) {
			a, b, other := read(t, s, s.Quick[0], 1), read(t, s, s.Quick[0], 1), read(t, s, s.Quick[0], 2)
			differs := false
			for _, c := range s.Costs {
				switch {
				case c.Timed:
				case c.Slack > 0 && c.Unit == scale.Bytes:
					assert.InEpsilon(t, a[c.Name], b[c.Name], heapSpread, c.Name)
				default:
					assert.Equal(t, a[c.Name], b[c.Name], c.Name)
					differs = differs || a[c.Name] != other[c.Name]
				}
			}
			assert.Equal(t, !seedless[s.Name], differs, "whether the seed changes what is not timed")
		})
	}
}

// A full state that goes with each message of uses makes bytes grow with the nodes, far beyond what is
// stated; without it they stay below.
func TestPlantedFullStateGrowsWithNodes(t *testing.T) {
	const cost = "share-nodes/bytes-out"
	growth := func(all []scale.Sweep) (exponent, stated float64) {
		s := sweepNamed(t, all, "share-nodes")
		for _, c := range s.Costs {
			if c.Name == cost {
				stated = c.Exponent
			}
		}
		small, large := s.Quick[0], s.Quick[1]
		ratio := read(t, s, large, 1)[cost] / read(t, s, small, 1)[cost]
		return math.Log(ratio) / math.Log(float64(large)/float64(small)), stated
	}
	as, stated := growth(Sweeps())
	assert.Less(t, as, stated+0.05)
	planted, _ := growth(sweeps(plant{fullState: true}))
	assert.Greater(t, planted, stated+0.3)
}
