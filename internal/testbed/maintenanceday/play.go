package maintenanceday

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"sloestile/fleet/maintenance"
)

const (
	step     = 250 * time.Millisecond // between two looks of the leader, and of an agent at its turn
	idleStep = 10 * time.Second       // between two words of an agent that waits
	restart  = 20 * time.Second       // of a process that died
	longest  = 100 * time.Hour
)

// truth is what a machine does.
type truth uint8

const (
	serves truth = iota
	drains
	isOut
	isDown // dead, or its zone is lost
	isCold
)

// actor is a machine in a play, with the agent of its turn.
type actor struct {
	*Machine
	truth   truth
	until   time.Duration      // of what it does, where that ends by itself
	agent   *maintenance.Agent // nil has no turn to ask for
	next    time.Duration      // when it speaks
	granted time.Duration      // when its turn began that it came out of; zero is none
	ended   time.Duration      // when it had returned
	dies    time.Duration
	down    time.Duration // since when it was, last
}

// Play is one play of a day.
type Play struct {
	d     *Day
	rng   *rand.Rand
	now   time.Duration
	state *maintenance.State
	all   []*actor
	of    map[string]*actor
	procs uint64
	left  int // hosts that have not had their work

	Makespan  time.Duration
	Broken    []string                 // bounds that were broken by a step out
	Occupied  map[string]time.Duration // by host, from its grant to its return
	Forecast  *maintenance.Forecast    // at the plan's acceptance
	Halts     int
	Recalled  int // drains that were called back
	Looks     int
	LookBytes int
	Most      int // away at once
}

// Run plays a day to the return of the last machine.
func Run(d *Day) (*Play, error) {
	p := &Play{d: d, rng: rand.New(rand.NewPCG(d.Seed, 77)), state: maintenance.New(), of: map[string]*actor{}, Occupied: map[string]time.Duration{}}
	for i := range d.Machines {
		a := &actor{Machine: &d.Machines[i]}
		if a.Work {
			p.left++
			p.process(a)
			a.next = time.Duration(p.rng.Int64N(int64(2 * time.Second)))
		}
		p.all = append(p.all, a)
		p.of[a.Host] = a
	}
	if err := p.look(); err != nil {
		return p, err
	}
	p.apply(&maintenance.Command{Uplinks: &maintenance.UplinkCalendar{Windows: d.Uplinks}})
	r := p.apply(&maintenance.Command{LoadPlan: &maintenance.LoadPlan{Version: 1, Plan: cmp.Or(d.Followed, d.Plan)}})
	if p.Forecast = r.Forecast; r.Err != nil {
		return p, r.Err
	}
	halted := false
	for p.now = step; p.left > 0; p.now += step {
		if p.now > longest {
			return p, fmt.Errorf("seed %d, %d machines: %d hosts stay: %+v", d.Seed, len(d.Machines), p.left, p.state.Status(3))
		}
		p.happen()
		p.speak()
		if err := p.look(); err != nil {
			return p, err
		}
		s := p.state.Halted()
		if s && !halted {
			p.Halts++
		}
		halted = s
	}
	return p, nil
}

// process has a new process on a machine, or a new hand at a rating server's turn.
func (p *Play) process(a *actor) {
	p.procs++
	a.agent = maintenance.NewAgent(a.Host, a.Name, p.procs, a.Kind == maintenance.Server)
	a.next = p.now
}

// happen lets what is due happen: works end, machines warm up, zones are lost and come back.
func (p *Play) happen() {
	lost := p.d.Lost != "" && p.now >= p.d.At && p.now < p.d.At+p.d.For
	for _, a := range p.all {
		switch {
		case lost && a.Zone == p.d.Lost && a.truth != isOut:
			if a.truth != isDown {
				a.truth, a.down = isDown, p.now
			}
			a.until = p.d.At + p.d.For
		case a.dies > 0 && p.now >= a.dies:
			a.dies = 0
			if a.truth != isOut {
				a.truth, a.until, a.down = isDown, p.now+restart, p.now
			}
		case a.truth == isOut && p.now >= a.until, a.truth == isDown && p.now >= a.until:
			a.truth, a.until = isCold, p.now+max(a.Warmup, 20*time.Second)
			if a.agent != nil && a.Kind == maintenance.Node {
				p.process(a)
			}
		case a.truth == isCold && p.now >= a.until:
			a.truth = serves
		}
	}
}

