package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// subsetOf switches on a subset of some servers, without a floor for zones.
func subsetOf(servers int) func(*config.Config) {
	none, most := 0, 1000
	return func(c *config.Config) {
		c.Fleet = &config.Fleet{Subset: &config.Subset{MaxServers: &servers, MinPerZone: &none, MaxListed: &most}}
	}
}

// randomMessages are messages of a discovery with at most most servers: whole lists, changes, drains,
// servers that go and come again, states that are not known.
func randomMessages(seed uint64, n, most int) (all []discovery.Update) {
	rng := rand.New(rand.NewPCG(seed, 1))
	states := []string{"up", "up", "up", "draining", "removed", "paused"}
	for rev := range int64(n) {
		u := discovery.Update{Rev: rev + 1, All: rev == 0 || rng.IntN(20) == 0, Targets: []discovery.Target{}}
		for i := range most {
			if !u.All && rng.IntN(5) > 0 {
				continue
			}
			u.Targets = append(u.Targets, discovery.Target{UID: fmt.Sprint("s-", i), Endpoint: fmt.Sprint("127.0.0.1:", 1000+i),
				Zone: fmt.Sprint("z", i%3), Group: i % 4, State: states[rng.IntN(len(states))], Capacity: 1, BootMS: float64(1 + rng.IntN(2))})
		}
		rng.Shuffle(len(u.Targets), func(i, j int) { u.Targets[i], u.Targets[j] = u.Targets[j], u.Targets[i] })
		all = append(all, u)
	}
	return all
}

// updates are what a node's watch tells of messages that discovery sends.
func updates(t *testing.T, change func(*config.Config), messages []discovery.Update) (told []discovery.Update) {
	t.Helper()
	seen := make(chan discovery.Update, len(messages))
	r := newRigWith(t, change, func(n *Node) {
		updated := n.onUpdate
		n.onUpdate = func(u discovery.Update) { updated(u); seen <- u }
	})
	for i := range messages {
		r.tell(messages[i])
		told = append(told, next(t, seen))
	}
	return told
}

// tell sends a message of discovery.
func (r *rig) tell(u discovery.Update) {
	r.t.Helper()
	line, err := json.Marshal(u)
	require.NoError(r.t, err)
	r.agent.Tell <- string(line) + "\n"
	next(r.t, r.told)
}

// events are what a node tells its module of updates, and of requests between them.
func events(t *testing.T, cfg config.Config, told []discovery.Update) (all []control.Event) {
	t.Helper()
	l, err := newLoop(cfg, upstreamOf(cfg, newSockets(64, 0)), newStats(cfg.Settings.Classes))
	require.NoError(t, err)
	for i, u := range told {
		kind := control.Delta
		if u.All {
			kind = control.Complete
		}
		l.rememberEndpoints(kind, u)
		all = append(all, l.updatePools(kind, u))
		for k := range 5 {
			all = append(all, control.Request{ID: fmt.Sprint(i, " ", k), Class: cfg.Settings.Classes[0].Name, Plan: "enterprise",
				Tenant: fmt.Sprint("c", k), TimeLeft: time.Second, Tokens: 1, TenantNodes: 2})
		}
	}
	return all
}

// actions are what a controller does on events 20 ms apart.
func actions(t *testing.T, cfg config.Config, all []control.Event) (done []string) {
	t.Helper()
	c, err := control.New(cfg.Settings, cfg.Seed)
	require.NoError(t, err)
	now := time.Hour
	for _, e := range all {
		now += 20 * time.Millisecond
		for _, a := range c.Handle(now, e) {
			done = append(done, fmt.Sprintf("%v %T%+v", now, a, a))
		}
	}
	return done
}

// As long as the list is no longer than the subset all is as without it: the node is told the same, gives
// the same ids and does the same.
func TestSubsetOfAShortListChangesNothing(t *testing.T) {
	cfg, err := config.Load("testdata/config.json")
	require.NoError(t, err)
	for seed := uint64(1); seed <= 3; seed++ {
		messages := randomMessages(seed, 60, 12)
		off := updates(t, func(*config.Config) {}, messages)
		on := updates(t, subsetOf(12), messages)
		require.Equal(t, off, on, "seed %d", seed)
		events, same := events(t, cfg, off), events(t, cfg, on)
		require.Equal(t, events, same, "seed %d", seed)
		done := actions(t, cfg, events)
		require.Equal(t, done, actions(t, cfg, same), "seed %d", seed)
		require.True(t, slices.ContainsFunc(done, func(a string) bool { return strings.Contains(a, "control.Send") }))
	}
	less := updates(t, subsetOf(6), randomMessages(1, 1, 12))
	require.NotEqual(t, 12, len(less[0].Targets), "a longer list is not cut")
}

