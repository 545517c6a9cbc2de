package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestColdServerIsHeldUnderItsBudget(t *testing.T) {
	s := testSettings()
	list := endpoints(1, 2, 3, 4)
	list[0].StartedAt, list[0].HasStartedAt = time.Hour-100*ms, true
	g := newHarness(t, s, list...)
	cold, busy := 0, 0
	for i := 0; i < 100; i++ {
		from := len(g.sends)
		for k := 0; k < 8; k++ {
			g.request(fmt.Sprint(i, "-", k), "job", "low", "x")
		}
		here := 0
		for _, a := range g.sends[from:] {
			if a.Server == 1 {
				here++
			}
		}
		cold, busy = cold+here, max(busy, here)
		g.advance(20 * ms)
		for k := 0; k < 8; k++ {
			if id := fmt.Sprint(i, "-", k); g.finalAnswers[id] == nil {
				g.endAttempt(id, OK, 0)
			}
		}
	}
	if cold == 0 || busy > 1 {
		t.Errorf("%d sends in 2 s to a server just started, %d at once", cold, busy)
	}
}

// Guards against a just-started server that every node of a large group tries at once.
func TestColdServerIsSharedByALargeGroup(t *testing.T) {
	s := testSettings()
	s.FleetSize = 12
	list := endpoints(1, 2)
	list[0].StartedAt, list[0].HasStartedAt = time.Hour-ms, true
	g := newHarness(t, s, list...)
	cold := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		g.request(id, "job", "low", "x")
		g.advance(10 * ms)
		if g.attempts[id] > 0 && g.sends[len(g.sends)-1].Server == 1 {
			cold++
			g.endAttempt(id, OK, 0)
		} // the warm server answers nothing, so its rate is not known
	}
	if cold > 1 {
		t.Errorf("%d sends in 3 s from one of twelve gateways that knows no rate", cold)
	}
}

// Servers that are warming up that answer at once are used beside warm ones that are slow: what a node of
// many has seen of a few ones that are warming up tells of the others.
func TestColdServersThatAnswerFastAreUsed(t *testing.T) {
	s := fleetSettings(80)
	s.SlowStartDuration = 40 * time.Second
	var warm []uint32
	for id := uint32(1); id <= 24; id++ {
		warm = append(warm, id)
	}
	g := newHarness(t, s, endpoints(warm...)...)
	takes := func(server uint32) time.Duration {
		if server > 24 {
			return 200 * ms
		}
		return 500 * ms
	}
	g.runWithLatency(10*time.Second, 200*ms, takes)
	var cold []Endpoint
	for id := uint32(25); id <= 60; id++ {
		cold = append(cold, Endpoint{Server: id, Zone: "z1", Size: 1, StartedAt: g.now - 10*time.Second, HasStartedAt: true})
	}
	g.handle(EndpointUpdate{Kind: Delta, Endpoints: cold})
	g.runWithLatency(10*time.Second, 200*ms, takes)
	from, n := len(g.sends), 0
	g.runWithLatency(15*time.Second, 200*ms, takes)
	for _, x := range g.sends[from:] {
		if x.Server > 24 {
			n++
		}
	}
	if part := float64(n) / float64(len(g.sends)-from); part < 0.3 {
		t.Errorf("%.2f of the sends went to cold servers twice as fast and more, which had room", part)
	}
}

// Small requests do not keep a server that is warming up from large ones: a request takes its units from
// a bucket that may go into debt, and no request sets how much the bucket may hold.
func TestSmallRequestsLeaveRoomAtColdServers(t *testing.T) {
	s := fleetSettings(80)
	s.SlowStartDuration = 40 * time.Second
	var cold []Endpoint
	for id := uint32(1); id <= 30; id++ {
		cold = append(cold, Endpoint{Server: id, Zone: "z1", Size: 1, StartedAt: time.Hour - 20*time.Second, HasStartedAt: true})
	}
	g := newHarness(t, s, cold...)
	g.controller.concurrency.bound, g.controller.traffic.idleLatency, g.controller.traffic.latency, g.controller.traffic.responses, g.controller.traffic.meanTokens = 4, 0.2, 0.2, 100, 2
	large := map[string]bool{}
	for i := 0; i < 200; i++ {
		id, units := fmt.Sprint(i), 1.0
		if i%4 == 0 {
			units, large[id] = 6, true
		}
		g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: id, TimeLeft: 5 * time.Second, Tokens: units, TenantNodes: 2})
		g.advance(100 * ms)
		for n, x := range g.sends {
			if _, ended := g.finalAnswers[x.ID]; !ended && n >= len(g.sends)-4 {
				g.endAttempt(x.ID, OK, 0)
			}
		}
	}
	n := 0
	for _, x := range g.sends {
		if large[x.ID] {
			n++
		}
	}
	if part := float64(n) / float64(len(g.sends)); part < 0.15 {
		t.Errorf("%d of %d sends were large, a quarter was asked", n, len(g.sends))
	}
}

