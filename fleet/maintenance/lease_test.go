package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testGroup is a replicated state with its time, and the observed state of six hosts in three
// zones.
type testGroup struct {
	t        *testing.T
	state    *State
	now      time.Duration
	machines []Machine
}

func newTestGroup(t *testing.T, change func(*Plan)) *testGroup {
	g := &testGroup{t: t, state: New()}
	for _, host := range []string{"a", "b", "c", "d", "e", "f"} {
		i := len(g.machines)
		g.machines = append(g.machines, Machine{Host: host, Name: host, Zone: "z" + string(rune('0'+i%3)),
			Index: i, Capacity: 10, Load: uint32(100 - i), Phase: PhaseWarm})
	}
	g.loadPlan(change)
	for _, host := range []string{"a", "b", "c", "d", "e", "f"} {
		g.request(host, RequestAcquire)
	}
	g.now += firstGrantDelay
	return g
}

// loadPlan loads a plan that permits three of six machines to be unavailable.
func (g *testGroup) loadPlan(change func(*Plan)) Result {
	p := *threeHostPlan
	p.Bounds = Bounds{MaxZoneFraction: 500, MaxSetFraction: 500, SetSizes: []int{6}, MaxCapacityFraction: 1000,
		UplinkMargin: Duration(time.Minute)}
	p.Jobs = []Job{{Name: "disk", Hosts: []string{"a", "b", "c", "d", "e", "f"}, WorkDuration: Duration(10 * time.Minute)}}
	if change != nil {
		change(&p)
	}
	r := g.apply(&Command{LoadPlan: &LoadPlan{Version: g.state.planVersion + 1, Plan: &p}})
	require.NoError(g.t, r.Err)
	return r
}

func (g *testGroup) apply(command *Command) Result {
	g.now += 10 * time.Millisecond
	command.GroupTime, command.WallTime = g.now, Timestamp(1e12)+Timestamp(g.now.Milliseconds())
	return g.state.Apply(command)
}

// observe applies an observation with the given phases; change may modify it before.
func (g *testGroup) observe(phases map[string]Phase, change func(*Observation)) Result {
	for i := range g.machines {
		if p, ok := phases[g.machines[i].Host]; ok {
			g.machines[i].Phase = p
		}
	}
	g.now += 10 * time.Millisecond
	o := g.state.Diff(g.machines)
	o.MeasuredAt, o.RingSize, o.ServedFraction = g.now, 6, 950
	if change != nil {
		change(o)
	}
	r := g.apply(&Command{Observation: o})
	require.NoError(g.t, r.Err)
	return r
}

// request applies a request of a host's agent with the current fencing token.
func (g *testGroup) request(host string, requestType RequestType) Result {
	req := &Request{Host: host, Name: host, Type: requestType}
	if lease := g.state.leases[host]; requestType == RequestAcquire {
		req.Nonce = 7
	} else if lease != nil && requestType != RequestAcquire {
		req.FencingToken = lease.FencingToken
	}
	return g.apply(&Command{Request: req})
}

// takeOut takes a host out of service.
func (g *testGroup) takeOut(host string) {
	require.Equal(g.t, StageGranted, g.state.stage(host), host)
	require.NoError(g.t, g.request(host, RequestStartDrain).Err)
	g.observe(map[string]Phase{host: PhaseIdle}, nil)
	require.NoError(g.t, g.request(host, RequestStartWork).Err)
	g.observe(map[string]Phase{host: PhaseGone}, nil)
	require.Equal(g.t, StageOut, g.state.stage(host), host)
}

func (g *testGroup) stages() (stages map[string]Stage) {
	stages = map[string]Stage{}
	for _, m := range g.machines {
		stages[m.Host] = g.state.stage(m.Host)
	}
	return stages
}

// The hosts with the lowest load in each zone are granted first. A plan that is replaced while
// machines are out of service must void unused grants, recall draining machines that have no work
// in the new plan, and leave machines out of service alone.
func TestPlanReplacedWhileMachinesAreOut(t *testing.T) {
	g := newTestGroup(t, nil)
	assert.Equal(t, []string{"f", "e", "d"}, g.observe(nil, nil).Granted)
	g.takeOut("d")
	g.takeOut("e")
	require.NoError(t, g.request("f", RequestStartDrain).Err)
	r := g.loadPlan(func(p *Plan) { p.Jobs[0].Hosts, p.Jobs[0].Name = []string{"c", "d"}, "power" })
	assert.Equal(t, map[string]Stage{"a": StageDone, "b": StageDone, "c": StageRequested, "d": StageOut,
		"e": StageOut, "f": StageRecalled}, g.stages())
	assert.Empty(t, r.Forecast.Blocked)
	g.now += firstGrantDelay
	assert.Empty(t, g.observe(nil, nil).Granted, "f in the same zone is still unavailable")
	require.NoError(t, g.request("f", RequestConfirmUndrain).Err)
	assert.Equal(t, []string{"c"}, g.observe(map[string]Phase{"f": PhaseWarm}, nil).Granted)
	g.observe(map[string]Phase{"d": PhaseCold, "e": PhaseCold}, nil)
	g.observe(map[string]Phase{"d": PhaseWarm, "e": PhaseWarm}, nil)
	assert.Equal(t, map[string]Stage{"a": StageDone, "b": StageDone, "c": StageGranted, "d": StageWaiting,
		"e": StageDone, "f": StageDone}, g.stages(), "the new job of d is still to be done")
}

