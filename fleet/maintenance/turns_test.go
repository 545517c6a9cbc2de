package maintenance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// drawn is a fleet in three zones with a plan for half of it, and what it is commanded.
type drawn struct {
	plan  *Plan
	fleet []Machine
	rng   *rand.Rand
	now   time.Duration
}

func draw(t *rapid.T) *drawn {
	d := &drawn{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	p := *threePlan
	p.Bounds = Bounds{MaxZoneFraction: Fraction(100 + d.rng.IntN(900)), MaxSetFraction: Fraction(100 + d.rng.IntN(900)), SetSizes: []int{2, 1 + d.rng.IntN(9)},
		MaxCapacityFraction: Fraction(50 + d.rng.IntN(700)), AllowOne: d.rng.IntN(2) == 0}
	p.Jobs = []Job{{Name: "disk", WorkDuration: Duration(time.Minute)}}
	nodes := 3 + d.rng.IntN(12)
	for i := range nodes + 2 + d.rng.IntN(8) {
		m := Machine{Host: fmt.Sprint("h", i), Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", d.rng.IntN(3)), Index: i, Capacity: 1 + uint32(d.rng.IntN(20)), Phase: PhaseWarm, Voter: i%4 == 0}
		if i >= nodes {
			m.Kind, m.Index, m.Voter = Server, 0, false
		}
		d.fleet = append(d.fleet, m)
		if d.rng.IntN(2) == 0 || i == 0 {
			p.Jobs[0].Hosts = append(p.Jobs[0].Hosts, m.Host)
		}
	}
	p.AntiAffinityGroups = []AntiAffinityGroup{{Name: "two", Hosts: []string{"h0", "h1", "h2"}, MaxUnavailable: 1 + d.rng.IntN(2)}}
	d.plan = &p
	return d
}

// command is the next of a log: mostly looks and words that fit, now and then anything.
func (d *drawn) command(s *State) *Command {
	d.now += time.Duration(d.rng.IntN(400)) * time.Millisecond
	c := &Command{GroupTime: d.now, WallTime: Timestamp(d.now / time.Millisecond)}
	m := &d.fleet[d.rng.IntN(len(d.fleet))]
	switch roll := d.rng.IntN(40); {
	case roll < 10:
		if m.Phase = Phase(d.rng.IntN(5)); d.rng.IntN(3) > 0 {
			m.Phase = PhaseWarm
		}
		c.Observation = s.Diff(d.fleet)
		c.Observation.MeasuredAt, c.Observation.RingSize, c.Observation.ServedFraction = d.now, 12, Fraction(900+d.rng.IntN(10))
		if c.Observation.Base -= uint64(d.rng.IntN(20) / 19); d.rng.IntN(30) == 0 {
			c.Observation.Zones = []Zone{{Name: "z0", State: ZoneState(1 + d.rng.IntN(3))}}
		}
	case roll < 37:
		t := s.turns[m.Host]
		c.Request = &Request{Host: m.Host, Name: m.Host, Type: RequestAcquire, Nonce: 1 + uint64(d.rng.IntN(50)/49)}
		if t != nil && t.Stage.holds() {
			c.Request.FencingToken = t.FencingToken - uint64(d.rng.IntN(10)/9)
			c.Request.Type = RequestStartDrain + RequestType(d.rng.IntN(4))
			if next, ok := map[Stage]RequestType{StageGranted: RequestStartDrain, StageDrained: RequestStartWork, StageOut: RequestFinishWork, StageRecalled: RequestConfirmUndrain}[t.Stage]; ok && d.rng.IntN(3) > 0 {
				c.Request.Type = next
			} else if t.Stage == StageDraining && d.rng.IntN(2) > 0 {
				m.Phase = PhaseIdle
			}
		}
	case roll == 37:
		c.Resume = &Resume{}
	case roll == 38 && d.rng.IntN(4) == 0:
		c.DropLease = &DropLease{Host: m.Host}
	case roll == 38 && d.rng.IntN(4) == 0:
		c.AdoptName = &AdoptName{Host: m.Host, Name: "x"}
	default:
		c.LoadPlan = &LoadPlan{Version: s.version + uint64(d.rng.IntN(2)), Plan: d.plan}
	}
	return c
}

// breaks tells which bound the machines that are away break in the eyes of one of them, by the
// formulas of docs/design.md.
func (d *drawn) breaks(s *State, host string) string {
	b, zones, sum, lost, voters := d.plan.Bounds, map[string]uint64{}, uint64(0), uint64(0), 0
	me, inZone, ofZone, ring := s.fleet[host], 0, 0, make([]int, 12)
	away := func(m *machine) int {
		if t := s.turns[m.Host]; m.Phase != PhaseWarm || t != nil && t.Stage.holds() {
			return 1
		}
		return 0
	}
	for _, m := range s.fleet {
		if m.Kind == Node && m.Index < 12 {
			ring[m.Index] += away(m)
		}
		if m.Voter {
			voters += away(m)
		}
		if m.Kind == me.Kind && m.Zone == me.Zone {
			ofZone, inZone = ofZone+1, inZone+away(m)
		}
		if m.Kind == me.Kind && s.zones[m.Zone] != ZoneClosed {
			zones[m.Zone] += uint64(m.Capacity)
			sum, lost = sum+uint64(m.Capacity), lost+uint64(away(m))*uint64(m.Capacity)
		}
	}
	most := func(p Fraction, n int) int {
		if k := n * int(p) / 1000; k > 0 || !b.AllowOne || n < 2 {
			return k
		}
		return 1
	}
	worst := uint64(0)
	for _, z := range zones {
		worst = max(worst, z)
	}
	if len(zones) < 2 {
		worst = 0
	}
	switch {
	case inZone > most(b.MaxZoneFraction, ofZone):
		return "zone"
	case lost*1000 > (sum-worst)*uint64(b.MaxCapacityFraction):
		return "warm"
	case me.Voter && voters > 1:
		return "voters"
	case s.zones[me.Zone] != ZoneHealthy:
		return "zone's state"
	}
	for _, size := range b.SetSizes {
		for first := range ring {
			n, mine := 0, false
			for i := range size {
				n, mine = n+ring[(first+i)%12], mine || (first+i)%12 == me.Index
			}
			if mine && me.Kind == Node && n > most(b.MaxSetFraction, size) {
				return "set"
			}
		}
	}
	group := 0
	for _, h := range d.plan.AntiAffinityGroups[0].Hosts {
		if m := s.fleet[h]; m != nil {
			group += away(m)
		}
	}
	if (host == "h0" || host == "h1" || host == "h2") && group > d.plan.AntiAffinityGroups[0].MaxUnavailable {
		return "group"
	}
	return ""
}

// play applies commands to a state and to one that is restored from its snapshot before each, and
// looks at every grant.
func (d *drawn) play(t require.TestingT, planted bool) (broken string) {
	s := New()
	require.NoError(t, s.Apply(&Command{LoadPlan: &LoadPlan{Version: 1, Plan: d.plan}}).Err)
	fence := uint64(0)
	for range 80 {
		c := d.command(s)
		raw, err := c.Encode()
		require.NoError(t, err)
		read, err := DecodeCommand(raw)
		require.NoError(t, err)
		before, err := s.Snapshot()
		require.NoError(t, err)
		twin, err := Restore(before)
		require.NoError(t, err)
		if planted { // a zone that is not there, as large as the largest, hides the worst one's loss
			hide(s)
		}
		r := s.Apply(c)
		if broken == "" {
			for _, h := range r.Granted {
				broken = d.breaks(s, h)
			}
		}
		if planted {
			continue
		}
		other := twin.Apply(read)
		require.Equal(t, r.Granted, other.Granted)
		require.Equal(t, r.Response, other.Response)
		a, err := s.Snapshot()
		require.NoError(t, err)
		b, err := twin.Snapshot()
		require.NoError(t, err)
		require.Equal(t, a, b, "the twin has come to another state by %+v", c)
		counted := s.yard.clone()
		s.rebuild()
		require.Equal(t, s.yard, counted, "counted step by step and anew, after %+v", c)
		require.GreaterOrEqual(t, s.fence, fence)
		fence = s.fence
		held := map[uint64]bool{}
		for _, turn := range s.held() {
			require.False(t, held[turn.FencingToken], "two turns under number %d", turn.FencingToken)
			held[turn.FencingToken] = true
		}
		s.Forecast()
		s.Status(3)
	}
	return broken
}

func hide(s *State) {
	for _, k := range []Kind{Node, Server} {
		delete(s.yard.zones, place{"nowhere", k})
		most := uint64(0)
		for p, t := range s.yard.zones {
			if p.kind == k {
				most = max(most, t.bears)
			}
		}
		s.yard.zones[place{"nowhere", k}] = &tally{bears: most}
	}
}

// Whatever is commanded: all replicas come to the same, also from a snapshot; and no grant breaks a
// bound. One that is given without the worst zone's loss is found.
func TestReplicasAgreeAndGrantsKeepBounds(t *testing.T) {
	planted := 0
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t)
		again := *d
		again.rng = rand.New(rand.NewPCG(d.rng.Uint64(), 1))
		again.fleet = append([]Machine(nil), d.fleet...)
		assert.Empty(t, d.play(t, false))
		if again.play(t, true) == "warm" {
			planted++
		}
	})
	assert.Positive(t, planted)
	t.Logf("planted: found in %d", planted)
}

