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

// withSubset returns a function that configures a subset of a number of servers, without a minimum per zone.
func withSubset(servers int) func(*config.Config) {
	minPerZone, maxListed := 0, 1000
	return func(c *config.Config) {
		c.Fleet = &config.Fleet{Subset: &config.Subset{MaxServers: &servers, MinPerZone: &minPerZone, MaxListed: &maxListed}}
	}
}

// randomUpdates returns n updates of discovery with at most maxServers servers: complete and delta ones, with servers
// that drain, are removed and return, and with unknown states.
func randomUpdates(seed uint64, n, maxServers int) (all []discovery.Update) {
	rng := rand.New(rand.NewPCG(seed, 1))
	states := []string{"up", "up", "up", "draining", "removed", "paused"}
	for rev := range int64(n) {
		u := discovery.Update{Rev: rev + 1, All: rev == 0 || rng.IntN(20) == 0, Targets: []discovery.Target{}}
		for i := range maxServers {
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

// receivedUpdates returns the updates that a node's watch passes on when discovery sends updates.
func receivedUpdates(t *testing.T, configure func(*config.Config), sent []discovery.Update) (received []discovery.Update) {
	t.Helper()
	seen := make(chan discovery.Update, len(sent))
	r := newTestNodeWith(t, configure, func(n *Node) {
		onUpdate := n.onUpdate
		n.onUpdate = func(u discovery.Update) { onUpdate(u); seen <- u }
	})
	for i := range sent {
		r.sendUpdate(sent[i])
		received = append(received, receive(t, seen))
	}
	return received
}

// sendUpdate sends an update of discovery and returns once the loop has it.
func (r *testNode) sendUpdate(u discovery.Update) {
	r.t.Helper()
	line, err := json.Marshal(u)
	require.NoError(r.t, err)
	r.discovery.Chunks <- string(line) + "\n"
	receive(r.t, r.applied)
}

// controlEvents returns the events for the decision module that follow from updates, with requests in between.
func controlEvents(t *testing.T, cfg config.Config, updates []discovery.Update) (all []control.Event) {
	t.Helper()
	l, err := newLoop(cfg, newUpstreamFromConfig(cfg, newSockets(64, 0)), newStats(cfg.Settings.Classes))
	require.NoError(t, err)
	for i, u := range updates {
		kind := control.Delta
		if u.All {
			kind = control.Complete
		}
		l.recordEndpoints(kind, u)
		all = append(all, l.updatePools(kind, u))
		for k := range 5 {
			all = append(all, control.Request{ID: fmt.Sprint(i, " ", k), Class: cfg.Settings.Classes[0].Name, Plan: "enterprise",
				Tenant: fmt.Sprint("c", k), TimeLeft: time.Second, Tokens: 1, TenantNodes: 2})
		}
	}
	return all
}

// controllerActions returns the actions of a controller on events that are 20 ms apart.
func controllerActions(t *testing.T, cfg config.Config, events []control.Event) (taken []string) {
	t.Helper()
	c, err := control.New(cfg.Settings, cfg.Seed)
	require.NoError(t, err)
	now := time.Hour
	for _, e := range events {
		now += 20 * time.Millisecond
		for _, a := range c.Handle(now, e) {
			taken = append(taken, fmt.Sprintf("%v %T%+v", now, a, a))
		}
	}
	return taken
}

// While the list is not longer than the subset, a subset must change nothing: the watch passes on the same updates, and
// server IDs, events and actions are the same.
func TestSubsetLargerThanListChangesNothing(t *testing.T) {
	cfg, err := config.Load("testdata/config.json")
	require.NoError(t, err)
	for seed := uint64(1); seed <= 3; seed++ {
		updates := randomUpdates(seed, 60, 12)
		withoutSubset := receivedUpdates(t, func(*config.Config) {}, updates)
		withShortList := receivedUpdates(t, withSubset(12), updates)
		require.Equal(t, withoutSubset, withShortList, "seed %d", seed)
		events, eventsWithSubset := controlEvents(t, cfg, withoutSubset), controlEvents(t, cfg, withShortList)
		require.Equal(t, events, eventsWithSubset, "seed %d", seed)
		wantActions := controllerActions(t, cfg, events)
		require.Equal(t, wantActions, controllerActions(t, cfg, eventsWithSubset), "seed %d", seed)
		require.True(t, slices.ContainsFunc(wantActions, func(a string) bool { return strings.Contains(a, "control.Send") }))
	}
	cut := receivedUpdates(t, withSubset(6), randomUpdates(1, 1, 12))
	require.NotEqual(t, 12, len(cut[0].Targets), "a list longer than the subset is not cut")
}

// manyTargets returns n entries of an endpoint list that all lead to the same server.
func manyTargets(a *testServer, n int) []discovery.Target {
	all := make([]discovery.Target, n)
	for i := range all {
		all[i] = a.target(fmt.Sprintf("s-%02d", i), i)
	}
	return all
}

// serversInUse returns the sorted UIDs of the servers that the node uses, read on the loop's goroutine.
func (r *testNode) serversInUse() []string {
	got := make(chan []string, 1)
	r.node.loop.post(func() { got <- slices.Sorted(maps.Keys(r.node.loop.serverIDs)) })
	return receive(r.t, got)
}

// A node with a subset uses only the servers of the subset, and the metrics show that. Without a subset there are no
// metrics of it.
func TestNodeUsesItsSubset(t *testing.T) {
	a := newTestServer(t, serveOK)
	r := newTestNodeWith(t, withSubset(6))
	r.sendUpdate(discovery.Update{Rev: 8, All: true, Targets: manyTargets(a, 40)})
	r.waitUntil("the servers of the subset", func() bool {
		return len(r.node.loop.serverIDs) == 6 && len(r.node.loop.endpoints) == 6 && len(r.node.loop.pools) == 6
	})
	require.InDelta(t, 2*6/40.0, r.node.loop.nodesPerServer, 1e-9)
	resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	r.waitForMetric("node_hosts_listed", 6)
	metrics := r.readMetrics()
	require.Equal(t, []float64{40, 6, 0}, []float64{metrics["node_subset_listed"], metrics["node_subset_chosen"], metrics["node_subset_dropped_total"]})
	r.discovery.Chunks <- `{"rev":9,"all":true,"targets":[{"uid":"s-1"}]}` + "\n"
	receive(t, r.discovery.Requests)
	receive(t, r.discovery.Requests)
	require.Equal(t, 1.0, r.readMetrics()["node_subset_dropped_total"])
	require.Len(t, r.serversInUse(), 6, "a dropped update must not change the list")

	withoutSubset := newTestNode(t)
	for name := range withoutSubset.readMetrics() {
		require.NotContains(t, name, "subset")
	}
	require.Nil(t, withoutSubset.node.loop.metrics)
}

// A process hands over or stores only its subset. The next process starts with that subset, requests the complete list
// and selects the same subset from it.
func TestNextProcessUsesTheSameSubset(t *testing.T) {
	for _, how := range []string{"handed over", "stored"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a, handover := newTestServer(t, serveOK), sharedSocketConfig(t)
			stateDir := t.TempDir()
			configure := func(c *config.Config) {
				withSubset(6)(c)
				if c.Settings.FleetSize = 1; how == "handed over" {
					handover(c)
				} else {
					c.Fleet.State = &config.State{Dir: stateDir}
				}
			}
			completeList := discovery.Update{Rev: 8, All: true, Targets: manyTargets(a, 40)}
			predecessor := newTestNodeWith(t, configure)
			receive(t, predecessor.discovery.Requests)
			predecessor.sendUpdate(completeList)
			before := predecessor.serversInUse()
			require.Len(t, before, 6)
			if how == "stored" {
				require.Equal(t, http.StatusOK, requestBasicPlan(predecessor, "a", 1, 1)) // a state is written only after a request
				predecessor.stopAndWait()
			}
			successor := newTestNodeWith(t, configure)
			require.Equal(t, "/v1/servers?watch=1", receive(t, successor.discovery.Requests), "the successor does not request the complete list")
			require.Equal(t, before, successor.serversInUse(), "the successor does not start with the subset of its predecessor")
			successor.waitUntil("nodes per server", func() bool { return successor.node.loop.nodesPerServer == 6.0/40 })
			successor.sendUpdate(completeList)
			require.Equal(t, before, successor.serversInUse())
		})
	}
}

// A program of a version without subsets must not use the revision of a subset that is handed over to it: without an
// address of discovery it requests the complete list. A complete list is handed over with the address.
func TestHandoverMarksSubset(t *testing.T) {
	for servers, want := range map[int]string{6: `"Discovery":""`, 40: `"Discovery":"d:1"`} {
		r := newTestNodeWith(t, withSubset(servers))
		r.sendUpdate(discovery.Update{Rev: 8, All: true, Targets: manyTargets(newTestServer(t, serveOK), 40)})
		got := make(chan string, 1)
		r.node.loop.post(func() {
			raw, _ := json.Marshal(r.node.loop.handoverState("d:1", []byte("{}")))
			got <- string(raw)
		})
		text := receive(t, got)
		require.Contains(t, text, want)
		require.Equal(t, servers == 6, strings.Contains(text, "Sharers"))
	}
}
