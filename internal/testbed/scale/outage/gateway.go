package outage

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"sloestile/control"
	"sloestile/fleet/subset"
	"sloestile/internal/testbed/eventqueue"
)

const (
	serverCores   = 4                                             // requests that a warm server works on at a time
	workMean      = time.Second * serverCores / serverCapacity    // of a request, exponential
	networkTake   = time.Millisecond                              // there and back
	connectMost   = time.Second                                   // until a connection to a lost machine is given up
	clientWaits   = 2 * time.Second                               // for an answer, its repeats included
	clockBase     = time.Duration(bootLongAgo) * time.Millisecond // of the nodes' clocks, in Unix time
	upSince       = 24 * time.Hour                                // of the servers at the begin of a simulation
	quickRatePart = 4                                             // by which the quick form's requests a second are fewer
	tenantsSeen   = 4000                                          // of one node
)

// gatewayWorld simulates the requests of a sample of hollow nodes. Servers answer after a time that does
// not depend on their load. A lost one answers nothing: a request over a connection that a node still holds
// to it waits until its client gives up, and a new connection fails after connectMost.
type gatewayWorld struct {
	eventqueue.Agenda
	ctx      context.Context
	rng      *rand.Rand
	end      time.Duration
	rate     float64 // requests a second of each node
	gone     map[string]bool
	gateways []*gateway
	counts   gatewayCounts
	sent     func(server string) // is told of each send; nil is nobody
	// hidesStarts has lists not tell when servers started: a planted fault.
	hidesStarts bool
}

// gatewayCounts are counts of a sample of nodes, from countFrom on.
type gatewayCounts struct {
	from                                    time.Duration
	requests, toGone, failed, refused, okay int
}

// gateway is one hollow node: the subset of servers that it uses, and the control of its requests.
type gateway struct {
	world   *gatewayWorld
	list    *serverList
	listed  int // servers available in the whole list
	set     *subset.Set
	control *control.Controller
	ids     map[string]uint32
	names   []string        // by number of a server at this node
	linked  map[string]bool // servers to which the node holds a connection
	open    map[string]*openRequest
	next    int
}

// openRequest is a request without its final answer.
type openRequest struct {
	attempts int
	until    time.Duration
}

func newGatewayWorld(ctx context.Context, f fleetSize, end time.Duration, seed uint64) *gatewayWorld {
	rate := requestsPerSecond
	if f == quickSize {
		rate /= quickRatePart
	}
	return &gatewayWorld{ctx: ctx, rate: rate, rng: rand.New(rand.NewPCG(seed, 21)), end: end, gone: map[string]bool{}}
}

// gatewaySettings are a deployment with a slow start of 16 s from 0.3 of a server's capacity.
func gatewaySettings(node, group int) control.Settings {
	return control.Settings{NodeIndex: node, FleetSize: group, Zone: "none", MaxAttempts: 3, SendsRetryAfter: true,
		MaxRetryAfter: 2 * time.Second, SlowStartDuration: coldFor, SlowStartInitialFraction: coldFrom, OverloadWindow: coldSpan, OverloadFactor: coldMultiple,
		Classes: []control.Class{{Name: "rate", LatencyObjective: time.Second, Deadline: 2 * clientWaits, PriorityWeight: 1}},
		Plans:   []control.Plan{{Name: "plan", PriceFactor: 1, Rate: 1000, Burst: 1000}}, CanCancel: true}
}

// add adds a hollow node that holds a part of a list of so many servers, and starts its requests.
func (w *gatewayWorld) add(l *serverList, node int, set *subset.Set, listed int) error {
	c, err := control.New(gatewaySettings(node, l.size.nodes), w.rng.Uint64())
	if err != nil {
		return err
	}
	g := &gateway{world: w, list: l, listed: listed, set: set, control: c, ids: map[string]uint32{},
		linked: map[string]bool{}, open: map[string]*openRequest{}}
	w.gateways = append(w.gateways, g)
	g.handle(control.EndpointUpdate{Kind: control.Complete, Endpoints: g.members(set.Chosen()), NodesPerServer: g.sharers()})
	g.nextRequest()
	return nil
}

// sharers returns how many nodes use one server in the mean.
func (g *gateway) sharers() float64 { return g.list.sharers(g.set, g.listed) }

// run simulates until the end, or until the context is cancelled.
func (w *gatewayWorld) run() error {
	w.Run()
	return w.ctx.Err()
}

func (w *gatewayWorld) after(wait time.Duration, do func()) {
	if w.Now+wait <= w.end && w.ctx.Err() == nil {
		w.After(wait, do)
	}
}

// clock returns the nodes' clock at this moment.
func (w *gatewayWorld) clock() time.Duration { return clockBase + upSince + w.Now }

// counting reports whether counts are of interest yet.
func (w *gatewayWorld) counting() bool { return w.Now >= w.counts.from }

