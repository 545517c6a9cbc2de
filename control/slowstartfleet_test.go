package control

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/eventqueue"
)

// warmupCase describes a fleet in virtual time and the conditions under which some of its servers warm up.
type warmupCase struct {
	nodes, servers, warmingUp int           // numbers of nodes, of servers, and of the servers that warm up
	initialFraction           float64       // fraction of its capacity that a server has at its start
	loadSigma                 float64       // standard deviation of the logarithms of the nodes' loads
	discoveryDelay            time.Duration // longest time from the servers' start until a node learns of it
	restartInterval           time.Duration // time between restarts of nodes, which lose their state; 0 is none
	startTimesUnknown         bool          // the endpoint list lacks the start times, so no slow start applies
	loadFraction              float64       // load as a fraction of the warm servers' capacity
	fleetSize                 int           // nodes of the fleet, of which some are simulated; 0 means all are
	nodesPerServer            float64       // as in EndpointUpdate; 0 means the fleet's size
	serverRate                float64       // requests of mean work per second of a warm server; 0 means warmServerRate
}

// The capacity of a warm server, unless a case has another rate.
const (
	warmServerRate = 18.0 // requests of mean work per second
	serverCores    = 3.0
)

// rate returns the requests of mean work per second of a warm server.
func (x *warmupCase) rate() float64 { return cmp.Or(x.serverRate, warmServerRate) }

// warmupFleet runs a warmupCase: whole controllers, and servers that process their attempts in order of
// arrival. The work of a request is exponential with mean 1; its expected tokens are a rough estimate of
// three times that.
type warmupFleet struct {
	eventqueue.Agenda
	warmupCase
	t           *testing.T
	settings    Settings
	seed        uint64
	rng         *rand.Rand
	controllers []*Controller
	endpoints   []Endpoint
	informed    []bool          // by node: it knows of the servers' start
	busyUntil   []time.Duration // by server: time until which it has work
	sends       [][]warmupSend  // by server that warms up: attempts of the last overload window
	lastID      int             // number of the latest request or started controller
	maxOverload float64         // most work in an overload window at a server, as a fraction of its bound
	attempts    float64         // number of attempts at all servers that warm up
}

// warmupSend is an attempt at a server that is warming up.
type warmupSend struct {
	at   time.Duration
	work float64
}

const (
	warmupStart    = time.Hour + 8*time.Second // the nodes observe the warm servers for 8 s before it
	warmupDuration = 16 * time.Second
)

// runWarmup runs a case. It returns the most work that arrived at one server in an overload window, as a
// fraction of the server's overload bound, and the attempts as a fraction of what the settings allow.
func runWarmup(t *testing.T, x warmupCase, seed uint64) (worst, mean float64) {
	t.Helper()
	f := &warmupFleet{
		warmupCase: x,
		t:          t,
		settings:   fleetSettings(x.nodes),
		seed:       seed,
		rng:        rand.New(rand.NewPCG(seed, uint64(x.nodes))),
		busyUntil:  make([]time.Duration, x.servers),
		sends:      make([][]warmupSend, x.warmingUp),
		informed:   make([]bool, x.nodes),
	}
	f.settings.SlowStartDuration = warmupDuration
	f.settings.SlowStartInitialFraction = x.initialFraction
	f.settings.OverloadWindow = 1500 * ms
	f.settings.FleetSize = max(x.nodes, x.fleetSize)
	for i := range x.servers {
		f.endpoints = append(f.endpoints, Endpoint{
			Server:  uint32(i + 1),
			HashKey: uint32(i+1) * 2654435761,
			Zone:    fmt.Sprint("z", i%3),
			Size:    1,
		})
	}
	f.Now = time.Hour
	f.controllers = make([]*Controller, x.nodes)
	loads, totalLoad := make([]float64, x.nodes), 0.0
	for i := range f.controllers {
		f.startNode(i, Cached, f.endpoints[x.warmingUp:])
		loads[i] = math.Exp(x.loadSigma * f.rng.NormFloat64())
		totalLoad += loads[i]
	}
	for i := range x.warmingUp {
		f.endpoints[i].StartedAt, f.endpoints[i].HasStartedAt = warmupStart, !x.startTimesUnknown
	}
	for i := range f.controllers {
		at := warmupStart + time.Duration(f.rng.Float64()*float64(x.discoveryDelay))
		f.After(at-f.Now, func() {
			f.informed[i] = true
			f.handle(i, EndpointUpdate{
				Kind:           Delta,
				Endpoints:      f.endpoints[:x.warmingUp],
				NodesPerServer: x.nodesPerServer,
			})
		})
	}
	if x.restartInterval > 0 {
		for k := range int(warmupDuration / x.restartInterval) {
			i := k % x.nodes
			f.After(warmupStart+time.Second+time.Duration(k)*x.restartInterval-f.Now, func() {
				f.informed[i] = true
				f.startNode(i, Cached, f.endpoints)
			})
		}
	}
	for i := range f.controllers {
		f.scheduleRequests(i, f.loadFraction*f.rate()*float64(x.servers-x.warmingUp)*loads[i]/totalLoad)
	}
	f.Run()
	// Requests per second that the settings allow a server in the mean over its warm-up.
	allowedRate := f.allowedWork(warmupStart+warmupDuration/2) / f.settings.OverloadWindow.Seconds()
	return f.maxOverload, f.attempts / (allowedRate * warmupDuration.Seconds() * float64(x.warmingUp))
}

