package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// linear is a sweep of a cost that grows with its size.
func linear(name string) Sweep {
	return Sweep{Name: name, Dimension: "nodes", Target: 100000, Sizes: []int{10, 100, 1000, 10000}, Quick: []int{10, 100},
		Costs: []Cost{{Name: name + "/bytes", Unit: Bytes, Budget: 1000, Exponent: 1}},
		Measure: func(_ context.Context, size int, seed uint64) ([]Reading, error) {
			return []Reading{{Cost: name + "/bytes", Value: float64(size) * (1 + float64(seed)/100)}}, nil
		}}
}

func options(seeds ...uint64) Options { return Options{Seeds: seeds, Most: time.Minute} }

func TestRunMeasuresFitsAndReports(t *testing.T) {
	cut := Event{Name: "cut", Costs: []Cost{{Name: "cut/peak", Unit: BytesPerSecond, Budget: 10, Bound: 30}},
		Play: func(_ context.Context, _ bool, seed uint64) ([]Reading, error) {
			return []Reading{{Cost: "cut/peak", Value: 10 * float64(seed)}}, nil
		}}
	r, err := Run(context.Background(), []Sweep{linear("list"), linear("leases")}, []Event{cut}, options(1, 2, 3))
	require.NoError(t, err)
	assert.True(t, r.Passed(), r.Last())
	assert.Regexp(t, "^PASS scale: full, 2 costs and 1 figures", r.Last())
	assert.Len(t, r.Series[0].Points, 12)
	assert.InDelta(t, 1, r.Series[0].Fit.Exponent, 0.01)

	var out bytes.Buffer
	require.NoError(t, r.Table(&out))
	table := out.String()
	assert.Regexp(t, `list/bytes +B +10.2 +102 +1020 +10200 +1.00 ± 0.00 +1 +101997 +1000 +102 +extrapolated`, table)
	assert.Regexp(t, `cut +cut/peak +B/s +20 +30 +10 +3 +30`, table)
	// Worst first: 102 times the budget before 3 times.
	overview := table[bytes.Index(out.Bytes(), []byte("overview")):]
	assert.Regexp(t, `(?s)list/bytes.*leases/bytes.*cut/peak`, overview)

	dir := t.TempDir()
	require.NoError(t, r.Plots(dir))
	require.NoError(t, r.JSON(filepath.Join(dir, "all.json")))
	plots, err := filepath.Glob(filepath.Join(dir, "*.png"))
	require.NoError(t, err)
	assert.Len(t, plots, 2)
	raw, err := os.ReadFile(filepath.Join(dir, "all.json"))
	require.NoError(t, err)
	var file resultFile
	require.NoError(t, json.Unmarshal(raw, &file))
	assert.Equal(t, "list/bytes", file.Costs[0].Name)
	assert.Equal(t, Bytes, file.Costs[0].Unit)
	assert.Equal(t, []float64{10, 20, 30}, file.Events[0].Values)
	assert.True(t, file.Passed)
}

func TestRunFailsWithTheFirstCostThatGrowsTooMuch(t *testing.T) {
	steep := linear("steep")
	steep.Costs[0].Exponent = 0
	for _, quick := range []bool{true, false} {
		o := options(1)
		o.Quick = quick
		r, err := Run(context.Background(), []Sweep{linear("list"), steep}, nil, o)
		require.NoError(t, err)
		assert.False(t, r.Passed())
		assert.Regexp(t, "^FAIL scale: steep: steep/bytes: ", r.Last())
	}
}

// What a generator measured that was late does not count, and the rest is measured all the same.
func TestRunWithALateGeneratorIsVoid(t *testing.T) {
	late := linear("late")
	late.Measure = func(context.Context, int, uint64) ([]Reading, error) {
		return nil, &LateError{Sweep: "late", Lag: time.Second, Most: time.Millisecond}
	}
	r, err := Run(context.Background(), []Sweep{late, linear("list")}, nil, options(1))
	require.NoError(t, err)
	assert.False(t, r.Passed())
	assert.Equal(t, "FAIL scale: void: late: the generator was 1s late, 1ms is allowed; run it again with less beside it", r.Last())
	assert.Len(t, r.Series[1].Points, 4)
}

