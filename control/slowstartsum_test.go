package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// overloadBound returns the requests of mean work that a server that is warming up may get from all nodes in
// an overload window, where the settings allow it n. It is below the bound n + 3 sqrt(n) + 3 of the
// operators' protocol page.
func overloadBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// runWarmupSum lets all nodes of a fleet send as much as they admit to one server that warms up from an
// initial fraction of its capacity, beside warm servers with a load as a fraction of their capacity. It
// returns the most work in an overload window as a fraction of the server's overload bound, and the mean rate
// of requests as a fraction of what the settings allow. The work of a request is exponential; a warm server
// processes 18 requests per second with a latency of 0.17 s.
func runWarmupSum(
	t *testing.T, nodes, servers int, initialFraction, load float64, seed uint64,
) (worst, mean float64) {
	return runWarmupSumWithSettings(t, fleetSettings(nodes), nodes, 0, servers, initialFraction, load, seed)
}

// runWarmupSumWithSettings is runWarmupSum for those nodes of a larger fleet that use the server.
// nodesPerServer is their number according to the endpoint update; 0 means the whole fleet.
func runWarmupSumWithSettings(
	t *testing.T, s Settings, nodeCount int, nodesPerServer float64, servers int,
	initialFraction, load float64, seed uint64,
) (worst, mean float64) {
	const warmRate, latency = 18.0, 0.17
	rng := rand.New(rand.NewPCG(seed, uint64(nodeCount)))
	startedAt, fleetSize := time.Hour, s.FleetSize
	s.SlowStartDuration, s.SlowStartInitialFraction, s.OverloadWindow = 16*time.Second, initialFraction, 1500*ms
	var list []Endpoint
	for id := uint32(1); id <= uint32(servers); id++ {
		list = append(list, Endpoint{Server: id, HashKey: id * 2654435761, Zone: "z1"})
	}
	list[0].StartedAt, list[0].HasStartedAt = startedAt, true
	requestRate := load * warmRate * float64(servers-1) // per second, of all nodes
	nodes := make([]*Controller, nodeCount)
	for i := range nodes {
		s.NodeIndex = i * fleetSize / nodeCount
		c, err := New(s, seed<<32+uint64(i))
		require.NoError(t, err)
		c.traffic.latency, c.traffic.idleLatency = latency, latency
		c.traffic.responses, c.traffic.meanTokens = 100, 1
		c.Handle(startedAt, EndpointUpdate{Kind: Cached, Endpoints: list, NodesPerServer: nodesPerServer})
		c.traffic.servedRate = requestRate / float64(nodeCount)
		c.traffic.outcomeRate = requestRate / float64(nodeCount)
		nodes[i] = c
	}
	type send struct {
		at   time.Duration
		work float64
	}
	var window []send // attempts of the last overload window
	var endAttempt []func()
	var endsAt []time.Duration // when the functions of endAttempt are due
	work, attempts, allowed := 0.0, 0.0, 0.0
	for now := startedAt; now < startedAt+s.SlowStartDuration; {
		gap := seconds(rng.ExpFloat64() / requestRate)
		now += gap
		allowedRate := s.OverloadFactor * (initialFraction +
			(1-initialFraction)*(now-startedAt).Seconds()/s.SlowStartDuration.Seconds()) * warmRate
		allowed += allowedRate * gap.Seconds()
		for len(endsAt) > 0 && endsAt[0] <= now {
			endAttempt[0]()
			endAttempt, endsAt = endAttempt[1:], endsAt[1:]
		}
		c := nodes[rng.IntN(nodeCount)]
		x := c.servers.byID[1]
		if c.env.now = now; !c.slowStart.admits(x, 1) {
			continue
		}
		x.tokens--
		x.inFlight++
		endAttempt, endsAt = append(endAttempt, func() { x.inFlight-- }), append(endsAt, now+seconds(latency))
		window = append(window, send{now, rng.ExpFloat64()})
		work, attempts = work+window[len(window)-1].work, attempts+1
		for window[0].at < now-s.OverloadWindow {
			work -= window[0].work
			window = window[1:]
		}
		worst = max(worst, work/overloadBound(allowedRate*s.OverloadWindow.Seconds()))
	}
	return worst, attempts / allowed
}

// A fleet of any size stays within the overload bound of a server that is warming up, from any initial
// fraction, even if each node sends there all that it admits. The capacity is not left unused either: the
// fleet sends at least half of what the settings allow, which is what the server can process. For the
// smallest and the largest fleets the least fraction is lower.
func TestFleetStaysWithinOverloadBoundOfWarmingUpServer(t *testing.T) {
	for _, x := range []struct {
		nodes, servers int
		minMean        float64 // least fraction of what the settings allow, at a load of 0.7
	}{
		{1, 10, 0.15}, {3, 10, 0.3}, {7, 10, 0.3},
		{8, 10, 0.5}, {20, 20, 0.5}, {80, 60, 0.5}, {300, 150, 0.5}, {1000, 150, 0.5},
		{3000, 60, 0.2},
	} {
		for _, initial := range []float64{0.1, 0.3, 0.9} {
			worst, mean := runWarmupSum(t, x.nodes, x.servers, initial, 0.7, 1)
			assert.Less(t, worst, 1.0, "%d nodes, %d servers, from %.2f", x.nodes, x.servers, initial)
			assert.Greater(t, mean, x.minMean, "%d nodes, %d servers, from %.2f", x.nodes, x.servers, initial)
		}
	}
}
