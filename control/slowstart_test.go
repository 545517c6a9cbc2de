package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A server that has just started gets little traffic: at most one attempt at a time, but some attempts.
func TestWarmingUpServerGetsLimitedTraffic(t *testing.T) {
	s := testSettings()
	servers := endpoints(1, 2, 3, 4)
	servers[0].StartedAt, servers[0].HasStartedAt = time.Hour-100*ms, true
	h := newHarness(t, s, servers...)
	attempts, maxAtOnce := 0, 0
	for i := 0; i < 100; i++ {
		from := len(h.sends)
		for k := 0; k < 8; k++ {
			h.request(fmt.Sprint(i, "-", k), "job", "low", "x")
		}
		atOnce := 0
		for _, a := range h.sends[from:] {
			if a.Server == 1 {
				atOnce++
			}
		}
		attempts, maxAtOnce = attempts+atOnce, max(maxAtOnce, atOnce)
		h.advance(20 * ms)
		for k := 0; k < 8; k++ {
			if id := fmt.Sprint(i, "-", k); h.finalResponses[id] == nil {
				h.endAttempt(id, OK, 0)
			}
		}
	}
	if attempts == 0 || maxAtOnce > 1 {
		t.Errorf("%d attempts in 2 s at a server that has just started, %d at once", attempts, maxAtOnce)
	}
}

// Guards against a server that has just started and gets an attempt of every node of a large fleet at once.
func TestWarmingUpServerIsSharedByLargeFleet(t *testing.T) {
	s := testSettings()
	s.FleetSize = 12
	servers := endpoints(1, 2)
	servers[0].StartedAt, servers[0].HasStartedAt = time.Hour-ms, true
	h := newHarness(t, s, servers...)
	attempts := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		h.request(id, "job", "low", "x")
		h.advance(10 * ms)
		if h.attempts[id] > 0 && h.sends[len(h.sends)-1].Server == 1 {
			attempts++
			h.endAttempt(id, OK, 0)
		} // the warm server does not respond, so its rate is not known
	}
	if attempts > 1 {
		t.Errorf("%d attempts in 3 s by one of twelve nodes that has not observed a warm server", attempts)
	}
}

// Warming-up servers that respond fast are used beside warm ones that are slow. A node of a large fleet takes
// what it has observed of a few warming-up servers for the latency of the others.
func TestFastWarmingUpServersAreUsed(t *testing.T) {
	s := fleetSettings(80)
	s.SlowStartDuration = 40 * time.Second
	var warm []uint32
	for id := uint32(1); id <= 24; id++ {
		warm = append(warm, id)
	}
	h := newHarness(t, s, endpoints(warm...)...)
	latency := func(server uint32) time.Duration {
		if server > 24 {
			return 200 * ms
		}
		return 500 * ms
	}
	h.runWithLatency(10*time.Second, 200*ms, latency)
	var warmingUp []Endpoint
	for id := uint32(25); id <= 60; id++ {
		warmingUp = append(warmingUp, Endpoint{
			Server:       id,
			Zone:         "z1",
			Size:         1,
			StartedAt:    h.now - 10*time.Second,
			HasStartedAt: true,
		})
	}
	h.handle(EndpointUpdate{Kind: Delta, Endpoints: warmingUp})
	h.runWithLatency(10*time.Second, 200*ms, latency)
	from, n := len(h.sends), 0
	h.runWithLatency(15*time.Second, 200*ms, latency)
	for _, x := range h.sends[from:] {
		if x.Server > 24 {
			n++
		}
	}
	if fraction := float64(n) / float64(len(h.sends)-from); fraction < 0.3 {
		t.Errorf("%.2f of the attempts went to warming-up servers with capacity and less than half the latency",
			fraction)
	}
}

// Small requests do not keep large ones from a server that is warming up: any request may take its token
// bucket into debt, and no request limits how much the bucket may hold.
func TestSmallRequestsLeaveRoomAtWarmingUpServers(t *testing.T) {
	s := fleetSettings(80)
	s.SlowStartDuration = 40 * time.Second
	var servers []Endpoint
	for id := uint32(1); id <= 30; id++ {
		servers = append(servers, Endpoint{
			Server:       id,
			Zone:         "z1",
			Size:         1,
			StartedAt:    time.Hour - 20*time.Second,
			HasStartedAt: true,
		})
	}
	h := newHarness(t, s, servers...)
	h.controller.concurrency.bound = 4
	h.controller.traffic.idleLatency = 0.2
	h.controller.traffic.latency = 0.2
	h.controller.traffic.responses = 100
	h.controller.traffic.meanTokens = 2
	isLarge := map[string]bool{}
	for i := 0; i < 200; i++ {
		id, tokens := fmt.Sprint(i), 1.0
		if i%4 == 0 {
			tokens, isLarge[id] = 6, true
		}
		h.handle(Request{
			ID:          id,
			Class:       "job",
			Plan:        "low",
			Tenant:      id,
			TimeLeft:    5 * time.Second,
			Tokens:      tokens,
			TenantNodes: 2,
		})
		h.advance(100 * ms)
		for n, x := range h.sends {
			if _, ended := h.finalResponses[x.ID]; !ended && n >= len(h.sends)-4 {
				h.endAttempt(x.ID, OK, 0)
			}
		}
	}
	n := 0
	for _, x := range h.sends {
		if isLarge[x.ID] {
			n++
		}
	}
	if fraction := float64(n) / float64(len(h.sends)); fraction < 0.15 {
		t.Errorf("%d of %d attempts were of large requests, which are a quarter of all", n, len(h.sends))
	}
}

