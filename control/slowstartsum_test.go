package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// coldFormula is what a server that is warming up may get in the settings' time from all nodes, in
// requests of mean work: n is what the settings allow it then. It is less than the page's n + 3 sqrt(n) +
// 3.
func overloadBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// coldSum has a whole group send to one cold server among warm ones all that each has room for, while
// it warms from a part of its capacity on. It gives the most that came in the settings' time, as a part
// of the formula, and the mean as a part of what the settings allow. The work of a request is
// exponential; a warm server does 18 a second, its answers take 0.17 s.
func runWarmupSum(t *testing.T, group, servers int, from, load float64, seed uint64) (worst, mean float64) {
	return runWarmupSumWithSettings(t, fleetSettings(group), group, 0, servers, from, load, seed)
}

// coldSumOf is coldSum for the nodes that send to one server, of the group of the settings: sharers is
// how many these are as the list tells; 0 is the whole group.
func runWarmupSumWithSettings(t *testing.T, s Settings, gateways int, sharers float64, servers int, from, load float64, seed uint64) (worst, mean float64) {
	const does, takes = 18.0, 0.17
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	up, group := time.Hour, s.FleetSize
	s.SlowStartDuration, s.SlowStartInitialFraction, s.OverloadWindow = 16*time.Second, from, 1500*ms
	var members []Endpoint
	for id := uint32(1); id <= uint32(servers); id++ {
		members = append(members, Endpoint{Server: id, HashKey: id * 2654435761, Zone: "z1"})
	}
	members[0].StartedAt, members[0].HasStartedAt = up, true
	asked := load * does * float64(servers-1) // requests a second
	gates := make([]*Controller, gateways)
	for i := range gates {
		s.NodeIndex = i * group / gateways
		c, err := New(s, seed<<32+uint64(i))
		require.NoError(t, err)
		c.traffic.latency, c.traffic.idleLatency, c.traffic.responses, c.traffic.meanTokens = takes, takes, 100, 1
		c.Handle(up, EndpointUpdate{Kind: Cached, Endpoints: members, NodesPerServer: sharers})
		c.traffic.servedRate, c.traffic.outcomeRate = asked/float64(gateways), asked/float64(gateways)
		gates[i] = c
	}
	type send struct {
		at   time.Duration
		work float64
	}
	var sends []send // of the last span
	var out []func()
	var ends []time.Duration
	sum, sent, allowed := 0.0, 0.0, 0.0
	for now := up; now < up+s.SlowStartDuration; {
		gap := seconds(rng.ExpFloat64() / asked)
		now += gap
		n := s.OverloadFactor * (from + (1-from)*(now-up).Seconds()/s.SlowStartDuration.Seconds()) * does
		allowed += n * gap.Seconds()
		for len(ends) > 0 && ends[0] <= now {
			out[0]()
			out, ends = out[1:], ends[1:]
		}
		c := gates[rng.IntN(gateways)]
		x := c.servers.byID[1]
		if c.env.now = now; !c.slowStart.admits(x, 1) {
			continue
		}
		x.tokens--
		x.inFlight++
		out, ends = append(out, func() { x.inFlight-- }), append(ends, now+seconds(takes))
		sends = append(sends, send{now, rng.ExpFloat64()})
		sum, sent = sum+sends[len(sends)-1].work, sent+1
		for sends[0].at < now-s.OverloadWindow {
			sum -= sends[0].work
			sends = sends[1:]
		}
		worst = max(worst, sum/overloadBound(n*s.OverloadWindow.Seconds()))
	}
	return worst, sent / allowed
}

// Whatever the size of a group, all of it together stay within the formula at a cold
// server, from any warm-up on, even if each sends there all that it may. Nor is the room left unused: they
// may send what the server can do, half of what the settings allow; a group of few what passes there.
func TestGroupStaysWithinTheColdFormula(t *testing.T) {
	for _, x := range []struct {
		group, servers int
		least          float64 // of what the settings allow, at a load of 0.7
	}{{1, 10, 0.15}, {3, 10, 0.3}, {7, 10, 0.3}, {8, 10, 0.5}, {20, 20, 0.5}, {80, 60, 0.5}, {300, 150, 0.5}, {1000, 150, 0.5},
		{3000, 60, 0.2}} {
		for _, from := range []float64{0.1, 0.3, 0.9} {
			worst, mean := runWarmupSum(t, x.group, x.servers, from, 0.7, 1)
			assert.Less(t, worst, 1.0, "%d gateways, %d servers, from %.2f", x.group, x.servers, from)
			assert.Greater(t, mean, x.least, "%d gateways, %d servers, from %.2f", x.group, x.servers, from)
		}
	}
}
