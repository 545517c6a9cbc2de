package scale

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The file of a run has the recorded keys, and null where a figure is none.
func TestFileIsAsRecorded(t *testing.T) {
	r := &Result{Quick: true, Seeds: []uint64{1, 2}, Took: 1500 * time.Millisecond,
		Series: []*Series{
			{Sweep: "servers", Dimension: "servers known to a node", Target: 100, Cost: Cost{Name: "control/request-cpu", Unit: Microseconds, Budget: 8, Exponent: 0.25},
				Points: []Point{{Size: 10, Seed: 1, Value: 2}, {Size: 100, Seed: 1, Value: 4}}, Fit: Fit{Factor: 1, Exponent: 0.5, Half: 0.125, Residual: 0.25, Label: "too few sizes"}},
			{Sweep: "nodes", Dimension: "nodes", Target: 1000, Cost: Cost{Name: "heap", Unit: Bytes}, Fit: Fit{Factor: math.NaN(), Exponent: math.Inf(1)}},
		},
		Events:   []*EventFigure{{Event: "zone-loss", Cost: Cost{Name: "back", Unit: Seconds, Budget: 4, Bound: 8}, Values: []float64{1, 2}}},
		Breaches: []Breach{{Sweep: "servers", Cost: "control/request-cpu", Text: "grows"}},
		Late:     errors.New("late"),
	}
	path := filepath.Join(t.TempDir(), "run.json")
	require.NoError(t, r.JSON(path))
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	golden.CheckText(t, "run", string(raw))
}

// The units of costs, and what a figure at the target rests on, have the recorded names.
func TestNamesAreAsRecorded(t *testing.T) {
	golden.CheckText(t, "units", golden.Values([]Unit{Microseconds, Milliseconds, Seconds, Bytes, BytesPerSecond, PerSecond, Count, CorePercent}))
	golden.CheckText(t, "bases", golden.Values([]Basis{Measured, Interpolated, Extrapolated, Unknown}))
}