// A machine crashes after its grant, or is disconnected and continues after the grant has expired.
// Its grant must pass to another host, and its fencing token must be void, as two machines could
// otherwise drain.
func TestUnusedGrantExpires(t *testing.T) {
	g := newTestGroup(t, func(p *Plan) { p.Bounds.MaxSetFraction = 170 })
	assert.Contains(t, g.observe(nil, nil).Granted, "f")
	staleRequest := &Request{Host: "f", Name: "f", Type: RequestStartDrain, FencingToken: g.state.leases["f"].FencingToken}
	g.now += time.Duration(threeHostPlan.GrantTimeout)
	assert.Equal(t, []string{"e"}, g.observe(nil, nil).Granted)
	assert.ErrorAs(t, g.apply(&Command{Request: staleRequest}).Err, new(*StaleFenceError))
	g.observe(map[string]Phase{"e": PhaseGone}, nil) // the machine crashes before its drain
	assert.Equal(t, StageWaiting, g.state.stage("e"))
	assert.Empty(t, g.observe(nil, nil).Granted, "the crashed machine counts as unavailable")
	assert.Equal(t, []string{"d"}, g.observe(map[string]Phase{"e": PhaseWarm}, nil).Granted)
}

// A machine that returns with an empty disk, under its own name or a new one, must hold its lease
// until it is observed warm under the adopted name. A name that is in use must be rejected.
func TestReturnUnderAnotherName(t *testing.T) {
	g := newTestGroup(t, func(p *Plan) { p.Bounds.MaxSetFraction = 170 })
	g.observe(nil, nil)
	g.takeOut("f")
	assert.ErrorAs(t, g.apply(&Command{Request: &Request{Host: "f", Name: "a", Type: RequestAcquire,
		Nonce: 9}}).Err, new(*NameTakenError))
	g.machines = append(g.machines, Machine{Host: "new", Name: "new", Zone: "z2", Index: 5, Capacity: 10, Phase: PhaseWarm})
	assert.Empty(t, g.observe(nil, nil).Granted)
	assert.ErrorAs(t, g.apply(&Command{Request: &Request{Host: "new", Name: "new", Type: RequestAcquire,
		Nonce: 9}}).Err, new(*UnknownHostError))
	assert.Equal(t, StageOut, g.state.stage("f"), "the lease is still held")
	require.NoError(t, g.apply(&Command{AdoptName: &AdoptName{Host: "f", Name: "new"}}).Err)
	g.machines = append(g.machines[:5:5], g.machines[6])
	response := g.apply(&Command{Request: &Request{Host: "new", Name: "new", Type: RequestAcquire, Nonce: 9}}).Response
	assert.Equal(t, StageOut, response.Stage)
	require.NoError(t, g.apply(&Command{Request: &Request{Host: "new", Name: "new", Type: RequestFinishWork,
		FencingToken: response.FencingToken}}).Err)
	assert.Equal(t, []string{"e"}, g.observe(nil, nil).Granted)
	assert.Equal(t, StageDone, g.state.stage("f"))
}

// A machine that does not return in time blocks other hosts and is reported as an overrun. Once its
// lease is dropped by an operator, the machine still counts as unavailable for all bounds.
func TestOverrunLeaseIsReportedAndCanBeDropped(t *testing.T) {
	g := newTestGroup(t, func(p *Plan) { p.Bounds.MaxSetFraction = 170 })
	g.observe(nil, nil)
	g.takeOut("f")
	g.now += time.Hour
	g.observe(nil, nil)
	assert.Empty(t, g.observe(nil, nil).Granted)
	status := g.state.Status(1)
	assert.Greater(t, status.Leases[0].Overrun, 49*time.Minute)
	assert.Contains(t, status.Blocked[0].Error(), "2 unavailable, at most 1 permitted")
	assert.ErrorAs(t, g.apply(&Command{DropLease: &DropLease{Host: "a"}}).Err, new(*OrderError))
	require.NoError(t, g.apply(&Command{DropLease: &DropLease{Host: "f"}}).Err)
	assert.Empty(t, g.observe(nil, nil).Granted)
}

