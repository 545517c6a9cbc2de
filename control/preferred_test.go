package control

import (
	"math"
	"testing"
	"time"
)

// In a large fleet each server is preferred by an even part of the nodes, and each node prefers servers of
// several zones. A change of the endpoint list changes the preference for no other server.
func TestPreferredServersAreEvenAndStable(t *testing.T) {
	var ids []uint32
	for id := uint32(1); id <= 60; id++ {
		ids = append(ids, id)
	}
	preferringNodes := map[uint32]int{}
	for i := 0; i < 80; i++ {
		s := fleetSettings(80)
		s.NodeIndex = i
		h := newHarness(t, s, endpoints(ids...)...)
		zones, before := map[string]int{}, map[uint32]bool{}
		for _, x := range h.controller.servers.ordered {
			if before[x.Server] = h.controller.servers.isPreferred(x); before[x.Server] {
				preferringNodes[x.Server]++
				zones[x.Zone]++
			}
		}
		if len(zones) < 2 {
			t.Errorf("node %d prefers servers of one zone only", i)
		}
		h.handle(EndpointUpdate{
			Kind:      Delta,
			Endpoints: []Endpoint{{Server: 7, Condition: Removed}, {Server: 61, Zone: "z1"}},
		})
		for _, x := range h.controller.servers.ordered {
			if x.Server <= 60 && h.controller.servers.isPreferred(x) != before[x.Server] {
				t.Errorf("node %d: the preference for server %d changed with the list", i, x.Server)
			}
		}
	}
	for id, n := range preferringNodes {
		if math.Abs(float64(n)-nodesPerPreferredServer) > 2 {
			t.Errorf("%d of 80 nodes prefer server %d", n, id)
		}
	}
}

// A node of a small fleet prefers all servers. A node of a large fleet uses its preferred servers most, and
// avoids those of them that are slow.
func TestSmallFleetPrefersAllServersAndLargeFleetAvoidsSlowOnes(t *testing.T) {
	var ids []uint32
	for id := uint32(1); id <= 60; id++ {
		ids = append(ids, id)
	}
	small := newHarness(t, fleetSettings(3), endpoints(ids...)...)
	for _, x := range small.controller.servers.ordered {
		if !small.controller.servers.isPreferred(x) {
			t.Error("a node of a fleet of three prefers only some servers")
			break
		}
	}
	h := newHarness(t, fleetSettings(80), endpoints(ids...)...)
	slow, draws := map[uint32]bool{}, 0
	h.runWithLatency(20*time.Second, 150*ms, func(server uint32) time.Duration {
		x := h.controller.servers.byID[server]
		if h.controller.servers.isPreferred(x) && server%3 == 0 {
			slow[server] = true
			return 900 * ms
		}
		draws++
		return time.Duration(60+draws*7919%500) * ms // varies from attempt to attempt at every other server
	})
	toSlow, toPreferred := 0, 0
	for _, x := range h.sends[len(h.sends)/2:] {
		if slow[x.Server] {
			toSlow++
		}
		if h.controller.servers.isPreferred(h.controller.servers.byID[x.Server]) {
			toPreferred++
		}
	}
	if toPreferred < len(h.sends)/4 {
		t.Errorf("%d of the last %d attempts went to preferred servers, which are an eighth of all",
			toPreferred, len(h.sends)/2)
	}
	if toSlow > len(h.sends)/20 {
		t.Errorf("%d of the last %d attempts went to slow preferred servers", toSlow, len(h.sends)/2)
	}
}

// Each node prefers about the same number of servers, however their hash keys are distributed. A node with
// two would overload them, and one with twelve would have few observations of any.
func TestEachNodePrefersSameNumberOfServers(t *testing.T) {
	var servers []Endpoint
	for id := uint32(1); id <= 168; id++ {
		servers = append(servers, Endpoint{Server: id, HashKey: id*id*2654435761 + id<<7, Zone: "z1", Size: 1})
	}
	for i := 0; i < 300; i += 11 {
		s := fleetSettings(300)
		s.NodeIndex = i
		n := 0
		for _, x := range newHarness(t, s, servers...).controller.servers.ordered {
			if x.preferred {
				n++
			}
		}
		if n < minPreferredServers-2 || n > minPreferredServers+2 {
			t.Errorf("node %d prefers %d servers, not %.0f", i, n, minPreferredServers)
		}
	}
}

// With an empty endpoint list, a list of one server and a list that replaces all servers, each request has
// its final response in time, and the node serves again without a restart.
func TestEmptySingleAndReplacedEndpointLists(t *testing.T) {
	h := newHarness(t, fleetSettings(80), endpoints(1, 2, 3)...)
	h.handle(EndpointUpdate{Kind: Complete})
	h.request("a", "job", "low", "x")
	if len(h.sends) != 0 {
		t.Fatal("sent to a server that is not listed")
	}
	h.advance(3 * time.Second)
	if _, rejected := h.finalResponses["a"].(Reject); !rejected {
		t.Errorf("final response without any server is a %T", h.finalResponses["a"])
	}
	h.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(9)})
	h.request("b", "job", "low", "y")
	if len(h.sends) != 1 || h.sends[0].Server != 9 {
		t.Fatalf("attempts with one server: %v", h.sends)
	}
	h.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(11, 12)})
	h.endAttempt("b", OK, 0)
	h.now += time.Second
	h.request("c", "job", "low", "z")
	if len(h.sends) != 2 || h.sends[1].Server < 11 {
		t.Errorf("attempts after a list that replaces all servers: %v", h.sends)
	}
	h.handle(EndpointUpdate{Kind: Failed})
	h.endAttempt("c", OK, 0)
	h.now += time.Second
	h.request("d", "job", "low", "w")
	if len(h.sends) != 3 {
		t.Error("the last list is not used after a failed fetch")
	}
}

// A watch that fails is requested again, and an open one is not.
func TestWatchIsRequestedAgainAfterFailure(t *testing.T) {
	s := testSettings()
	s.PollDiscovery, s.MaxPollInterval = true, 10*time.Second
	h := newHarness(t, s, endpoints(1)...)
	watches := func() (n int) {
		for _, a := range h.actions {
			if watch, ok := a.(Watch); ok && watch.Active {
				n++
			}
		}
		return n
	}
	h.advance(200 * ms)
	if watches() != 1 {
		t.Fatalf("%d watches requested at the start", watches())
	}
	h.handle(EndpointUpdate{Kind: Failed})
	h.advance(5 * time.Second)
	if watches() < 2 {
		t.Error("no watch requested after the first one failed")
	}
	h.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(1)})
	n := watches()
	h.advance(20 * time.Second)
	if watches() != n {
		t.Error("another watch requested while one is open")
	}
}
