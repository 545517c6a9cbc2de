package discovery

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/fleet/subset"
	"sloestile/internal/discovery/discoverytest"
	"sloestile/internal/oncall"
)

// TestErrorsIncludeOperatorHint guards against an error without a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&ListError{Address: "127.0.0.1:9", Entries: 3, Err: oncall.ErrCause},
		&EntrySizeError{MaxBytes: 4096},
		&TruncatedError{Err: oncall.ErrCause},
		&StalledError{MinBytes: MinProgressBytes, Interval: ProgressInterval, Timeout: TransferTimeout},
		&MalformedError{Err: oncall.ErrCause},
		&VersionError{Have: 7, Got: 3},
		&PartialError{Rev: 7},
	)
}

// Applying single changes yields the same subset as the complete list does, if the node receives only the changes of
// its subset.
func TestChangesYieldSameSubsetAsCompleteList(t *testing.T) {
	s, err := newSelection(subset.Config{Node: 3, MaxServers: 20, MinPerZone: 2, MaxListed: 1000}, 5800)
	require.NoError(t, err)
	node := &subsetWatch{inUse: map[string]Target{}}
	rng := rand.New(rand.NewPCG(1, 2))
	all := servers(600)
	listed := map[string]Target{}
	apply := func(u Update, list *subset.List) {
		t.Helper()
		update, needed, err := s.choose(u, list)
		require.NoError(t, err)
		if needed {
			node.applyUpdate(update, false)
		}
	}
	stage := func(targets []Target) *subset.List {
		list := s.stage()
		for i := range targets {
			require.NoError(t, s.add(list, &targets[i]))
		}
		return list
	}
	apply(Update{Rev: 1, All: true, Targets: all[:300]}, stage(all[:300]))
	for _, x := range all[:300] {
		listed[x.UID] = x
	}
	for rev := range int64(3000) {
		x := all[rng.IntN(len(all))]
		if x.State = []string{"up", "up", "removed"}[rng.IntN(3)]; x.State == "removed" {
			delete(listed, x.UID)
		} else {
			listed[x.UID] = x
		}
		apply(Update{Rev: rev + 2, Targets: []Target{x}}, nil)
		if rev%100 == 0 {
			targets := make([]Target, 0, len(listed))
			for _, x := range listed {
				targets = append(targets, x)
			}
			slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.UID, b.UID) })
			require.Equal(t, chosenUIDs(t, subset.Config{MaxServers: 20, MinPerZone: 2, MaxListed: 1000}, targets), node.uids(), "rev %d", rev)
		}
	}
}

// A list no longer than the subset is used whole and passed on unchanged. Growth beyond the subset's size and the way
// back are passed on as deltas.
func TestShortListIsPassedOnUnchanged(t *testing.T) {
	a := discoverytest.NewServer(t)
	s := startSubset(t, a.Addr(), smallSubset, Update{})
	all := servers(25)
	initial := all[:19]
	initial[4].State, initial[5].State = "paused", "removed" // "paused" is a state that this program does not know
	a.Chunks <- encodeUpdate(t, Update{Rev: 7, All: true, Targets: initial}, "")
	require.Equal(t, Update{Rev: 7, All: true, Targets: initial}, s.next(t))
	a.Chunks <- encodeUpdate(t, Update{Rev: 8, Targets: all[20:22]}, "")
	require.Equal(t, Update{Rev: 8, Targets: all[20:22]}, s.next(t))
	a.Chunks <- encodeUpdate(t, Update{Rev: 9, Targets: []Target{}}, "")
	require.Equal(t, Update{Rev: 9, Targets: []Target{}}, s.next(t))
	a.Chunks <- encodeUpdate(t, Update{Rev: 10, Targets: all[22:]}, "") // 23 servers for a subset of 20
	u := s.next(t)
	require.False(t, u.All)
	require.Positive(t, u.NodesPerServer)
	require.Len(t, s.inUse, 21, "the subset must be 20 servers and the draining one")
	removed := slices.Clone(all[10:20])
	for i := range removed {
		removed[i].State = "removed"
	}
	a.Chunks <- encodeUpdate(t, Update{Rev: 11, Targets: removed}, "")
	s.next(t)
	require.Len(t, s.inUse, 14)
	require.Zero(t, s.lastUpdate.NodesPerServer)
	a.Chunks <- encodeUpdate(t, Update{Rev: 12, Targets: removed[:1]}, "")
	require.Equal(t, Update{Rev: 12, Targets: removed[:1]}, s.next(t))
}