// sendsWhileWarmingUp sends 100 requests per second to the nodes in turn until 18 s after a server has
// started, and returns the times of the attempts at it.
func sendsWhileWarmingUp(nodes []*harness, startedAt time.Duration) (sentAt []time.Duration) {
	const warmingUp = 99
	var open []openAttempt
	seen := make([]int, len(nodes)) // attempts seen by node
	requests := 0
	for now := time.Hour; now < startedAt+18*time.Second; now += 10 * ms {
		if now == startedAt {
			for _, node := range nodes {
				node.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{
					Server:       warmingUp,
					Zone:         "z1",
					Size:         1,
					StartedAt:    startedAt,
					HasStartedAt: true,
				}}})
			}
		}
		node := nodes[requests*7%len(nodes)]
		node.request(fmt.Sprint(requests), "job", "low", fmt.Sprint(requests))
		requests++
		open = endDueAttempts(open, now)
		for i, node := range nodes {
			node.advance(now + 10*ms - node.now)
			for ; seen[i] < len(node.sends); seen[i]++ {
				latency := 300 * ms
				if node.sends[seen[i]].Server == warmingUp {
					latency = 100 * ms
					sentAt = append(sentAt, now)
				}
				open = append(open, openAttempt{now + latency, node, node.sends[seen[i]].ID})
			}
		}
	}
	return sentAt
}

// openAttempt is an attempt in flight.
type openAttempt struct {
	endsAt time.Duration
	node   *harness
	id     string
}

// endDueAttempts ends the attempts that are due and returns the others.
func endDueAttempts(open []openAttempt, now time.Duration) []openAttempt {
	remaining := open[:0]
	for _, a := range open {
		if a.endsAt <= now {
			a.node.endAttempt(a.id, OK, 0)
		} else {
			remaining = append(remaining, a)
		}
	}
	return remaining
}

// Whatever the fleet's size, all nodes together stay within the overload bound of a server that is warming
// up, in each overload window, though it responds faster than the others and each node could use it alone.
func TestFleetDoesNotOverloadOneWarmingUpServer(t *testing.T) {
	const serverRate = 12.0 // requests per second
	startedAt := time.Hour + 4*time.Second
	for _, nodeCount := range []int{1, 3, 10, 40, 100, 300} {
		s := fleetSettings(nodeCount)
		s.SlowStartDuration, s.OverloadWindow = 16*time.Second, 1500*ms
		nodes := make([]*harness, nodeCount)
		for i := range nodes {
			nodes[i] = newHarnessWithSeed(t, s, uint64(i+1), endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)...)
		}
		sentAt := sendsWhileWarmingUp(nodes, startedAt)
		for i, from := range sentAt {
			n, warmupFraction := 0, 0.2+0.8*(from-startedAt).Seconds()/16
			for _, x := range sentAt[i:] {
				if x < from+s.OverloadWindow {
					n++
				}
			}
			limit := overloadBound(s.OverloadFactor * warmupFraction * serverRate *
				s.OverloadWindow.Seconds())
			if from+s.OverloadWindow <= startedAt+s.SlowStartDuration && float64(n) > limit {
				t.Errorf("%d nodes: %d attempts in a window that begins %v after the server's start, limit %.1f",
					nodeCount, n, from-startedAt, limit)
				break
			}
		}
		if len(sentAt) < 10 {
			t.Errorf("%d nodes: %d attempts in 18 s at a server that is warming up", nodeCount, len(sentAt))
		}
	}
}

// A node of a large fleet prefers some of the servers that are warming up, and so reuses its connections to
// them: its part of their capacity is enough traffic for few of them. The hash key, which all nodes share,
// decides which ones, so that each is preferred by equally many nodes.
func TestNodePrefersFewWarmingUpServers(t *testing.T) {
	s := fleetSettings(300)
	s.SlowStartDuration = 40 * time.Second
	preferringNodes := map[uint32]int{}
	for i := 0; i < s.FleetSize; i += 7 {
		s.NodeIndex = i
		var servers []Endpoint
		for key := uint32(1); key <= 100; key++ { // each node numbers the servers in an order of its own
			id := 1 + (key*37+uint32(i))%100
			servers = append(servers, Endpoint{
				Server:       id,
				HashKey:      key * 2654435761,
				Zone:         "z1",
				Size:         1,
				StartedAt:    time.Hour - 4*time.Second,
				HasStartedAt: true,
			})
		}
		h := newHarness(t, s, servers...)
		for _, x := range h.controller.servers.ordered {
			if x.preferred {
				preferringNodes[x.HashKey]++
			}
		}
		if i > 0 {
			continue
		}
		h.controller.concurrency.bound = 4
		h.controller.traffic.idleLatency = 0.1
		h.controller.traffic.latency = 0.1
		h.controller.traffic.responses = 100
		h.controller.traffic.meanTokens = 1
		h.runWithLatency(20*time.Second, 100*ms, func(uint32) time.Duration { return 100 * ms })
		used := map[uint32]bool{}
		for _, x := range h.sends {
			used[x.Server] = true
		}
		if len(h.sends) < 40 || len(used) > len(h.sends)/2 {
			t.Errorf("%d attempts went to %d of 100 servers that are warming up", len(h.sends), len(used))
		}
	}
	want := float64((s.FleetSize+6)/7) * warmingPreferredFactor * nodesPerPreferredServer / float64(s.FleetSize)
	want = max(want, float64((s.FleetSize+6)/7)*warmingPreferredFactor*minPreferredServers/100)
	for key, n := range preferringNodes {
		if math.Abs(float64(n)-want) > 2 {
			t.Errorf("server %d is preferred by %d of %d nodes, not %.1f", key, n, (s.FleetSize+6)/7, want)
		}
	}
	if len(preferringNodes) != 100 {
		t.Errorf("%d of 100 servers are preferred by a node", len(preferringNodes))
	}
}
