package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/eventqueue"
)

// coldRow is a fleet in virtual time before which servers start cold.
type warmupCase struct {
	nodes, servers, warmingUp int
	initialFraction           float64       // part of its capacity that a cold server starts with
	loadSigma                 float64       // sigma of the logarithms of the gateways' loads
	discoveryDelay            time.Duration // between the first gateway's word of the start and the last's
	restartInterval           time.Duration // between two gateways that are started anew, knowing nothing; 0 is none
	startTimesUnknown         bool          // the gateways are not told that the servers have just started: they break the rule
	loadFraction              float64       // of what the warm servers do
	fleetSize                 int           // of the settings' group, where only those are played that share these servers; 0 is group
	nodesPerServer            float64       // of each server, as the list tells; 0 is the settings' group
}

// Of a warm server.
const (
	warmServerRate = 18.0 // requests of mean work a second
	serverCores    = 3.0
)

// coldFleet is a row in play: whole controllers, servers that work through what comes in order, and
// requests whose work is exponential with mean 1, asked in units that guess at it.
type warmupFleet struct {
	eventqueue.Agenda
	warmupCase
	t           *testing.T
	settings    Settings
	seed        uint64
	rng         *rand.Rand
	controllers []*Controller
	endpoints   []Endpoint
	informed    []bool
	busyUntil   []time.Duration // until then, by server
	sends       [][]warmupSend  // of the last span, by cold server
	lastID      int
	maxOverload float64 // most work that came to one in the settings' time, as a part of the formula
	attempts    float64 // to all cold servers
}

type warmupSend struct {
	at   time.Duration
	work float64
}

const (
	warmupStart    = time.Hour + 8*time.Second // before it the gateways learn
	warmupDuration = 16 * time.Second
)