// A process that starts with a cached subset uses it, requests the complete list, and chooses the same subset. One that
// starts with a cached complete list requests changes.
func TestStartsWithCachedList(t *testing.T) {
	cfg := subset.Config{MaxServers: 20, MinPerZone: subset.NoZoneMinimum, MaxListed: 100}
	a := discoverytest.NewServer(t)
	before := startSubset(t, a.Addr(), cfg, Update{})
	a.Chunks <- encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(60)}, "")
	before.next(t)
	cached := Update{Rev: 7, All: true, NodesPerServer: before.lastUpdate.NodesPerServer}
	for _, x := range before.inUse {
		cached.Targets = append(cached.Targets, x)
	}

	b := discoverytest.NewServer(t)
	after := startSubset(t, b.Addr(), cfg, cached)
	require.Equal(t, before.uids(), after.uids(), "the cached subset is not in use")
	require.Equal(t, cached.NodesPerServer, after.lastUpdate.NodesPerServer)
	require.NotContains(t, next(t, b.Requests), "from=")
	b.Chunks <- encodeUpdate(t, Update{Rev: 8, Targets: servers(61)[60:]}, "") // a delta to a list that the process does not have
	require.True(t, is[*PartialError](next(t, after.dropped)))
	require.NotContains(t, next(t, b.Requests), "from=")
	b.Chunks <- encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(60)}, "")
	require.True(t, after.next(t).All, "a delta would keep a server that has been removed in the meantime")
	require.Equal(t, before.uids(), after.uids())

	c := discoverytest.NewServer(t)
	short := startSubset(t, c.Addr(), cfg, Update{Rev: 7, All: true, Targets: servers(15)})
	require.Contains(t, next(t, c.Requests), "from=7")
	require.Len(t, short.inUse, 15)
	d := discoverytest.NewServer(t)
	long := startSubset(t, d.Addr(), cfg, Update{Rev: 7, All: true, Targets: servers(60)})
	require.Contains(t, next(t, d.Requests), "from=7")
	require.Equal(t, before.uids(), long.uids(), "the servers in use are not the subset of the cached list")
	d.Chunks <- encodeUpdate(t, Update{Rev: 8, Targets: servers(61)[60:]}, "")
	require.Eventually(t, func() bool { return long.Counts().Listed.Load() == 61 }, testTimeout, time.Millisecond)
}

// A long unusable list is requested again only after a delay. A truncated or stalled one adds no delay.
func TestDelayAfterUnusableMessage(t *testing.T) {
	dropped := func(err error) error { return unusableError{&ListError{Entries: 100_000, Err: err}} }
	require.Equal(t, 10*time.Second, unusableDelay(dropped(&MalformedError{})))
	require.Zero(t, unusableDelay(dropped(&TruncatedError{})))
	require.Zero(t, unusableDelay(dropped(&StalledError{})))
	require.Zero(t, unusableDelay(errStalled))
}

// A process that uses whole lists but starts with a cached subset uses it and requests the complete list.
func TestCompleteListIsRequestedAfterCachedSubset(t *testing.T) {
	w := newWatcher("127.0.0.1:9", Update{}, 2, time.Second, 1, func(Update) {})
	cached := Update{Rev: 7, Targets: servers(3), NodesPerServer: 13.6}
	require.Equal(t, cached, w.Adopt(cached, true))
	require.Equal(t, int64(noRev), w.rev)
	cached.NodesPerServer = 0
	require.Equal(t, cached, w.Adopt(cached, true))
	require.Equal(t, int64(7), w.rev)
	w.Adopt(cached, false)
	require.Equal(t, int64(noRev), w.rev)
}