// blocked is a sweep that lasts until its context ends.
func blocked() Sweep {
	s := linear("blocked")
	s.Measure = func(ctx context.Context, _ int, _ uint64) ([]Reading, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s
}

// A point for which the generator was late is measured again, a bounded number of times.
func TestLatePointIsMeasuredAgain(t *testing.T) {
	calls, lateFor := 0, 0
	sweep := linear("list")
	measure := sweep.Measure
	sweep.Measure = func(ctx context.Context, size int, seed uint64) ([]Reading, error) {
		if calls++; calls <= lateFor {
			return nil, &LateError{Sweep: "list", Lag: time.Second, Most: time.Millisecond}
		}
		return measure(ctx, size, seed)
	}
	for _, x := range []struct {
		late   int
		passed bool
	}{{lateAgain, true}, {lateAgain + 1, false}} {
		calls, lateFor = 0, x.late
		r, err := Run(context.Background(), []Sweep{sweep}, nil, options(1))
		require.NoError(t, err)
		assert.Equal(t, x.passed, r.Passed(), r.Last())
	}
}

func TestRunStopsItselfNearALimit(t *testing.T) {
	full := Memory{Total: 100, Available: 90, Own: 1}
	for _, x := range []struct {
		name       string
		most       time.Duration
		first, now Memory
		want       string
	}{
		{"time", time.Millisecond, full, full, "run time"},
		{"own memory", time.Minute, full, Memory{Total: 100, Available: 88, Own: 46}, "memory in use: 46 B, the limit is 45 B"},
		{"memory of what it started", time.Minute, full, Memory{Total: 100, Available: 40, Own: 1}, "memory in use: 50 B"},
		{"the machine's memory", time.Minute, Memory{Total: 100, Available: 40, Own: 1}, Memory{Total: 100, Available: 6, Own: 1},
			"memory in use on the machine: 94 B"},
	} {
		reads := 0
		told := make([]error, 0, 1)
		o := Options{Seeds: []uint64{1}, Most: x.most, Stopped: func(why error) { told = append(told, why) }}
		o.memory = func() (Memory, error) {
			if reads++; reads == 1 {
				return x.first, nil
			}
			return x.now, nil
		}
		r, err := Run(context.Background(), []Sweep{linear("list"), blocked()}, nil, o)
		require.NoError(t, err, x.name)
		assert.False(t, r.Passed(), x.name)
		require.Len(t, told, 1, x.name)
		var limit *LimitError
		require.ErrorAs(t, told[0], &limit, x.name)
		assert.Contains(t, r.Last(), x.want, x.name)
		assert.Regexp(t, "^FAIL scale: stopped", r.Last())
		if x.name != "time" { // what was measured before is kept
			assert.Len(t, r.Series[0].Points, 4, x.name)
		}
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := Run(ctx, []Sweep{blocked()}, nil, options(1))
	require.NoError(t, err)
	assert.Regexp(t, "^FAIL scale: stopped after 0s: context canceled", r.Last())
}

func TestRunRefusesWhatIsNotMeasurable(t *testing.T) {
	wrong := linear("wrong")
	wrong.Measure = func(context.Context, int, uint64) ([]Reading, error) { return nil, nil }
	broken := linear("broken")
	broken.Measure = func(context.Context, int, uint64) ([]Reading, error) { return nil, errors.New("broken") }
	only := options(1)
	only.Only = []string{"nothing"}
	for _, x := range []struct {
		sweeps []Sweep
		o      Options
		want   string
	}{
		{[]Sweep{wrong}, options(1), "wrong/bytes has none"},
		{[]Sweep{broken}, options(1), "broken at 10, seed 1: broken"},
		{[]Sweep{linear("a"), linear("a")}, options(1), "two sweeps"},
		{[]Sweep{linear("a")}, only, `"nothing"`},
	} {
		_, err := Run(context.Background(), x.sweeps, nil, x.o)
		assert.ErrorContains(t, err, x.want)
	}
}

func TestOnlyChoosesSweeps(t *testing.T) {
	o := options(1)
	o.Only = []string{"b"}
	r, err := Run(context.Background(), []Sweep{linear("a"), linear("b")}, nil, o)
	require.NoError(t, err)
	require.Len(t, r.Series, 1)
	assert.Equal(t, "b", r.Series[0].Sweep)
}

func TestMemoryOfThisMachine(t *testing.T) {
	m, err := ReadMemory()
	require.NoError(t, err)
	assert.Greater(t, m.Total, m.Available)
	assert.Greater(t, m.Own, 1e6)
}

func TestHeapOfWhatIsBuilt(t *testing.T) {
	for _, size := range []int{4 << 10, 4 << 20} {
		heap := HeapOf(func() any { return make([]byte, size) })
		assert.InEpsilon(t, float64(size), heap, 0.1)
	}
}