// Each fault must halt work at the observation that shows it: draining machines are recalled and
// machines out of service stay. Work must resume as the plan says.
func TestFaultHaltsWork(t *testing.T) {
	for reason, change := range map[string]func(*Observation){
		"zone z1 is left":       func(o *Observation) { o.Zones = []Zone{{Name: "z1", State: ZoneEvacuated}} },
		"the served share fell": func(o *Observation) { o.ServedFraction = 920 },
		"no majority":           func(o *Observation) { o.NoMajorityDuration = 2 * time.Second },
	} {
		for _, resumeMode := range []string{ResumeAutomatically, ResumeByOperator} {
			g := newTestGroup(t, func(p *Plan) {
				p.HaltPolicy.ResumeMode, p.HaltPolicy.ResumeDelay = resumeMode, Duration(10*time.Second)
			})
			g.observe(nil, nil)
			g.takeOut("d")
			require.NoError(t, g.request("e", RequestStartDrain).Err)
			voidToken := g.state.leases["f"].FencingToken
			g.observe(nil, change)
			assert.Contains(t, g.state.Status(0).HaltReason, reason)
			assert.Equal(t, [3]Stage{StageOut, StageRecalled, StageWaiting},
				[3]Stage{g.state.stage("d"), g.state.stage("e"), g.state.stage("f")})
			assert.ErrorAs(t, g.apply(&Command{Request: &Request{Host: "f", Name: "f", Type: RequestStartDrain,
				FencingToken: voidToken}}).Err, new(*StaleFenceError))
			require.NoError(t, g.request("e", RequestConfirmUndrain).Err)
			g.request("f", RequestAcquire)
			for range 2 {
				assert.Empty(t, g.observe(nil, nil).Granted, reason)
				g.now += 5 * time.Second
			}
			granted := g.observe(nil, nil).Granted
			assert.Equal(t, resumeMode == ResumeAutomatically, len(granted) > 0,
				"fault %q, resume mode %s: granted %v", reason, resumeMode, granted)
			g.apply(&Command{Resume: &Resume{}})
			assert.Empty(t, g.state.Status(0).HaltReason)
		}
	}
}

// A deadline that can't be met must be reported when the plan is loaded, and as soon as the failure
// of a machine makes it impossible.
func TestUnreachableDeadlineIsReported(t *testing.T) {
	deadline := func(d time.Duration) Timestamp { return Timestamp(1e12) + Timestamp(d.Milliseconds()) }
	g := newTestGroup(t, nil)
	g.observe(nil, nil)
	r := g.loadPlan(func(p *Plan) { p.Jobs[0].Deadline = deadline(15 * time.Minute) })
	require.Len(t, r.Forecast.Late, 3, "three hosts at a time: two rounds take 22 minutes")
	assert.Contains(t, r.Forecast.Late[0].Error(), "can't be met")
	r = g.loadPlan(func(p *Plan) { p.Jobs[0].Deadline = deadline(25 * time.Minute) })
	require.Empty(t, r.Forecast.Late)
	for _, m := range g.machines {
		g.request(m.Host, RequestAcquire)
	}
	g.now += firstGrantDelay
	g.observe(nil, nil)
	for _, host := range []string{"d", "e", "f"} {
		g.takeOut(host)
	}
	g.now += 5 * time.Minute
	assert.True(t, g.observe(map[string]Phase{"a": PhaseGone}, nil).ForecastStale, "a host of the plan crashed")
	late := g.state.Forecast().Late
	require.Len(t, late, 1)
	assert.Equal(t, "a", late[0].Host)
}

// A machine must not leave service if it would not be back before an uplink window of its zone, nor
// a voter while another voter is unavailable.
func TestUplinkWindowsAndVotersLimitGrants(t *testing.T) {
	g := newTestGroup(t, nil)
	g.machines[3].Voter, g.machines[4].Voter = true, true
	windowStart := Timestamp(1e12) + Timestamp((5 * time.Minute).Milliseconds())
	g.apply(&Command{Uplinks: &UplinkCalendar{Windows: []UplinkWindow{{Zone: "z2", Start: windowStart,
		End: windowStart + 60_000}}}})
	assert.Equal(t, []string{"e", "a"}, g.observe(nil, nil).Granted,
		"f has to wait for the uplink window of its zone, d for the voter e")
	g.now += 7 * time.Minute
	assert.Contains(t, g.observe(nil, nil).Granted, "f")
}