// apply has a node take in a delta of the server list, after which so many servers are available.
func (g *gateway) apply(delta []subset.Server, listed int) error {
	g.listed = listed
	change, err := g.set.Apply(delta)
	if err != nil {
		return err
	}
	members := g.members(change.Updated)
	for _, id := range change.Removed {
		members = append(members, control.Endpoint{Server: g.number(id), Condition: control.Removed})
	}
	if len(members) > 0 {
		g.handle(control.EndpointUpdate{Kind: control.Delta, Endpoints: members, NodesPerServer: g.sharers()})
	}
	return nil
}

// members returns servers as control is told of them.
func (g *gateway) members(servers []subset.Server) []control.Endpoint {
	out := make([]control.Endpoint, 0, len(servers))
	for _, s := range servers {
		condition := control.Active
		if s.State != subset.Available {
			condition = control.Draining
		}
		key := fnv.New32a()
		key.Write([]byte(s.ID))
		out = append(out, control.Endpoint{Server: g.number(s.ID), HashKey: key.Sum32(), Condition: condition, Zone: s.Zone,
			Cell: s.Group, Flavor: s.Model, Size: s.Capacity, HasStartedAt: s.BootMS > 0,
			StartedAt: time.Duration(s.BootMS * float64(time.Millisecond))})
	}
	return out
}

// number returns the number that a server has at this node.
func (g *gateway) number(id string) uint32 {
	n, ok := g.ids[id]
	if !ok {
		n = uint32(len(g.names))
		g.ids[id], g.names = n, append(g.names, id)
	}
	return n
}

// nextRequest plans the next request; they come at random times.
func (g *gateway) nextRequest() {
	gap := time.Duration(g.world.rng.ExpFloat64() / g.world.rate * float64(time.Second))
	g.world.after(gap, func() {
		g.request()
		g.nextRequest()
	})
}

func (g *gateway) request() {
	w := g.world
	id := strconv.Itoa(g.next)
	g.next++
	g.open[id] = &openRequest{until: w.Now + clientWaits}
	if w.counting() {
		w.counts.requests++
	}
	g.handle(control.Request{ID: id, Class: "rate", Plan: "plan", Tenant: strconv.Itoa(w.rng.IntN(tenantsSeen)),
		TimeLeft: clientWaits, Tokens: 1, TenantNodes: 1})
}

// handle tells control of an event and carries out its actions.
func (g *gateway) handle(e control.Event) {
	for _, action := range g.control.Handle(g.world.clock(), e) {
		switch a := action.(type) {
		case control.Send:
			g.send(a)
		case control.SetTimer:
			g.world.after(a.After, func() { g.handle(control.Timer{Label: a.Label}) })
		case control.CancelAttempt:
			g.world.after(0, func() { g.handle(control.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: control.Cancelled}) })
		case control.Reject:
			g.finish(a.ID, &g.world.counts.refused)
		case control.Fail:
			g.finish(a.ID, &g.world.counts.failed)
		case control.HealthCheck:
			g.probe(a.Server)
		}
	}
}

// finish takes a request's final answer.
func (g *gateway) finish(id string, count *int) {
	if g.open[id] == nil {
		return
	}
	delete(g.open, id)
	if g.world.counting() {
		*count++
	}
}

// send simulates an attempt at a server.
func (g *gateway) send(a control.Send) {
	w, r := g.world, g.open[a.ID]
	if r == nil {
		return
	}
	n, name := r.attempts, g.names[a.Server]
	r.attempts++
	if w.sent != nil {
		w.sent(name)
	}
	answer := control.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server}
	if w.gone[name] {
		if w.counting() {
			w.counts.toGone++
		}
		g.unanswered(answer, a.Timeout, name)
		return
	}
	took := networkTake + time.Duration(w.rng.ExpFloat64()*float64(workMean))
	w.after(took, func() { g.answered(answer, name) })
}

// unanswered has an attempt at a lost server end by a time-out, or by a connection that fails.
func (g *gateway) unanswered(answer control.AttemptEnded, within time.Duration, server string) {
	w, wait := g.world, connectMost
	answer.Outcome = control.ConnectFailed
	if r := g.open[answer.ID]; g.linked[server] && r != nil {
		answer.Outcome, wait = control.TimedOut, max(0, r.until-w.Now)
		if within > 0 {
			wait = min(wait, within)
		}
	}
	w.after(wait, func() {
		delete(g.linked, server)
		g.handle(answer)
		if r := g.open[answer.ID]; r != nil && w.Now >= r.until {
			g.finish(answer.ID, &w.counts.failed)
		}
	})
}

// answered takes the end of an attempt's work, unless its server was lost meanwhile.
func (g *gateway) answered(answer control.AttemptEnded, server string) {
	if g.world.gone[server] {
		g.linked[server] = true
		g.unanswered(answer, 0, server)
		return
	}
	g.linked[server] = true
	answer.Outcome, answer.Done = control.OK, true
	g.finish(answer.ID, &g.world.counts.okay)
	g.handle(answer)
}

func (g *gateway) probe(server uint32) {
	w := g.world
	result := control.HealthCheckResult{Server: server, Outcome: control.OK}
	wait := networkTake
	if w.gone[g.names[server]] {
		result.Outcome, wait = control.ConnectFailed, connectMost
	}
	w.after(wait, func() { g.handle(result) })
}
