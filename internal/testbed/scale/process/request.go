package process

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/scale"
)

// openedSlack is the factor that the quick form allows on the connections opened for a request: few
// at first, and one for each request where servers are many.
const openedSlack = 20

// changes is how many entries change one after the other within the change span.
const changes = 60

// The target size.
const (
	targetNodes   = 5_800
	targetServers = 85_000
)

const (
	tenantsOne  = 100 // of a point with one node
	serverRate  = 200 // requests a second in the sweep over servers
	rateServers = 200 // servers in the sweep over requests

	subsetServers = 200 // that a node uses where it uses a subset
)

// serverSweep measures one node that is told of more and more servers and uses all of them.
func serverSweep(deploy *testbed.Deploy) scale.Sweep {
	const name = "process/servers"
	costs := append(requestCosts(name, 1),
		scale.Cost{Name: name + "/start", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
		scale.Cost{Name: name + "/change-cpu", Unit: scale.Microseconds, Exponent: 1, Timed: true})
	return scale.Sweep{Name: name, Dimension: "servers listed to a real node", Target: targetServers,
		Sizes: []int{20, 200, 2_000, 20_000}, Costs: costs, Measure: measureServers(deploy, name, nil)}
}

// subsetSweep measures one node that uses some of the servers it is told of. Lists of over 4 MB are
// taken with a subset alone.
func subsetSweep(deploy *testbed.Deploy) scale.Sweep {
	const name = "process/subset"
	costs := append(requestCosts(name, 0),
		scale.Cost{Name: name + "/start", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
		scale.Cost{Name: name + "/change-cpu", Unit: scale.Microseconds, Timed: true})
	return scale.Sweep{Name: name, Dimension: "servers listed to a real node that uses 200", Target: targetServers,
		Sizes: []int{200, 2_000, 20_000, targetServers}, Costs: costs,
		Measure: measureServers(deploy, name, &fleetFile{Subset: &subsetSection{Servers: subsetServers}})}
}

// measureServers measures one node at one size of its list.
func measureServers(deploy *testbed.Deploy, sweep string, fleet *fleetFile) func(context.Context, int, uint64) ([]scale.Reading, error) {
	return measured(deploy, func(ctx context.Context, b *bench, size int, seed uint64) ([]scale.Reading, error) {
		b.fleet = fleet
		p, err := b.onePoint(ctx, size, seed)
		if err != nil {
			return nil, err
		}
		readings, unfit := p.requests(ctx, sweep, serverRate)
		if readings == nil {
			return nil, unfit
		}
		change, err := p.changes(ctx)
		if err != nil {
			return nil, err
		}
		return append(readings, scale.Reading{Cost: sweep + "/start", Value: millis(p.started)},
			scale.Reading{Cost: sweep + "/change-cpu", Value: micros(change)}), unfit
	})
}

// rateSweep measures one node under more and more requests.
func rateSweep(deploy *testbed.Deploy) scale.Sweep {
	return scale.Sweep{Name: "process/rate", Dimension: "requests a second at a real node", Target: 534,
		Sizes: []int{10, 60, 250, 1_000}, Costs: requestCosts("process/rate", 0),
		Measure: measured(deploy, func(ctx context.Context, b *bench, size int, seed uint64) ([]scale.Reading, error) {
			p, err := b.onePoint(ctx, rateServers, seed)
			if err != nil {
				return nil, err
			}
			return p.requests(ctx, "process/rate", float64(size))
		})}
}

// requestCosts are the costs of requests through one node.
func requestCosts(sweep string, exponent float64) []scale.Cost {
	prefix := sweep + "/"
	return []scale.Cost{
		{Name: prefix + "request-cpu", Unit: scale.Microseconds, Exponent: exponent, Timed: true},
		{Name: prefix + "opened", Unit: scale.Count, Exponent: exponent, Slack: openedSlack},
		{Name: prefix + "idle-cpu", Unit: scale.CorePercent, Exponent: exponent, Timed: true},
		{Name: prefix + "rss", Unit: scale.Bytes, Exponent: exponent},
		{Name: prefix + "added-p50", Unit: scale.Milliseconds, Exponent: exponent, Timed: true},
		{Name: prefix + "added-p99", Unit: scale.Milliseconds, Budget: 6, Exponent: exponent, Timed: true},
		{Name: prefix + "direct-p50", Unit: scale.Milliseconds, Timed: true},
		{Name: prefix + "direct-p99", Unit: scale.Milliseconds, Timed: true},
	}
}

// onePoint is one node with its servers and clients.
type onePoint struct {
	spans   spans
	node    *edgeNode
	clients *clients
	targets []discovery.Target
	started time.Duration // from exec to the first request that was served
}

// onePoint starts one node among a number of listed servers and waits until it serves.
func (b *bench) onePoint(ctx context.Context, servers int, seed uint64) (*onePoint, error) {
	s, err := b.serveBackends()
	if err != nil {
		return nil, err
	}
	p := &onePoint{spans: b.spans, targets: listed(s, servers)}
	if p.node, err = b.start(nodeSpec{group: nodesFor(servers), targets: p.targets, fleet: b.fleet}); err != nil {
		return nil, err
	}
	p.clients = b.newClients(s, someTenants(tenantsOne, 1, 1), seed)
	p.started, err = p.node.serving(ctx, p.clients)
	return p, err
}

// nodesFor is how many nodes share so many servers, as at the target; the real node is told so.
func nodesFor(servers int) int { return max(1, servers*targetNodes/targetServers) }

// listed gives entries that share the backends' addresses, over all zones.
func listed(s *backend, n int) []discovery.Target {
	targets := make([]discovery.Target, n)
	for i := range targets {
		targets[i] = discovery.Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: s.at[i%len(s.at)], AZ: zoneNames[i%len(zoneNames)],
			Model: "std-3core", PodGroup: i / 4, State: "up", Capacity: 1}
	}
	return targets
}

// someTenants gives tenants whose requests come through some of the nodes each.
func someTenants(n, nodes, spread int) []tenant {
	tenants := make([]tenant, n)
	for i := range tenants {
		tenants[i] = tenant{id: uint64(i + 1), plan: "basic", spread: min(spread, nodes), first: i % nodes, weight: 1}
	}
	return tenants
}

// requests measures the node under a rate, then idle, then the way to the servers without it. With a
// scale.LateError or a RefusedError it gives what was read, for a look at what went wrong.
func (p *onePoint) requests(ctx context.Context, sweep string, rate float64) ([]scale.Reading, error) {
	through := nodeOf([]*edgeNode{p.node})
	if _, err := p.clients.run(ctx, rate, p.spans.warm, through); err != nil {
		return nil, err
	}
	from, err := p.node.usage()
	if err != nil {
		return nil, err
	}
	opened := p.clients.backend.opened.Load()
	load, err := p.clients.run(ctx, rate, p.spans.load, through)
	if err != nil {
		return nil, err
	}
	to, err := p.node.usage()
	if err != nil {
		return nil, err
	}
	opened = p.clients.backend.opened.Load() - opened
	rss, err := p.node.rss()
	if err != nil {
		return nil, err
	}
	idle, err := p.idle(ctx)
	if err != nil {
		return nil, err
	}
	direct, err := p.direct(ctx, rate)
	if err != nil {
		return nil, err
	}
	f := requestFigures{load: load, direct: direct, opened: opened, idle: idle, rss: rss,
		used: to.cpu - from.cpu - time.Duration(idle*float64(to.at.Sub(from.at)))}
	return f.readings(sweep), cmp.Or(load.lateness(sweep, direct), load.refusals(servedLeast), direct.refusals(servedLeast))
}

// requestFigures is what was measured of a node under a rate of requests.
type requestFigures struct {
	load, direct *loadResult
	used         time.Duration // CPU for the load, beyond what the node uses idle
	opened       int64         // connections to servers for the load
	idle         float64       // cores
	rss          int64         // bytes
}

func (f *requestFigures) readings(sweep string) []scale.Reading {
	prefix := sweep + "/"
	return []scale.Reading{
		{Cost: prefix + "request-cpu", Value: micros(f.used) / float64(f.load.sent)},
		{Cost: prefix + "opened", Value: float64(f.opened) / float64(f.load.sent)},
		{Cost: prefix + "idle-cpu", Value: 100 * f.idle},
		{Cost: prefix + "rss", Value: float64(f.rss)},
		{Cost: prefix + "added-p50", Value: millis(quantile(f.load.added, 0.5))},
		{Cost: prefix + "added-p99", Value: millis(quantile(f.load.added, 0.99))},
		{Cost: prefix + "direct-p50", Value: millis(quantile(f.direct.added, 0.5))},
		{Cost: prefix + "direct-p99", Value: millis(quantile(f.direct.added, 0.99))},
	}
}

// idle gives the part of a core that the node uses with no requests.
func (p *onePoint) idle(ctx context.Context) (float64, error) {
	if err := wait(ctx, p.spans.rest); err != nil {
		return 0, err
	}
	from, err := p.node.usage()
	if err != nil {
		return 0, err
	}
	if err := wait(ctx, p.spans.idle); err != nil {
		return 0, err
	}
	to, err := p.node.usage()
	return cores(from, to), err
}

// direct measures the generator's own way to the servers, without the node.
func (p *onePoint) direct(ctx context.Context, rate float64) (*loadResult, error) {
	at := p.clients.backend.at
	return p.clients.run(ctx, rate, p.spans.direct, func(_ tenant, x float64) string { return at[int(x*float64(len(at)))] })
}

// changes has single entries of the list change, one message each, while nothing is asked, and gives
// the CPU that the node used for one, beyond what it uses idle.
func (p *onePoint) changes(ctx context.Context) (time.Duration, error) {
	idle, err := p.idle(ctx)
	if err != nil {
		return 0, err
	}
	from, err := p.node.usage()
	if err != nil {
		return 0, err
	}
	for i := range changes {
		t := p.targets[i%len(p.targets)]
		if i/len(p.targets)%2 == 0 {
			t.State = "draining"
		}
		p.node.agent.Put(i%len(p.targets), t)
		if err := wait(ctx, p.spans.change/changes); err != nil {
			return 0, err
		}
	}
	to, err := p.node.usage()
	if err != nil {
		return 0, err
	}
	used := to.cpu - from.cpu - time.Duration(idle*float64(to.at.Sub(from.at)))
	return used / changes, nil
}