// manyTargets are entries of a list whose servers are one.
func manyTargets(a *app, n int) []discovery.Target {
	all := make([]discovery.Target, n)
	for i := range all {
		all[i] = a.target(fmt.Sprintf("s-%02d", i), i)
	}
	return all
}

// used are the servers that the node uses, in order; it reads them on the loop.
func (r *rig) used() []string {
	got := make(chan []string, 1)
	r.node.loop.post(func() { got <- slices.Sorted(maps.Keys(r.node.loop.serverIDs)) })
	return next(r.t, got)
}

// A node with a subset uses and shows its servers only, and the figures say so; without the section there
// are none of its figures.
func TestNodeUsesItsSubset(t *testing.T) {
	a := newApp(t, served)
	r := newRigWith(t, subsetOf(6))
	r.tell(discovery.Update{Rev: 8, All: true, Targets: manyTargets(a, 40)})
	r.wait("its servers", func() bool {
		return len(r.node.loop.serverIDs) == 6 && len(r.node.loop.endpoints) == 6 && len(r.node.loop.pools) == 6
	})
	require.InDelta(t, 2*6/40.0, r.node.loop.nodesPerServer, 1e-9)
	resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	r.figure("node_hosts_listed", 6)
	figures := r.figures()
	require.Equal(t, []float64{40, 6, 0}, []float64{figures["node_subset_listed"], figures["node_subset_chosen"], figures["node_subset_dropped_total"]})
	r.agent.Tell <- `{"rev":9,"all":true,"targets":[{"uid":"s-1"}]}` + "\n"
	next(t, r.agent.Asked)
	next(t, r.agent.Asked)
	require.Equal(t, 1.0, r.figures()["node_subset_dropped_total"])
	require.Len(t, r.used(), 6, "the list before does not stay")

	off := newRig(t)
	for name := range off.figures() {
		require.NotContains(t, name, "subset")
	}
	require.Nil(t, off.node.loop.metrics)
}

// What a process hands over or keeps is its subset. The next one begins with it, asks for the whole list,
// and comes to the same subset.
func TestNextProcessHasTheSameSubset(t *testing.T) {
	for _, how := range []string{"handed over", "kept"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a, list := newApp(t, served), beside(t)
			state := t.TempDir()
			with := func(c *config.Config) {
				subsetOf(6)(c)
				if c.Settings.FleetSize = 1; how == "handed over" {
					list(c)
				} else {
					c.Fleet.State = &config.State{Dir: state}
				}
			}
			whole := discovery.Update{Rev: 8, All: true, Targets: manyTargets(a, 40)}
			old := newRigWith(t, with)
			next(t, old.agent.Asked)
			old.tell(whole)
			before := old.used()
			require.Len(t, before, 6)
			if how == "kept" {
				require.Equal(t, http.StatusOK, askBasic(old, "a", 1, 1)) // else there is nothing to keep
				old.end()
			}
			fresh := newRigWith(t, with)
			require.Equal(t, "/v1/servers?watch=1", next(t, fresh.agent.Asked), "it does not ask for the whole list")
			require.Equal(t, before, fresh.used(), "what was there before is not used at first")
			fresh.wait("sharers", func() bool { return fresh.node.loop.nodesPerServer == 6.0/40 })
			fresh.tell(whole)
			require.Equal(t, before, fresh.used())
		})
	}
}

// A program without subsets that takes a subset over takes it for another discovery's list, and asks for
// the whole one; a whole list is handed over as ever.
func TestSubsetIsHandedOverAsSuch(t *testing.T) {
	for servers, want := range map[int]string{6: `"Discovery":""`, 40: `"Discovery":"d:1"`} {
		r := newRigWith(t, subsetOf(servers))
		r.tell(discovery.Update{Rev: 8, All: true, Targets: manyTargets(newApp(t, served), 40)})
		got := make(chan string, 1)
		r.node.loop.post(func() {
			raw, _ := json.Marshal(r.node.loop.handoverState("d:1", []byte("{}")))
			got <- string(raw)
		})
		text := next(t, got)
		require.Contains(t, text, want)
		require.Equal(t, servers == 6, strings.Contains(text, "Sharers"))
	}
}
