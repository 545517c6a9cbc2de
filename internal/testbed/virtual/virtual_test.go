package virtual

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/scenario"
)

func day(t *testing.T, seed uint64) *scenario.Day {
	t.Helper()
	f, err := scenario.Read("../../../scenarios/wide.toml", "seconds = 12")
	if err != nil {
		t.Fatal(err)
	}
	d, err := f.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// A day plays the same each time, also with messages lost.
func TestPlayIsTheSeeds(t *testing.T) {
	d := day(t, 1)
	for _, way := range []Way{Alone, Lease, Notices} {
		if a, b := Run(d, way, 0.05), Run(d, way, 0.05); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two plays of one day differ: %v, %v", way, a, b)
		}
	}
}

// Told of each use, a fleet of sixty keeps to the quotas without refusing what has room; without
// messages it does not. A tenth of the messages lost leaves a tenth of the uses untold at most.
func TestNoticesKeepToQuotas(t *testing.T) {
	for seed := range uint64(3) {
		d := day(t, 100+seed)
		all, most, none := Run(d, Notices, 0), Run(d, Notices, 0.1), Run(d, Notices, 1)
		if over, room := all.Get("over_units"), all.Get("refused_with_room"); over > 0.04 || room > 0.06 {
			t.Errorf("seed %d: over %.3f, refused with room %.3f", d.Seed, over, room)
		}
		if over := most.Get("over_units"); over > all.Get("over_units")+0.1 {
			t.Errorf("seed %d: over %.3f with a tenth of the messages lost", d.Seed, over)
		}
		if over := none.Get("over_units"); over < 0.15 {
			t.Errorf("seed %d: over %.3f with all messages lost; this test could not fail", d.Seed, over)
		}
	}
}

// A hall that was lent units for a window without its link sends far less beyond quotas in it than one
// that decides alone, and so do the others; with the link there is little of either.
func TestLentUnitsKeepToQuotas(t *testing.T) {
	f, err := scenario.Read("../../../scenarios/uplink-known.toml", "seconds = 40", "fleet.nodes = 24", "fleet.servers = 16")
	require.NoError(t, err)
	for seed := range uint64(2) {
		d, err := f.Draw(100 + seed)
		require.NoError(t, err)
		uncut, cut, lent := Run(d, Uncut, 0), Run(d, Cut, 0), Run(d, Provided, 0)
		assert.Less(t, uncut.Get("hall_over_units"), 0.06)
		assert.Greater(t, cut.Get("hall_over_units"), 0.12, "this test could not fail")
		assert.Less(t, lent.Get("hall_over_units"), cut.Get("hall_over_units")/2)
		assert.Less(t, lent.Get("others_over_units"), cut.Get("others_over_units"))
	}
}
