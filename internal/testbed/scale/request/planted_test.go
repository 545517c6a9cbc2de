package request

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
	"sloestile/internal/testbed/scale"
)

// Regressions are planted here and nowhere else: the quick form has to fail for them.

// subsetSweep is the part of the sweep of servers that a node with a subset has, under a choice.
func subsetSweep(choose choice) scale.Sweep {
	s := serverSet()
	s.Costs = setCosts("subset", 0)
	s.Measure = func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
		return measureSet(ctx, size, seed, "subset", choose)
	}
	return s
}

func quick(t *testing.T, s scale.Sweep) *scale.Result {
	t.Helper()
	r, err := scale.Run(context.Background(), []scale.Sweep{s}, nil, scale.Options{Quick: true, Seeds: []uint64{1}, Most: time.Minute})
	require.NoError(t, err)
	t.Log(r.Last())
	return r
}

func TestSubsetPassesTheQuickForm(t *testing.T) {
	assert.True(t, quick(t, subsetSweep(subsetOf)).Passed())
}

// scanned hands the controller all servers behind the subset, so that each request scans them.
func scanned(all []subset.Server, group int) (*known, error) {
	k, err := subsetOf(all, group)
	if err != nil {
		return nil, err
	}
	whole, err := wholeList(all, group)
	if err != nil {
		return nil, err
	}
	whole.held = []any{k.held, whole.held}
	return whole, nil
}

func TestScanOfAllServersFailsTheQuickForm(t *testing.T) {
	r := quick(t, subsetSweep(scanned))
	assert.False(t, r.Passed())
	assert.Regexp(t, "^FAIL scale: servers: subset/request-cpu: ", r.Last())
}

func TestChangeOfOneEntryPassesTheQuickForm(t *testing.T) {
	assert.True(t, quick(t, listBytes()).Passed())
}

// exchanged sends the whole state for each change.
func exchanged(all []subset.Server, change int) discovery.Update {
	state := append([]subset.Server(nil), all...)
	state[0] = drained(all, change)
	return listing(state, true)
}

func TestFullExchangeForEachChangeFailsTheQuickForm(t *testing.T) {
	s := listBytes()
	s.Measure = func(_ context.Context, size int, _ uint64) ([]scale.Reading, error) {
		return changeBytes(size, exchanged)
	}
	r := quick(t, s)
	assert.False(t, r.Passed())
	assert.Regexp(t, "^FAIL scale: list-bytes: list-bytes/change: ", r.Last())
}