// sendsToAColdServer drives the nodes with 100 requests a second in all until 18 s after a server that is
// warming up has started, and returns the times of the sends to it.
func sendsWhileWarmingUp(gates []*harness, up time.Duration) (at []time.Duration) {
	const cold = 99
	var open []openAttempt
	seen := make([]int, len(gates)) // sends by gateway
	asked := 0
	for now := time.Hour; now < up+18*time.Second; now += 10 * ms {
		if now == up {
			for _, g := range gates {
				g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{Server: cold, Zone: "z1", Size: 1, StartedAt: up, HasStartedAt: true}}})
			}
		}
		g := gates[asked*7%len(gates)]
		g.request(fmt.Sprint(asked), "job", "low", fmt.Sprint(asked))
		asked++
		open = endDueAttempts(open, now)
		for i, g := range gates {
			g.advance(now + 10*ms - g.now)
			for ; seen[i] < len(g.sends); seen[i]++ {
				took := 300 * ms
				if g.sends[seen[i]].Server == cold {
					took = 100 * ms
					at = append(at, now)
				}
				open = append(open, openAttempt{now + took, g, g.sends[seen[i]].ID})
			}
		}
	}
	return at
}

// openAttempt is an attempt in flight that is answered at a time.
type openAttempt struct {
	endsAt time.Duration
	node   *harness
	id     string
}

// endDueAttempts answers the attempts that are due and returns the others.
func endDueAttempts(open []openAttempt, now time.Duration) []openAttempt {
	left := open[:0]
	for _, o := range open {
		if o.endsAt <= now {
			o.node.endAttempt(o.id, OK, 0)
		} else {
			left = append(left, o)
		}
	}
	return left
}

// Whatever the group's size, all nodes together stay within what a server that is warming up bears in any
// span that counts, though it answers faster than the rest and each would have it to itself.
func TestSumOfSendsToAColdServer(t *testing.T) {
	const warmDoes = 12.0 // requests a second
	up := time.Hour + 4*time.Second
	for _, group := range []int{1, 3, 10, 40, 100, 300} {
		s := fleetSettings(group)
		s.SlowStartDuration, s.OverloadWindow = 16*time.Second, 1500*ms
		gates := make([]*harness, group)
		for i := range gates {
			gates[i] = newHarnessWithSeed(t, s, uint64(i+1), endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)...)
		}
		at := sendsWhileWarmingUp(gates, up)
		for i, from := range at {
			n, warmth := 0, 0.2+0.8*(from-up).Seconds()/16
			for _, x := range at[i:] {
				if x < from+s.OverloadWindow {
					n++
				}
			}
			if most := overloadBound(s.OverloadFactor * warmth * warmDoes * s.OverloadWindow.Seconds()); from+s.OverloadWindow <= up+s.SlowStartDuration && float64(n) > most {
				t.Errorf("%d gateways: %d sends to a cold server %v after its start, it bears %.1f", group, n, from-up, most)
				break
			}
		}
		if len(at) < 10 {
			t.Errorf("%d gateways: %d sends to a cold server in 18 s", group, len(at))
		}
	}
}

// A node of many turns to a part of the servers that are warming up, and uses its connections to them
// again: its part of all that they bear is for few of them. Which ones goes by the key that all nodes
// know a server by, so that each is home to as many.
func TestFewOfTheColdServersAreHome(t *testing.T) {
	s := fleetSettings(300)
	s.SlowStartDuration = 40 * time.Second
	homes := map[uint32]int{}
	for i := 0; i < s.FleetSize; i += 7 {
		s.NodeIndex = i
		var cold []Endpoint
		for key := uint32(1); key <= 100; key++ { // each gateway has its own order
			id := 1 + (key*37+uint32(i))%100
			cold = append(cold, Endpoint{Server: id, HashKey: key * 2654435761, Zone: "z1", Size: 1, StartedAt: time.Hour - 4*time.Second, HasStartedAt: true})
		}
		g := newHarness(t, s, cold...)
		for _, x := range g.controller.servers.ordered {
			if x.preferred {
				homes[x.HashKey]++
			}
		}
		if i > 0 {
			continue
		}
		g.controller.concurrency.bound, g.controller.traffic.idleLatency, g.controller.traffic.latency, g.controller.traffic.responses, g.controller.traffic.meanTokens = 4, 0.1, 0.1, 100, 1
		g.runWithLatency(20*time.Second, 100*ms, func(uint32) time.Duration { return 100 * ms })
		used := map[uint32]bool{}
		for _, x := range g.sends {
			used[x.Server] = true
		}
		if len(g.sends) < 40 || len(used) > len(g.sends)/2 {
			t.Errorf("%d sends to cold servers went to %d of 100", len(g.sends), len(used))
		}
	}
	want := float64((s.FleetSize+6)/7) * warmingPreferredFactor * nodesPerPreferredServer / float64(s.FleetSize)
	want = max(want, float64((s.FleetSize+6)/7)*warmingPreferredFactor*minPreferredServers/100)
	for key, n := range homes {
		if math.Abs(float64(n)-want) > 2 {
			t.Errorf("server %d is home to %d of %d gateways, not %.1f", key, n, (s.FleetSize+6)/7, want)
		}
	}
	if len(homes) != 100 {
		t.Errorf("%d of 100 servers are home to some", len(homes))
	}
}