// allowedWork returns the work in an overload window that the settings allow a server that is warming up.
func (f *warmupFleet) allowedWork(now time.Duration) float64 {
	return testSettings().OverloadFactor * f.warmupFraction(now) * f.rate() *
		f.settings.OverloadWindow.Seconds()
}

func (f *warmupFleet) warmupFraction(now time.Duration) float64 {
	return min(1, f.initialFraction+(1-f.initialFraction)*(now-warmupStart).Seconds()/warmupDuration.Seconds())
}

// startNode starts a node, or restarts it without its state.
func (f *warmupFleet) startNode(i int, kind UpdateKind, servers []Endpoint) {
	f.lastID++
	s := f.settings
	s.NodeIndex = i * s.FleetSize / f.nodes
	c, err := New(s, f.seed<<32+uint64(f.lastID))
	require.NoError(f.t, err)
	f.controllers[i] = c
	f.handle(i, EndpointUpdate{Kind: kind, Endpoints: servers, NodesPerServer: f.nodesPerServer})
}

// scheduleRequests sends a node requests at a rate per second until the end of the warm-up.
func (f *warmupFleet) scheduleRequests(i int, rate float64) {
	f.After(seconds(f.rng.ExpFloat64()/rate), func() {
		if f.Now >= warmupStart+warmupDuration {
			return
		}
		f.lastID++
		work := f.rng.ExpFloat64()
		f.handle(i, Request{
			ID:          fmt.Sprint(f.lastID, " ", work),
			Class:       "job",
			Plan:        "high",
			Tenant:      fmt.Sprint(f.lastID),
			TimeLeft:    5 * time.Second,
			Tokens:      min(8, max(1, math.Round(3*work*math.Exp(0.5*f.rng.NormFloat64())))),
			TenantNodes: 2,
		})
		f.scheduleRequests(i, rate)
	})
}

// handle passes an event to a node's controller and carries out its actions.
func (f *warmupFleet) handle(i int, e Event) {
	c := f.controllers[i]
	for _, a := range append([]Action{}, c.Handle(f.Now, e)...) {
		switch a := a.(type) {
		case Send:
			f.startAttempt(i, a)
		case SetTimer:
			f.After(a.After, func() {
				if f.controllers[i] == c && f.Now < warmupStart+warmupDuration {
					f.handle(i, Timer{Label: a.Label})
				}
			})
		}
	}
}

// startAttempt queues an attempt at its server, which processes it after those that came before.
func (f *warmupFleet) startAttempt(i int, a Send) {
	var n int
	var work float64
	_, _ = fmt.Sscan(a.ID, &n, &work)
	server, rate := int(a.Server)-1, f.rate()
	if server < f.warmingUp && f.Now < warmupStart+warmupDuration {
		f.recordArrival(server, work)
		rate *= f.warmupFraction(f.Now)
	}
	f.busyUntil[server] = max(f.busyUntil[server], f.Now) + seconds(work/rate)
	c := f.controllers[i]
	f.After(max(f.busyUntil[server]-f.Now, seconds(work*serverCores/warmServerRate)), func() {
		if f.controllers[i] == c {
			f.handle(i, AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Done: true})
		}
	})
}