// speak lets the agents that are due say a word, and carry out what they hear.
func (p *Play) speak() {
	for _, a := range p.all {
		if a.agent == nil || a.truth == isDown && a.Kind == maintenance.Node || a.truth == isOut && a.Kind == maintenance.Node {
			continue
		}
		p.act(a, a.agent.CheckTimeout(p.now))
		if p.now < a.next {
			continue
		}
		w, answer := a.agent.NextRequest(p.now), p.state.Response(a.Host)
		if a.next = p.now + step; p.rng.Float64() < p.d.Loss {
			continue
		}
		if w.Type != maintenance.RequestPoll {
			answer = p.apply(&maintenance.Command{Request: &w}).Response
		}
		if p.rng.Float64() < p.d.Loss {
			continue
		}
		p.act(a, a.agent.HandleResponse(p.now, p.now, answer))
		switch answer.Stage {
		case maintenance.StageRequested, maintenance.StageWaiting, maintenance.StageOut, maintenance.StageArrived, maintenance.StageWarmingUp:
			a.next = p.now + idleStep
		case maintenance.StageDone:
			a.agent = nil
		}
	}
}

func (p *Play) act(a *actor, act maintenance.Action) {
	switch act {
	case maintenance.ActionDrain:
		a.truth, a.until = drains, p.now+a.Drain
		p.judge(a)
	case maintenance.ActionUndrain:
		if a.truth == drains {
			a.truth = serves
		}
		p.Recalled++
	case maintenance.ActionLeave:
		a.truth, a.until = isOut, p.now+a.Out
	}
}

func (p *Play) apply(c *maintenance.Command) maintenance.Result {
	c.GroupTime, c.WallTime = p.now, begin+maintenance.Timestamp(p.now.Milliseconds())
	return p.state.Apply(c)
}

// look is the leader's: what it sees of all machines goes into the log.
func (p *Play) look() error {
	seen := make([]maintenance.Machine, len(p.all))
	for i, a := range p.all {
		seen[i] = a.Machine.Machine
		switch a.truth {
		case drains:
			if seen[i].Phase = maintenance.PhaseDraining; p.now >= a.until {
				seen[i].Phase = maintenance.PhaseIdle
			}
		case isOut, isDown:
			seen[i].Phase = maintenance.PhaseGone
		case isCold:
			seen[i].Phase = maintenance.PhaseCold
		}
	}
	for {
		l := p.state.Diff(seen)
		l.MeasuredAt, l.RingSize, l.ServedFraction = p.now, p.d.Nodes, 950
		switch since := p.now - p.d.At; {
		case p.d.Lost == "" || since < 0 || since > p.d.For+30*time.Second:
		case since < p.d.For:
			l.Zones = []maintenance.Zone{{Name: p.d.Lost, State: maintenance.ZoneEvacuated}}
		default:
			l.Zones = []maintenance.Zone{{Name: p.d.Lost, State: maintenance.ZoneRecovering}}
		}
		c := &maintenance.Command{Observation: l, GroupTime: p.now}
		raw, err := c.Encode()
		if err != nil {
			return err
		}
		p.Looks, p.LookBytes = p.Looks+1, p.LookBytes+len(raw)
		r := p.apply(c)
		if r.Err != nil {
			return r.Err
		}
		for _, h := range r.Granted {
			a := p.of[h]
			if a.granted, a.next = p.now, p.now+step; a.DiesAt > 0 {
				a.dies, a.DiesAt = p.now+a.DiesAt, 0
			}
		}
		if !l.Partial {
			break
		}
	}
	return p.returns()
}

// returns notes who has returned.
func (p *Play) returns() error {
	for _, a := range p.all {
		if a.Work && a.ended == 0 && a.granted > 0 && p.state.Response(a.Host).Stage == maintenance.StageDone {
			if a.ended = p.now; a.truth != serves {
				p.Broken = append(p.Broken, fmt.Sprintf("%s has returned and does not serve", a.Host))
			}
			p.Occupied[a.Host] = p.now - a.granted
			p.left--
			p.Makespan = p.now
		}
	}
	return nil
}