func FuzzDecode(f *testing.F) {
	for _, c := range []*Command{{LoadPlan: &LoadPlan{Version: 1, Plan: threePlan}}, {Request: &Request{Host: "a", Name: "a", Type: RequestStartWork, FencingToken: 3}},
		{Observation: &Observation{RingSize: 3, Machines: []Machine{{Host: "a", Name: "a", Zone: "z", Capacity: 1}}}}, {Halt: &Halt{Reason: "x"}},
		{Uplinks: &UplinkCalendar{Windows: []UplinkWindow{{Zone: "z", End: 4}}}}} {
		raw, err := c.Encode()
		require.NoError(f, err)
		f.Add(raw)
	}
	s := New()
	s.Apply(&Command{LoadPlan: &LoadPlan{Version: 1, Plan: threePlan}})
	s.Apply(&Command{Request: &Request{Host: "n0", Name: "n0", Type: RequestAcquire, Nonce: 4}})
	state, err := s.Snapshot()
	require.NoError(f, err)
	f.Add(state)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := DecodeCommand(raw); err == nil {
			again, err := c.Encode()
			require.NoError(t, err)
			_, err = DecodeCommand(again)
			require.NoError(t, err)
			s, err := Restore(state)
			require.NoError(t, err)
			s.Apply(c)
		}
		if s, err := Restore(raw); err == nil {
			again, err := s.Snapshot()
			require.NoError(t, err)
			twin, err := Restore(again)
			require.NoError(t, err)
			require.Equal(t, s.Response("n0"), twin.Response("n0"))
			s.Forecast()
		}
		if a, err := DecodeResponse(raw); err == nil {
			NewAgent("n0", "n0", 4, false).HandleResponse(1, 1, *a)
		}
	})
}
