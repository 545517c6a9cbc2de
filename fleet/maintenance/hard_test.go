package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// council is a state with its time, and all that is seen of six hosts in three zones.
type council struct {
	t    *testing.T
	s    *State
	now  time.Duration
	seen []Machine
}

func newCouncil(t *testing.T, change func(*Plan)) *council {
	c := &council{t: t, s: New()}
	for _, h := range []string{"a", "b", "c", "d", "e", "f"} {
		i := len(c.seen)
		c.seen = append(c.seen, Machine{Host: h, Name: h, Zone: "z" + string(rune('0'+i%3)), Index: i, Capacity: 10, Load: uint32(100 - i), Phase: PhaseWarm})
	}
	c.load(change)
	for _, h := range []string{"a", "b", "c", "d", "e", "f"} {
		c.word(h, RequestAcquire)
	}
	c.now += gather
	return c
}

// load puts a plan in force that lets three of six out.
func (c *council) load(change func(*Plan)) Result {
	p := *threePlan
	p.Bounds = Bounds{MaxZoneFraction: 500, MaxSetFraction: 500, SetSizes: []int{6}, MaxCapacityFraction: 1000, UplinkMargin: Duration(time.Minute)}
	p.Jobs = []Job{{Name: "disk", Hosts: []string{"a", "b", "c", "d", "e", "f"}, WorkDuration: Duration(10 * time.Minute)}}
	if change != nil {
		change(&p)
	}
	r := c.apply(&Command{LoadPlan: &LoadPlan{Version: c.s.version + 1, Plan: &p}})
	require.NoError(c.t, r.Err)
	return r
}

func (c *council) apply(cmd *Command) Result {
	c.now += 10 * time.Millisecond
	cmd.GroupTime, cmd.WallTime = c.now, Timestamp(1e12)+Timestamp(c.now.Milliseconds())
	return c.s.Apply(cmd)
}

// look tells how hosts are seen now; change may add to it.
func (c *council) look(phases map[string]Phase, change func(*Observation)) Result {
	for i := range c.seen {
		if p, ok := phases[c.seen[i].Host]; ok {
			c.seen[i].Phase = p
		}
	}
	c.now += 10 * time.Millisecond
	l := c.s.Diff(c.seen)
	l.MeasuredAt, l.RingSize, l.ServedFraction = c.now, 6, 950
	if change != nil {
		change(l)
	}
	r := c.apply(&Command{Observation: l})
	require.NoError(c.t, r.Err)
	return r
}

func (c *council) word(host string, v RequestType) Result {
	w := &Request{Host: host, Name: host, Type: v}
	if t := c.s.turns[host]; v == RequestAcquire {
		w.Nonce = 7
	} else if t != nil && v != RequestAcquire {
		w.FencingToken = t.FencingToken
	}
	return c.apply(&Command{Request: w})
}

// out takes a host out.
func (c *council) out(host string) {
	require.Equal(c.t, StageGranted, c.s.stage(host), host)
	require.NoError(c.t, c.word(host, RequestStartDrain).Err)
	c.look(map[string]Phase{host: PhaseIdle}, nil)
	require.NoError(c.t, c.word(host, RequestStartWork).Err)
	c.look(map[string]Phase{host: PhaseGone}, nil)
	require.Equal(c.t, StageOut, c.s.stage(host), host)
}

func (c *council) stages() (out map[string]Stage) {
	out = map[string]Stage{}
	for _, m := range c.seen {
		out[m.Host] = c.s.stage(m.Host)
	}
	return out
}

// The least loaded of each zone goes first. A plan that is replaced while three are out voids what is
// granted, calls back what has no more work, and leaves alone what is out.
func TestPlanIsReplacedWhileThreeAreOut(t *testing.T) {
	c := newCouncil(t, nil)
	assert.Equal(t, []string{"f", "e", "d"}, c.look(nil, nil).Granted)
	c.out("d")
	c.out("e")
	require.NoError(t, c.word("f", RequestStartDrain).Err)
	r := c.load(func(p *Plan) { p.Jobs[0].Hosts, p.Jobs[0].Name = []string{"c", "d"}, "power" })
	assert.Equal(t, map[string]Stage{"a": StageDone, "b": StageDone, "c": StageRequested, "d": StageOut, "e": StageOut, "f": StageRecalled}, c.stages())
	assert.Empty(t, r.Forecast.Blocked)
	c.now += gather
	assert.Empty(t, c.look(nil, nil).Granted, "f of its zone is away still")
	require.NoError(t, c.word("f", RequestConfirmUndrain).Err)
	assert.Equal(t, []string{"c"}, c.look(map[string]Phase{"f": PhaseWarm}, nil).Granted)
	c.look(map[string]Phase{"d": PhaseCold, "e": PhaseCold}, nil)
	c.look(map[string]Phase{"d": PhaseWarm, "e": PhaseWarm}, nil)
	assert.Equal(t, map[string]Stage{"a": StageDone, "b": StageDone, "c": StageGranted, "d": StageWaiting, "e": StageDone, "f": StageDone}, c.stages(), "d still has the new work")
}