func runWarmup(t *testing.T, x warmupCase, seed uint64) (worst, mean float64) {
	t.Helper()
	f := &warmupFleet{warmupCase: x, t: t, settings: fleetSettings(x.nodes), seed: seed, rng: rand.New(rand.NewPCG(seed, uint64(x.nodes))),
		busyUntil: make([]time.Duration, x.servers), sends: make([][]warmupSend, x.warmingUp), informed: make([]bool, x.nodes)}
	f.settings.SlowStartDuration, f.settings.SlowStartInitialFraction, f.settings.OverloadWindow = warmupDuration, x.initialFraction, 1500*ms
	f.settings.FleetSize = max(x.nodes, x.fleetSize)
	for i := range x.servers {
		f.endpoints = append(f.endpoints, Endpoint{Server: uint32(i + 1), HashKey: uint32(i+1) * 2654435761, Zone: fmt.Sprint("z", i%3), Size: 1})
	}
	f.Now = time.Hour
	f.controllers = make([]*Controller, x.nodes)
	loads, all := make([]float64, x.nodes), 0.0
	for i := range f.controllers {
		f.startNode(i, Cached, f.endpoints[x.warmingUp:])
		loads[i] = math.Exp(x.loadSigma * f.rng.NormFloat64())
		all += loads[i]
	}
	for i := range x.warmingUp {
		f.endpoints[i].StartedAt, f.endpoints[i].HasStartedAt = warmupStart, !x.startTimesUnknown
	}
	for i := range f.controllers {
		at := warmupStart + time.Duration(f.rng.Float64()*float64(x.discoveryDelay))
		f.After(at-f.Now, func() {
			f.informed[i] = true
			f.handle(i, EndpointUpdate{Kind: Delta, Endpoints: f.endpoints[:x.warmingUp], NodesPerServer: x.nodesPerServer})
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
		f.scheduleRequests(i, f.loadFraction*warmServerRate*float64(x.servers-x.warmingUp)*loads[i]/all)
	}
	f.Run()
	n := f.allowedWork(warmupStart+warmupDuration/2) / f.settings.OverloadWindow.Seconds() // a second, in the mean over the ramp
	return f.maxOverload, f.attempts / (n * warmupDuration.Seconds() * float64(x.warmingUp))
}

// allowedWork is what the settings allow a server that is warming up at a time.
func (f *warmupFleet) allowedWork(now time.Duration) float64 {
	return testSettings().OverloadFactor * f.warmupFraction(now) * warmServerRate * f.settings.OverloadWindow.Seconds()
}

func (f *warmupFleet) warmupFraction(now time.Duration) float64 {
	return min(1, f.initialFraction+(1-f.initialFraction)*(now-warmupStart).Seconds()/warmupDuration.Seconds())
}

// startNode starts a node, also anew.
func (f *warmupFleet) startNode(i int, kind UpdateKind, members []Endpoint) {
	f.lastID++
	s := f.settings
	s.NodeIndex = i * s.FleetSize / f.nodes
	c, err := New(s, f.seed<<32+uint64(f.lastID))
	require.NoError(f.t, err)
	f.controllers[i] = c
	f.handle(i, EndpointUpdate{Kind: kind, Endpoints: members, NodesPerServer: f.nodesPerServer})
}

// ask has requests come to a node.
func (f *warmupFleet) scheduleRequests(i int, rate float64) {
	f.After(seconds(f.rng.ExpFloat64()/rate), func() {
		if f.Now >= warmupStart+warmupDuration {
			return
		}
		f.lastID++
		work := f.rng.ExpFloat64()
		f.handle(i, Request{ID: fmt.Sprint(f.lastID, " ", work), Class: "job", Plan: "high", Tenant: fmt.Sprint(f.lastID), TimeLeft: 5 * time.Second,
			Tokens: min(8, max(1, math.Round(3*work*math.Exp(0.5*f.rng.NormFloat64())))), TenantNodes: 2})
		f.scheduleRequests(i, rate)
	})
}

// handle hands a node an event and has done what it answers.
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

// startAttempt brings an attempt to its server, which does it after what came before.
func (f *warmupFleet) startAttempt(i int, a Send) {
	var n int
	var work float64
	_, _ = fmt.Sscan(a.ID, &n, &work)
	s, does := int(a.Server)-1, warmServerRate
	if s < f.warmingUp && f.Now < warmupStart+warmupDuration {
		f.recordArrival(s, work)
		does *= f.warmupFraction(f.Now)
	}
	f.busyUntil[s] = max(f.busyUntil[s], f.Now) + seconds(work/does)
	c := f.controllers[i]
	f.After(max(f.busyUntil[s]-f.Now, seconds(work*serverCores/warmServerRate)), func() {
		if f.controllers[i] == c {
			f.handle(i, AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Done: true})
		}
	})
}

// come counts what comes to a server that is warming up.
func (f *warmupFleet) recordArrival(s int, work float64) {
	f.attempts++
	in := append(f.sends[s], warmupSend{f.Now, work})
	for in[0].at < f.Now-f.settings.OverloadWindow {
		in = in[1:]
	}
	f.sends[s] = in
	sum := 0.0
	for _, x := range in {
		sum += x.work
	}
	f.maxOverload = max(f.maxOverload, sum/overloadBound(f.allowedWork(f.Now)))
}

// coldRows are what may come together with a server that is warming up in a group of a size.
func warmupCases(group, servers int) map[string]warmupCase {
	x := warmupCase{nodes: group, servers: servers, warmingUp: 1, initialFraction: 0.1}
	with := func(set func(x *warmupCase)) warmupCase {
		y := x
		set(&y)
		return y
	}
	once := 15 * time.Second / time.Duration(group) // each gateway is started anew once in the ramp
	return map[string]warmupCase{
		"one server":         x,
		"gateways restarted": with(func(x *warmupCase) { x.restartInterval = once }),
		"uneven traffic":     with(func(x *warmupCase) { x.loadSigma = 1 }),
		"a zone's servers":   with(func(x *warmupCase) { x.warmingUp = servers / 3 }),
		"told 0 to 1 s late": with(func(x *warmupCase) { x.discoveryDelay = time.Second }),
		"all of these": with(func(x *warmupCase) {
			x.warmingUp, x.restartInterval, x.loadSigma, x.discoveryDelay = servers/3, once, 1, time.Second
		}),
	}
}

// All nodes together stay within the formula at each cold server, in each span of the settings' time; and
// a group that does not heed the starts is found.
func TestSumOfSendsToColdServersWhateverComesWithThem(t *testing.T) {
	for _, g := range []struct {
		group, servers int
		seeds          uint64
		loads          []float64
	}{{3, 10, 3, []float64{0.7, 1.1}}, {20, 20, 3, []float64{0.7, 1.1}}, {30, 30, 3, []float64{0.7, 1.1}}, {300, 60, 1, []float64{1.1}}} {
		for name, x := range warmupCases(g.group, g.servers) {
			t.Run(fmt.Sprint(g.group, " gateways, ", name), func(t *testing.T) {
				t.Parallel()
				for _, x.loadFraction = range g.loads {
					for seed := range g.seeds {
						worst, mean := runWarmup(t, x, seed+1)
						assert.LessOrEqual(t, worst, 1.0, "seed %d, load %g", seed+1, x.loadFraction)
						assert.Greater(t, mean, 0.05, "seed %d, load %g: of what the settings allow", seed+1, x.loadFraction)
					}
				}
			})
		}
		t.Run(fmt.Sprint(g.group, " gateways that do not heed the starts"), func(t *testing.T) {
			t.Parallel()
			worst := 0.0
			for seed := uint64(1); seed <= 9 && worst <= 1; seed++ { // a slow server is left soon, also by them
				for _, cold := range []int{g.servers / 3, 1} {
					w, _ := runWarmup(t, warmupCase{nodes: g.group, servers: g.servers, warmingUp: cold, initialFraction: 0.1, loadFraction: 1.5, startTimesUnknown: true}, seed)
					worst = max(worst, w)
				}
			}
			assert.Greater(t, worst, 1.0)
		})
	}
}
