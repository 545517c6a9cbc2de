package control

import (
	"math"
	"testing"
	"time"
)

// Each server has an even part of a large group that turns to it first; a change of the list moves
// no other; a small group turns to all. A node then uses few servers, but leaves slow ones.
func TestGatewaysTurnToTheirOwnServersFirst(t *testing.T) {
	var ids []uint32
	for id := uint32(1); id <= 60; id++ {
		ids = append(ids, id)
	}
	homes := map[uint32]int{}
	for i := 0; i < 80; i++ {
		s := fleet(80)
		s.NodeIndex = i
		g := newHarness(t, s, endpoints(ids...)...)
		zones, before := map[string]int{}, map[uint32]bool{}
		for _, x := range g.c.servers.ordered {
			if before[x.Server] = g.c.servers.isPreferred(x); before[x.Server] {
				homes[x.Server]++
				zones[x.Zone]++
			}
		}
		if len(zones) < 2 {
			t.Errorf("gateway %d turns to servers of one zone only", i)
		}
		g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{Server: 7, Condition: Removed}, {Server: 61, Zone: "z1"}}})
		for _, x := range g.c.servers.ordered {
			if x.Server <= 60 && g.c.servers.isPreferred(x) != before[x.Server] {
				t.Errorf("gateway %d: server %d moved with the list", i, x.Server)
			}
		}
	}
	for id, n := range homes {
		if math.Abs(float64(n)-nodesPerPreferredServer) > 2 {
			t.Errorf("%d of 80 gateways turn to server %d first", n, id)
		}
	}
}

// A node of a small group prefers all servers, and one of a large group leaves its preferred servers
// where they are slow.
func TestPreferredServersOfASmallGroupAndSlowOnes(t *testing.T) {
	var ids []uint32
	for id := uint32(1); id <= 60; id++ {
		ids = append(ids, id)
	}
	few := newHarness(t, fleet(3), endpoints(ids...)...)
	for _, x := range few.c.servers.ordered {
		if !few.c.servers.isPreferred(x) {
			t.Error("a gateway of three turns to some servers only")
			break
		}
	}
	g := newHarness(t, fleet(80), endpoints(ids...)...)
	slow, draw := map[uint32]bool{}, 0
	g.run(20*time.Second, 150*ms, func(server uint32) time.Duration {
		x := g.c.servers.byID[server]
		if g.c.servers.isPreferred(x) && server%3 == 0 {
			slow[server] = true
			return 900 * ms
		}
		draw++
		return time.Duration(60+draw*7919%500) * ms // whatever the server
	})
	n, own := 0, 0
	for _, x := range g.sends[len(g.sends)/2:] {
		if slow[x.Server] {
			n++
		}
		if g.c.servers.isPreferred(g.c.servers.byID[x.Server]) {
			own++
		}
	}
	if own < len(g.sends)/4 {
		t.Errorf("%d of the last %d sends went to its own eighth of the servers", own, len(g.sends)/2)
	}
	if n > len(g.sends)/20 {
		t.Errorf("%d of the last %d sends went to slow servers of its own", n, len(g.sends)/2)
	}
}

// However the keys of the servers lie, each node has as many warm ones that it turns to first: who
// had two of them would jam these, and who had twelve would know little of any.
func TestEachGatewayHasAsManyHomes(t *testing.T) {
	var warm []Endpoint
	for id := uint32(1); id <= 168; id++ {
		warm = append(warm, Endpoint{Server: id, HashKey: id*id*2654435761 + id<<7, Zone: "z1", Size: 1})
	}
	for i := 0; i < 300; i += 11 {
		s := fleet(300)
		s.NodeIndex = i
		n := 0
		for _, x := range newHarness(t, s, warm...).c.servers.ordered {
			if x.preferred {
				n++
			}
		}
		if n < minPreferredServers-2 || n > minPreferredServers+2 {
			t.Errorf("gateway %d turns to %d servers first, not to %.0f", i, n, minPreferredServers)
		}
	}
}

// An empty list, a list of one and one wholly replaced: each request has its final answer in time,
// and the node serves again by itself.
func TestListsThatAreOddAreLivedThrough(t *testing.T) {
	g := newHarness(t, fleet(80), endpoints(1, 2, 3)...)
	g.handle(EndpointUpdate{Kind: Complete})
	g.request("a", "job", "low", "x")
	if len(g.sends) != 0 {
		t.Fatal("sent to a server that is not listed")
	}
	g.advance(3 * time.Second)
	if _, refused := g.ends["a"].(Reject); !refused {
		t.Errorf("with no server a request ends as %T", g.ends["a"])
	}
	g.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(9)})
	g.request("b", "job", "low", "y")
	if len(g.sends) != 1 || g.sends[0].Server != 9 {
		t.Fatalf("with one server: %v", g.sends)
	}
	g.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(11, 12)})
	g.answer("b", OK, 0)
	g.now += time.Second
	g.request("c", "job", "low", "z")
	if len(g.sends) != 2 || g.sends[1].Server < 11 {
		t.Errorf("after a list wholly replaced: %v", g.sends)
	}
	g.handle(EndpointUpdate{Kind: Failed})
	g.answer("c", OK, 0)
	g.now += time.Second
	g.request("d", "job", "low", "w")
	if len(g.sends) != 3 {
		t.Error("without news the last list is not used")
	}
}

func TestListIsAskedForAgainAfterAFailure(t *testing.T) {
	s := settings()
	s.PollDiscovery, s.MaxPollInterval = true, 10*time.Second
	g := newHarness(t, s, endpoints(1)...)
	follows := func() (n int) {
		for _, a := range g.acts {
			if f, ok := a.(Watch); ok && f.Active {
				n++
			}
		}
		return n
	}
	g.advance(200 * ms)
	if follows() != 1 {
		t.Fatalf("%d askings at start", follows())
	}
	g.handle(EndpointUpdate{Kind: Failed})
	g.advance(5 * time.Second)
	if follows() < 2 {
		t.Error("no second asking after the first failed")
	}
	g.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(1)})
	n := follows()
	g.advance(20 * time.Second)
	if follows() != n {
		t.Error("asked again while subscribed")
	}
}
