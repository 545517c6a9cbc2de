package outage

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"sloestile/fleet/subset"
)

// The slow start of the simulated deployment, as control.Settings has it.
const (
	coldFor      = 16 * time.Second        // a server is warm this long after its start
	coldFrom     = 0.3                     // part of its capacity that it starts with
	coldSpan     = 1500 * time.Millisecond // over which its load is counted
	coldMultiple = 2.0                     // times its present capacity that it bears over that span
	coldWarmUp   = 5 * time.Second         // of the nodes, before servers start
)

// coldLimit is the work that a cold server may get in a span, in requests of mean work, where n is what the
// settings allow it then: see "Cold servers" in docs/design.md.
func coldLimit(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// coldLoad is the load of one cold server, from all nodes that use it.
type coldLoad struct {
	boot  time.Duration
	sends []coldSend // of the last span
	sum   float64
	sent  float64 // work in all
	worst float64 // sum of a span over its limit
}

type coldSend struct {
	at   time.Duration
	work float64
}

// add takes a send to the server.
func (c *coldLoad) add(now time.Duration, work float64) {
	if now >= c.boot+coldFor {
		return
	}
	c.sends = append(c.sends, coldSend{now, work})
	c.sum += work
	c.sent += work
	for c.sends[0].at < now-coldSpan {
		c.sum -= c.sends[0].work
		c.sends = c.sends[1:]
	}
	part := coldFrom + (1-coldFrom)*(now-c.boot).Seconds()/coldFor.Seconds()
	c.worst = max(c.worst, c.sum/coldLimit(coldMultiple*part*serverCapacity*coldSpan.Seconds()))
}

// coldResult is the load of some cold servers, over all nodes that use them.
type coldResult struct {
	worst   float64 // sum of a span over its limit
	gateway int     // nodes that were simulated
	used    float64 // work that the servers got, over what they could do
	refused float64 // part of the nodes' requests
}

// newColdWorld returns a world for simulateColdStart.
func newColdWorld(ctx context.Context, l *serverList, seed uint64) *gatewayWorld {
	return newGatewayWorld(ctx, l.size, coldWarmUp+coldFor+pushMost, seed)
}

// simulateColdStart has servers start and come into the lists of all nodes that use some watched ones.
// starts are the servers that start; each of the nodes has a set without them.
func simulateColdStart(w *gatewayWorld, l *serverList, users map[string][]int, starts map[string]bool, seed uint64) (coldResult, error) {
	w.counts.from = coldWarmUp
	loads := map[string]*coldLoad{}
	nodes := map[int]bool{}
	for id, using := range users {
		loads[id] = &coldLoad{}
		for _, n := range using {
			nodes[n] = true
		}
	}
	boots := bootTimes(l, starts, seed)
	for id := range loads {
		loads[id].boot = boots[id]
	}
	w.sent = func(server string) {
		if load := loads[server]; load != nil {
			load.add(w.Now, w.rng.ExpFloat64())
		}
	}
	failed := error(nil)
	for _, node := range sortedKeys(nodes) {
		delta, err := w.addWithout(l, node, starts, boots)
		if err != nil {
			return coldResult{}, err
		}
		g := w.gateways[len(w.gateways)-1]
		w.after(coldWarmUp+pushDelay(w.rng), func() {
			if err := g.apply(delta, l.size.servers); err != nil {
				failed = err
			}
		})
	}
	if err := w.run(); err != nil {
		return coldResult{}, err
	}
	return w.coldResult(loads), failed
}

// bootTimes draws when servers started: within 2 s before discovery lists them.
func bootTimes(l *serverList, starts map[string]bool, seed uint64) map[string]time.Duration {
	rng := rand.New(rand.NewPCG(seed, 41))
	out := map[string]time.Duration{}
	for _, s := range l.servers {
		if starts[s.ID] {
			out[s.ID] = coldWarmUp - time.Duration(rng.Int64N(int64(2*time.Second)))
		}
	}
	return out
}

// addWithout adds a node whose list lacks the servers that start, and returns the delta that brings them.
func (w *gatewayWorld) addWithout(l *serverList, node int, starts map[string]bool, boots map[string]time.Duration) ([]subset.Server, error) {
	var stay, come []subset.Server
	for _, s := range l.near(node) {
		if !starts[s.ID] {
			stay = append(stay, s)
			continue
		}
		if !w.hidesStarts {
			s.BootMS = float64((clockBase + upSince + boots[s.ID]) / time.Millisecond)
		}
		come = append(come, s)
	}
	set, err := newSet(node, stay)
	if err != nil {
		return nil, err
	}
	return come, w.add(l, node, set, l.size.servers-len(starts))
}

func (w *gatewayWorld) coldResult(loads map[string]*coldLoad) coldResult {
	r := coldResult{gateway: len(w.gateways)}
	able := 0.0
	for _, load := range loads {
		r.worst = max(r.worst, load.worst)
		r.used += load.sent
		able += serverCapacity * coldFor.Seconds() * (1 + coldFrom) / 2
	}
	r.used /= max(1, able)
	r.refused = float64(w.counts.refused+w.counts.failed) / float64(max(1, w.counts.requests))
	return r
}
