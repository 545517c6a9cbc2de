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
	group, servers, cold int
	from                 float64       // part of its capacity that a cold server starts with
	uneven               float64       // sigma of the logarithms of the gateways' loads
	apart                time.Duration // between the first gateway's word of the start and the last's
	restart              time.Duration // between two gateways that are started anew, knowing nothing; 0 is none
	unaware              bool          // the gateways are not told that the servers have just started: they break the rule
	load                 float64       // of what the warm servers do
	size                 int           // of the settings' group, where only those are played that share these servers; 0 is group
	sharers              float64       // of each server, as the list tells; 0 is the settings' group
}

// Of a warm server.
const (
	coldDoes  = 18.0 // requests of mean work a second
	coldCores = 3.0
)

// coldFleet is a row in play: whole controllers, servers that work through what comes in order, and
// requests whose work is exponential with mean 1, asked in units that guess at it.
type warmupFleet struct {
	eventqueue.Agenda
	warmupCase
	t       *testing.T
	set     Settings
	seed    uint64
	rng     *rand.Rand
	gates   []*Controller
	members []Endpoint
	told    []bool
	busy    []time.Duration // until then, by server
	sends   [][]warmupSend  // of the last span, by cold server
	n       int
	worst   float64 // most work that came to one in the settings' time, as a part of the formula
	sent    float64 // to all cold servers
}

type warmupSend struct {
	at   time.Duration
	work float64
}

const (
	coldUp  = time.Hour + 8*time.Second // before it the gateways learn
	coldFor = 16 * time.Second
)

func runWarmup(t *testing.T, x warmupCase, seed uint64) (worst, mean float64) {
	t.Helper()
	f := &warmupFleet{warmupCase: x, t: t, set: fleet(x.group), seed: seed, rng: rand.New(rand.NewPCG(seed, uint64(x.group))),
		busy: make([]time.Duration, x.servers), sends: make([][]warmupSend, x.cold), told: make([]bool, x.group)}
	f.set.SlowStartDuration, f.set.SlowStartInitialFraction, f.set.OverloadWindow = coldFor, x.from, 1500*ms
	f.set.FleetSize = max(x.group, x.size)
	for i := range x.servers {
		f.members = append(f.members, Endpoint{Server: uint32(i + 1), HashKey: uint32(i+1) * 2654435761, Zone: fmt.Sprint("z", i%3), Size: 1})
	}
	f.Now = time.Hour
	f.gates = make([]*Controller, x.group)
	loads, all := make([]float64, x.group), 0.0
	for i := range f.gates {
		f.begin(i, Cached, f.members[x.cold:])
		loads[i] = math.Exp(x.uneven * f.rng.NormFloat64())
		all += loads[i]
	}
	for i := range x.cold {
		f.members[i].StartedAt, f.members[i].HasStartedAt = coldUp, !x.unaware
	}
	for i := range f.gates {
		at := coldUp + time.Duration(f.rng.Float64()*float64(x.apart))
		f.After(at-f.Now, func() {
			f.told[i] = true
			f.do(i, EndpointUpdate{Kind: Delta, Endpoints: f.members[:x.cold], NodesPerServer: x.sharers})
		})
	}
	if x.restart > 0 {
		for k := range int(coldFor / x.restart) {
			i := k % x.group
			f.After(coldUp+time.Second+time.Duration(k)*x.restart-f.Now, func() {
				f.told[i] = true
				f.begin(i, Cached, f.members)
			})
		}
	}
	for i := range f.gates {
		f.sendRequests(i, f.load*coldDoes*float64(x.servers-x.cold)*loads[i]/all)
	}
	f.Run()
	n := f.allows(coldUp+coldFor/2) / f.set.OverloadWindow.Seconds() // a second, in the mean over the ramp
	return f.worst, f.sent / (n * coldFor.Seconds() * float64(x.cold))
}

// allows is what the settings allow a server that is warming up at a time.
func (f *warmupFleet) allows(now time.Duration) float64 {
	return settings().OverloadFactor * f.warmupFraction(now) * coldDoes * f.set.OverloadWindow.Seconds()
}

func (f *warmupFleet) warmupFraction(now time.Duration) float64 {
	return min(1, f.from+(1-f.from)*(now-coldUp).Seconds()/coldFor.Seconds())
}

// begin starts a node, also anew.
func (f *warmupFleet) begin(i int, kind UpdateKind, members []Endpoint) {
	f.n++
	s := f.set
	s.NodeIndex = i * s.FleetSize / f.group
	c, err := New(s, f.seed<<32+uint64(f.n))
	require.NoError(f.t, err)
	f.gates[i] = c
	f.do(i, EndpointUpdate{Kind: kind, Endpoints: members, NodesPerServer: f.sharers})
}