// recordArrival adds the work of an attempt to that of a server's overload window.
func (f *warmupFleet) recordArrival(server int, work float64) {
	f.attempts++
	window := append(f.sends[server], warmupSend{f.Now, work})
	for window[0].at < f.Now-f.settings.OverloadWindow {
		window = window[1:]
	}
	f.sends[server] = window
	sum := 0.0
	for _, x := range window {
		sum += x.work
	}
	f.maxOverload = max(f.maxOverload, sum/overloadBound(f.allowedWork(f.Now)))
}

// warmupCases returns the adverse conditions, by name, under which servers warm up in a fleet of some size.
func warmupCases(nodes, servers int) map[string]warmupCase {
	x := warmupCase{nodes: nodes, servers: servers, warmingUp: 1, initialFraction: 0.1}
	with := func(set func(x *warmupCase)) warmupCase {
		y := x
		set(&y)
		return y
	}
	restartInterval := 15 * time.Second / time.Duration(nodes) // each node restarts once in the warm-up
	return map[string]warmupCase{
		"one server":                  x,
		"node restarts":               with(func(x *warmupCase) { x.restartInterval = restartInterval }),
		"uneven load":                 with(func(x *warmupCase) { x.loadSigma = 1 }),
		"all servers of a zone":       with(func(x *warmupCase) { x.warmingUp = servers / 3 }),
		"discovery up to 1 s delayed": with(func(x *warmupCase) { x.discoveryDelay = time.Second }),
		"all conditions": with(func(x *warmupCase) {
			x.warmingUp = servers / 3
			x.restartInterval = restartInterval
			x.loadSigma = 1
			x.discoveryDelay = time.Second
		}),
	}
}

// All nodes together stay within the overload bound of each server that is warming up, in each overload
// window and under adverse conditions. A fleet that does not know the servers' start times, and so applies
// no slow start, exceeds the bound, so the check can fail.
func TestFleetDoesNotOverloadWarmingUpServersInAdverseConditions(t *testing.T) {
	for _, fleet := range []struct {
		nodes, servers int
		seeds          uint64
		loadFractions  []float64
	}{
		{3, 10, 3, []float64{0.7, 1.1}},
		{20, 20, 3, []float64{0.7, 1.1}},
		{30, 30, 3, []float64{0.7, 1.1}},
		{300, 60, 1, []float64{1.1}},
	} {
		for name, x := range warmupCases(fleet.nodes, fleet.servers) {
			t.Run(fmt.Sprint(fleet.nodes, " nodes, ", name), func(t *testing.T) {
				t.Parallel()
				for _, x.loadFraction = range fleet.loadFractions {
					for seed := range fleet.seeds {
						worst, mean := runWarmup(t, x, seed+1)
						assert.LessOrEqual(t, worst, 1.0, "seed %d, load %g", seed+1, x.loadFraction)
						assert.Greater(t, mean, 0.05,
							"seed %d, load %g: fraction of what the settings allow", seed+1, x.loadFraction)
					}
				}
			})
		}
		t.Run(fmt.Sprint(fleet.nodes, " nodes without slow start"), func(t *testing.T) {
			t.Parallel()
			worst := 0.0
			// Such nodes also soon avoid a slow server, so several runs are needed until one overloads it.
			for seed := uint64(1); seed <= 9 && worst <= 1; seed++ {
				for _, warmingUp := range []int{fleet.servers / 3, 1} {
					w, _ := runWarmup(t, warmupCase{
						nodes:             fleet.nodes,
						servers:           fleet.servers,
						warmingUp:         warmingUp,
						initialFraction:   0.1,
						loadFraction:      1.5,
						startTimesUnknown: true,
					}, seed)
					worst = max(worst, w)
				}
			}
			assert.Greater(t, worst, 1.0)
		})
	}
}