// A granted machine dies, or is cut off and wakes late: its turn goes to another, and its number is void.
func TestTurnThatNobodyTakesIsVoid(t *testing.T) {
	c := newCouncil(t, func(p *Plan) { p.Bounds.MaxSetFraction = 170 })
	assert.Contains(t, c.look(nil, nil).Granted, "f")
	late := &Request{Host: "f", Name: "f", Type: RequestStartDrain, FencingToken: c.s.turns["f"].FencingToken}
	c.now += time.Duration(threePlan.GrantTimeout)
	assert.Equal(t, []string{"e"}, c.look(nil, nil).Granted)
	assert.ErrorAs(t, c.apply(&Command{Request: late}).Err, new(*StaleFenceError))
	c.look(map[string]Phase{"e": PhaseGone}, nil) // it dies before it begins
	assert.Equal(t, StageWaiting, c.s.stage("e"))
	assert.Empty(t, c.look(nil, nil).Granted, "the dead one is away")
	assert.Equal(t, []string{"d"}, c.look(map[string]Phase{"e": PhaseWarm}, nil).Granted)
}

// A machine that comes back from an empty disk, under its own name or another, holds its place until
// it is seen warm under the name that was adopted; a name that is in use is refused.
func TestReturnUnderAnotherName(t *testing.T) {
	c := newCouncil(t, func(p *Plan) { p.Bounds.MaxSetFraction = 170 })
	c.look(nil, nil)
	c.out("f")
	assert.ErrorAs(t, c.apply(&Command{Request: &Request{Host: "f", Name: "a", Type: RequestAcquire, Nonce: 9}}).Err, new(*NameTakenError))
	c.seen = append(c.seen, Machine{Host: "new", Name: "new", Zone: "z2", Index: 5, Capacity: 10, Phase: PhaseWarm})
	assert.Empty(t, c.look(nil, nil).Granted)
	assert.ErrorAs(t, c.apply(&Command{Request: &Request{Host: "new", Name: "new", Type: RequestAcquire, Nonce: 9}}).Err, new(*UnknownHostError))
	assert.Equal(t, StageOut, c.s.stage("f"), "it blocks its place")
	require.NoError(t, c.apply(&Command{AdoptName: &AdoptName{Host: "f", Name: "new"}}).Err)
	c.seen = append(c.seen[:5:5], c.seen[6])
	answer := c.apply(&Command{Request: &Request{Host: "new", Name: "new", Type: RequestAcquire, Nonce: 9}}).Response
	assert.Equal(t, StageOut, answer.Stage)
	require.NoError(t, c.apply(&Command{Request: &Request{Host: "new", Name: "new", Type: RequestFinishWork, FencingToken: answer.FencingToken}}).Err)
	assert.Equal(t, []string{"e"}, c.look(nil, nil).Granted)
	assert.Equal(t, StageDone, c.s.stage("f"))
}

// What runs over blocks its place and is shown; what is gone for good is dropped by hand, and stays
// away in all bounds.
func TestTurnThatRunsOver(t *testing.T) {
	c := newCouncil(t, func(p *Plan) { p.Bounds.MaxSetFraction = 170 })
	c.look(nil, nil)
	c.out("f")
	c.now += time.Hour
	c.look(nil, nil)
	assert.Empty(t, c.look(nil, nil).Granted)
	st := c.s.Status(1)
	assert.Greater(t, st.Leases[0].Overrun, 49*time.Minute)
	assert.Contains(t, st.Blocked[0].Error(), "2 away of 1")
	assert.ErrorAs(t, c.apply(&Command{DropLease: &DropLease{Host: "a"}}).Err, new(*OrderError))
	require.NoError(t, c.apply(&Command{DropLease: &DropLease{Host: "f"}}).Err)
	assert.Empty(t, c.look(nil, nil).Granted)
}