// ask has requests come to a node.
func (f *warmupFleet) sendRequests(i int, rate float64) {
	f.After(seconds(f.rng.ExpFloat64()/rate), func() {
		if f.Now >= coldUp+coldFor {
			return
		}
		f.n++
		work := f.rng.ExpFloat64()
		f.do(i, Request{ID: fmt.Sprint(f.n, " ", work), Class: "job", Plan: "high", Tenant: fmt.Sprint(f.n), TimeLeft: 5 * time.Second,
			Tokens: min(8, max(1, math.Round(3*work*math.Exp(0.5*f.rng.NormFloat64())))), TenantNodes: 2})
		f.sendRequests(i, rate)
	})
}

// do hands a node an event and has done what it answers.
func (f *warmupFleet) do(i int, e Event) {
	c := f.gates[i]
	for _, a := range append([]Action{}, c.Handle(f.Now, e)...) {
		switch a := a.(type) {
		case Send:
			f.send(i, a)
		case SetTimer:
			f.After(a.After, func() {
				if f.gates[i] == c && f.Now < coldUp+coldFor {
					f.do(i, Timer{Label: a.Label})
				}
			})
		}
	}
}

// send brings an attempt to its server, which does it after what came before.
func (f *warmupFleet) send(i int, a Send) {
	var n int
	var work float64
	_, _ = fmt.Sscan(a.ID, &n, &work)
	s, does := int(a.Server)-1, coldDoes
	if s < f.cold && f.Now < coldUp+coldFor {
		f.arrive(s, work)
		does *= f.warmupFraction(f.Now)
	}
	f.busy[s] = max(f.busy[s], f.Now) + seconds(work/does)
	c := f.gates[i]
	f.After(max(f.busy[s]-f.Now, seconds(work*coldCores/coldDoes)), func() {
		if f.gates[i] == c {
			f.do(i, AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Done: true})
		}
	})
}

// come counts what comes to a server that is warming up.
func (f *warmupFleet) arrive(s int, work float64) {
	f.sent++
	in := append(f.sends[s], warmupSend{f.Now, work})
	for in[0].at < f.Now-f.set.OverloadWindow {
		in = in[1:]
	}
	f.sends[s] = in
	sum := 0.0
	for _, x := range in {
		sum += x.work
	}
	f.worst = max(f.worst, sum/overloadBound(f.allows(f.Now)))
}

// coldRows are what may come together with a server that is warming up in a group of a size.
func warmupCases(group, servers int) map[string]warmupCase {
	x := warmupCase{group: group, servers: servers, cold: 1, from: 0.1}
	with := func(set func(x *warmupCase)) warmupCase {
		y := x
		set(&y)
		return y
	}
	once := 15 * time.Second / time.Duration(group) // each gateway is started anew once in the ramp
	return map[string]warmupCase{
		"one server":         x,
		"gateways restarted": with(func(x *warmupCase) { x.restart = once }),
		"uneven traffic":     with(func(x *warmupCase) { x.uneven = 1 }),
		"a zone's servers":   with(func(x *warmupCase) { x.cold = servers / 3 }),
		"told 0 to 1 s late": with(func(x *warmupCase) { x.apart = time.Second }),
		"all of these":       with(func(x *warmupCase) { x.cold, x.restart, x.uneven, x.apart = servers/3, once, 1, time.Second }),
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
				for _, x.load = range g.loads {
					for seed := range g.seeds {
						worst, mean := runWarmup(t, x, seed+1)
						assert.LessOrEqual(t, worst, 1.0, "seed %d, load %g", seed+1, x.load)
						assert.Greater(t, mean, 0.05, "seed %d, load %g: of what the settings allow", seed+1, x.load)
					}
				}
			})
		}
		t.Run(fmt.Sprint(g.group, " gateways that do not heed the starts"), func(t *testing.T) {
			t.Parallel()
			worst := 0.0
			for seed := uint64(1); seed <= 9 && worst <= 1; seed++ { // a slow server is left soon, also by them
				for _, cold := range []int{g.servers / 3, 1} {
					w, _ := runWarmup(t, warmupCase{group: g.group, servers: g.servers, cold: cold, from: 0.1, load: 1.5, unaware: true}, seed)
					worst = max(worst, w)
				}
			}
			assert.Greater(t, worst, 1.0)
		})
	}
}
