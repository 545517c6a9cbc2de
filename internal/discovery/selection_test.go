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

func TestErrorsTellStaffWhatToDo(t *testing.T) {
	oncall.Check(t,
		&ListError{Address: "127.0.0.1:9", Entries: 3, Err: oncall.ErrCause},
		&EntrySizeError{Most: 4096},
		&TruncatedError{Err: oncall.ErrCause},
		&StalledError{Bytes: MinProgressBytes, Interval: ProgressInterval, Timeout: TransferTimeout},
		&MalformedError{Err: oncall.ErrCause},
		&VersionError{Have: 7, Got: 3},
		&PartialError{Rev: 7},
	)
}

// By changes one at a time a node comes to the same subset as by the whole list, and is told only of its own.
func TestChangesComeToTheSubsetOfTheList(t *testing.T) {
	s, err := newSelection(subset.Config{Node: 3, MaxServers: 20, MinPerZone: 2, MaxListed: 1000}, 5800)
	require.NoError(t, err)
	node := &subsetWatch{shown: map[string]Target{}}
	rng := rand.New(rand.NewPCG(1, 2))
	all := servers(600)
	listed := map[string]Target{}
	take := func(u Update, list *subset.List) {
		t.Helper()
		told, needed, err := s.choose(u, list)
		require.NoError(t, err)
		if needed {
			node.show(told, false)
		}
	}
	stage := func(targets []Target) *subset.List {
		list := s.stage()
		for i := range targets {
			require.NoError(t, s.add(list, &targets[i]))
		}
		return list
	}
	take(Update{Rev: 1, All: true, Targets: all[:300]}, stage(all[:300]))
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
		take(Update{Rev: rev + 2, Targets: []Target{x}}, nil)
		if rev%100 == 0 {
			targets := make([]Target, 0, len(listed))
			for _, x := range listed {
				targets = append(targets, x)
			}
			slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.UID, b.UID) })
			require.Equal(t, chosen(t, subset.Config{MaxServers: 20, MinPerZone: 2, MaxListed: 1000}, targets), node.uids(), "rev %d", rev)
		}
	}
}

// A list as long as the subset or shorter is used whole, and told as it came; one that grows over it is
// told as a change, and so is the way back.
func TestShortListIsToldAsItCame(t *testing.T) {
	a := discoverytest.NewAgent(t)
	s := startSubset(t, a.Addr(), small, Update{})
	all := servers(25)
	odd := all[:19]
	odd[4].State, odd[5].State = "paused", "removed" // a state that this program does not know
	a.Tell <- list(t, Update{Rev: 7, All: true, Targets: odd}, "")
	require.Equal(t, Update{Rev: 7, All: true, Targets: odd}, s.next(t))
	a.Tell <- list(t, Update{Rev: 8, Targets: all[20:22]}, "")
	require.Equal(t, Update{Rev: 8, Targets: all[20:22]}, s.next(t))
	a.Tell <- list(t, Update{Rev: 9, Targets: []Target{}}, "")
	require.Equal(t, Update{Rev: 9, Targets: []Target{}}, s.next(t))
	a.Tell <- list(t, Update{Rev: 10, Targets: all[22:]}, "") // 23 of 20
	u := s.next(t)
	require.False(t, u.All)
	require.Positive(t, u.NodesPerServer)
	require.Len(t, s.shown, 21, "20 and the one that drains")
	gone := slices.Clone(all[10:20])
	for i := range gone {
		gone[i].State = "removed"
	}
	a.Tell <- list(t, Update{Rev: 11, Targets: gone}, "")
	s.next(t)
	require.Len(t, s.shown, 14)
	require.Zero(t, s.last.NodesPerServer)
	a.Tell <- list(t, Update{Rev: 12, Targets: gone[:1]}, "")
	require.Equal(t, Update{Rev: 12, Targets: gone[:1]}, s.next(t))
}

// A process that begins with a subset shows it, asks for the whole list, and comes to the same subset; one
// that begins with a complete list asks for changes.
func TestBeginsWithWhatWasHeld(t *testing.T) {
	cfg := subset.Config{MaxServers: 20, MinPerZone: subset.NoZoneMinimum, MaxListed: 100}
	a := discoverytest.NewAgent(t)
	before := startSubset(t, a.Addr(), cfg, Update{})
	a.Tell <- list(t, Update{Rev: 7, All: true, Targets: servers(60)}, "")
	before.next(t)
	held := Update{Rev: 7, All: true, NodesPerServer: before.last.NodesPerServer}
	for _, x := range before.shown {
		held.Targets = append(held.Targets, x)
	}

	b := discoverytest.NewAgent(t)
	after := startSubset(t, b.Addr(), cfg, held)
	require.Equal(t, before.uids(), after.uids(), "what was held is not shown")
	require.Equal(t, held.NodesPerServer, after.last.NodesPerServer)
	require.NotContains(t, next(t, b.Asked), "from=")
	b.Tell <- list(t, Update{Rev: 8, Targets: servers(61)[60:]}, "") // changes of a list that it does not have
	require.True(t, is[*PartialError](next(t, after.dropped)))
	require.NotContains(t, next(t, b.Asked), "from=")
	b.Tell <- list(t, Update{Rev: 7, All: true, Targets: servers(60)}, "")
	require.True(t, after.next(t).All, "a server that has gone meanwhile would stay")
	require.Equal(t, before.uids(), after.uids())

	c := discoverytest.NewAgent(t)
	short := startSubset(t, c.Addr(), cfg, Update{Rev: 7, All: true, Targets: servers(15)})
	require.Contains(t, next(t, c.Asked), "from=7")
	require.Len(t, short.shown, 15)
	d := discoverytest.NewAgent(t)
	long := startSubset(t, d.Addr(), cfg, Update{Rev: 7, All: true, Targets: servers(60)})
	require.Contains(t, next(t, d.Asked), "from=7")
	require.Equal(t, before.uids(), long.uids(), "a list that was held whole is shown whole")
	d.Tell <- list(t, Update{Rev: 8, Targets: servers(61)[60:]}, "")
	require.Eventually(t, func() bool { return long.Counts().Listed.Load() == 61 }, patience, time.Millisecond)
}

// A long list that can't be used is not read again at once, one that was cut off is.
func TestPauseAfterAMessageThatCanNotBeUsed(t *testing.T) {
	dropped := func(err error) error { return unusableError{&ListError{Entries: 100_000, Err: err}} }
	require.Equal(t, 10*time.Second, unusablePause(dropped(&MalformedError{})))
	require.Zero(t, unusablePause(dropped(&TruncatedError{})))
	require.Zero(t, unusablePause(dropped(&StalledError{})))
	require.Zero(t, unusablePause(errStalled))
}

// A process without a subset that begins with one asks for the whole list, and shows what it has.
func TestWholeListAfterASubset(t *testing.T) {
	w := newWatcher("127.0.0.1:9", Update{}, 2, time.Second, 1, func(Update) {})
	held := Update{Rev: 7, Targets: servers(3), NodesPerServer: 13.6}
	require.Equal(t, held, w.Adopt(held, true))
	require.Equal(t, int64(noRev), w.rev)
	held.NodesPerServer = 0
	require.Equal(t, held, w.Adopt(held, true))
	require.Equal(t, int64(7), w.rev)
	w.Adopt(held, false)
	require.Equal(t, int64(noRev), w.rev)
}