// Each evidence of trouble halts at the look that has it; what drains comes back, what is out stays,
// and it goes on as the plan says.
func TestTroubleHalts(t *testing.T) {
	for why, change := range map[string]func(*Observation){
		"zone z1 is left":       func(l *Observation) { l.Zones = []Zone{{Name: "z1", State: ZoneEvacuated}} },
		"the served share fell": func(l *Observation) { l.ServedFraction = 920 },
		"no majority":           func(l *Observation) { l.NoMajorityDuration = 2 * time.Second },
	} {
		for _, resume := range []string{ResumeAutomatically, ResumeByOperator} {
			c := newCouncil(t, func(p *Plan) { p.HaltPolicy.ResumeMode, p.HaltPolicy.ResumeDelay = resume, Duration(10*time.Second) })
			c.look(nil, nil)
			c.out("d")
			require.NoError(t, c.word("e", RequestStartDrain).Err)
			void := c.s.turns["f"].FencingToken
			c.look(nil, change)
			assert.Contains(t, c.s.Status(0).HaltReason, why)
			assert.Equal(t, [3]Stage{StageOut, StageRecalled, StageWaiting}, [3]Stage{c.s.stage("d"), c.s.stage("e"), c.s.stage("f")})
			assert.ErrorAs(t, c.apply(&Command{Request: &Request{Host: "f", Name: "f", Type: RequestStartDrain, FencingToken: void}}).Err, new(*StaleFenceError))
			require.NoError(t, c.word("e", RequestConfirmUndrain).Err)
			c.word("f", RequestAcquire)
			for range 2 {
				assert.Empty(t, c.look(nil, nil).Granted, why)
				c.now += 5 * time.Second
			}
			granted := c.look(nil, nil).Granted
			assert.Equal(t, resume == ResumeAutomatically, len(granted) > 0, "%s: by %s: %v", why, resume, granted)
			c.apply(&Command{Resume: &Resume{}})
			assert.Empty(t, c.s.Status(0).HaltReason)
		}
	}
}

// A deadline that can't be met is said as the plan is accepted, and at once when a machine that runs
// over makes it so.
func TestLateIsSaidAtOnce(t *testing.T) {
	due := func(d time.Duration) Timestamp { return Timestamp(1e12) + Timestamp(d.Milliseconds()) }
	c := newCouncil(t, nil)
	c.look(nil, nil)
	r := c.load(func(p *Plan) { p.Jobs[0].Deadline = due(15 * time.Minute) })
	require.Len(t, r.Forecast.Late, 3, "three go at a time, and two rounds take 22 minutes")
	assert.Contains(t, r.Forecast.Late[0].Error(), "can't be met")
	r = c.load(func(p *Plan) { p.Jobs[0].Deadline = due(25 * time.Minute) })
	require.Empty(t, r.Forecast.Late)
	for _, m := range c.seen {
		c.word(m.Host, RequestAcquire)
	}
	c.now += gather
	c.look(nil, nil)
	for _, h := range []string{"d", "e", "f"} {
		c.out(h)
	}
	c.now += 5 * time.Minute
	assert.True(t, c.look(map[string]Phase{"a": PhaseGone}, nil).ForecastStale, "a host of the plan died")
	late := c.s.Forecast().Late
	require.Len(t, late, 1)
	assert.Equal(t, "a", late[0].Host)
}

// Nobody goes who would not be back before a window of its zone, nor a voter while a second is away.
func TestWindowsAndVoters(t *testing.T) {
	c := newCouncil(t, nil)
	c.seen[3].Voter, c.seen[4].Voter = true, true
	from := Timestamp(1e12) + Timestamp((5 * time.Minute).Milliseconds())
	c.apply(&Command{Uplinks: &UplinkCalendar{Windows: []UplinkWindow{{Zone: "z2", Start: from, End: from + 60_000}}}})
	assert.Equal(t, []string{"e", "a"}, c.look(nil, nil).Granted, "f waits for its zone's window, d for the voter e")
	c.now += 7 * time.Minute
	assert.Contains(t, c.look(nil, nil).Granted, "f")
}
