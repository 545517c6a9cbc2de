package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloestile/fleet/rules"
	"sloestile/internal/testbed/eventqueue"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/scenario"
)

// The ways to activate a rule set.
const (
	RulesOverlap   Way = "rules-overlap"
	RulesExclusive Way = "rules-exclusive"
)

// The course of a play of rules: the first version, one in a quiet fleet, a quiet while in which
// messages count, one with a node cut off, and the leader's death.
const (
	firstAt   = 1 * time.Second
	quietAt   = 8 * time.Second
	countFrom = 12 * time.Second
	countFor  = 10 * time.Second
	cutAt     = 24 * time.Second
	mendAt    = 34 * time.Second
	deathAt   = 38 * time.Second
	electTake = 2 * time.Second
	newsTake  = 500 * time.Millisecond // until a node hears at most who leads
	endAt     = 50 * time.Second

	wakeTake = time.Millisecond     // until a node's loop turns to a message, at most
	diskMost = 8 * time.Millisecond // of a write that is synced; a tenth of it at least
	textTake = 2 * time.Millisecond // of a text's bytes on the link
	textWait = 20 * time.Millisecond
	voters   = 5
)

// rulesPlay is one play in progress.
type rulesPlay struct {
	eventqueue.Agenda
	d       *scenario.Day
	loss    float64
	rng     *rand.Rand
	sent    float64 // messages
	bytes   float64
	kind    rules.ActivationKind
	nodes   []router
	peers   []rules.Peer
	agreed  rules.Registry
	leader  int // -1 is none
	term    int
	cut     int // -1 is none
	by      map[uint64]int
	began   time.Duration // of the activation that is measured
	active  time.Duration // when the council made it so
	wrong   float64
	lost    time.Duration // time without rules of all nodes, after the leader's death
	busiest float64
}

// router is one node, with a clock of its own.
type router struct {
	*rules.Node
	skew     time.Duration
	rate     float64
	armed    time.Duration // its next wake; 0 is none
	keeping  uint64        // mark that is on its way to the disk
	fetching rules.VersionID
	has      uint64 // text fetched last
	acting   uint64
	looks    bool // when its lease ends
	highest  uint64
	changed  time.Duration // since when it acts so
	inForce  time.Duration // the version that is measured
	gap      time.Duration // without rules before it
	sent     float64
}

// RunRules plays activations of a kind over a day's fleet.
func RunRules(d *scenario.Day, kind rules.ActivationKind, loss float64) judge.Figures {
	p := &rulesPlay{d: d, loss: loss, rng: rand.New(rand.NewPCG(d.Seed, 6)), kind: kind, nodes: make([]router, len(d.Nodes)),
		leader: -1, cut: -1, by: map[uint64]int{}}
	for i := range p.nodes {
		p.peers = append(p.peers, rules.Peer{Index: i, Zone: d.Zones[d.Nodes[i].Zone].Name})
	}
	for i := range p.nodes {
		r := &p.nodes[i]
		r.skew = time.Duration(p.rng.Int64N(int64(time.Hour)))
		r.rate = 1 + rules.DefaultLeaseParams.MaxClockDrift/2*(2*p.rng.Float64()-1)
		r.Node = rules.NewNode(rules.Config{Node: i, Incarnation: uint64(i) + 1, LeaseParams: rules.DefaultLeaseParams}, p.at(i))
	}
	p.elect(0)
	figures := p.course()
	p.Run()
	return figures()
}

// after has something done after a while, where the play still goes on then.
func (p *rulesPlay) after(wait time.Duration, do func()) {
	if p.Now+wait <= endAt {
		p.After(wait, do)
	}
}

// course plans the play, and gives what makes its figures in the end.
func (p *rulesPlay) course() func() judge.Figures {
	var f judge.Figures
	add := func(name, unit string, v float64) { f = append(f, judge.Figure{Name: name, Value: v, Unit: unit}) }
	n := float64(len(p.nodes))
	p.after(firstAt, p.publish)
	p.after(quietAt, p.publish)
	p.after(countFrom, func() {
		force, gap := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for i := range p.nodes {
			_ = force.RecordValue(int64((p.nodes[i].inForce - p.began) / time.Microsecond))
			_ = gap.RecordValue(max(1, int64(p.nodes[i].gap/time.Microsecond)))
			p.nodes[i].sent = 0
		}
		add("in_force_p50", "ms", float64(force.ValueAtQuantile(50))/1000)
		add("in_force_p99", "ms", float64(force.ValueAtQuantile(99))/1000)
		add("in_force_all", "ms", float64(force.Max())/1000)
		add("agreed", "ms", ms(p.active-p.began))
		add("gap_p99", "ms", float64(gap.ValueAtQuantile(99))/1000)
		p.sent, p.bytes = 0, 0
	})
	p.after(countFrom+countFor, func() {
		for i := range p.nodes {
			p.busiest = max(p.busiest, p.nodes[i].sent)
		}
		s := countFor.Seconds()
		add("messages", "sent a second and node", p.sent/n/s)
		add("bytes", "sent a second and node", p.bytes/n/s)
		add("busiest", "messages sent a second", p.busiest/s)
	})
	p.after(cutAt, func() {
		p.cut = 1 + p.rng.IntN(len(p.nodes)-1)
		p.publish()
	})
	p.after(mendAt, func() {
		all := time.Duration(0)
		for i := range p.nodes {
			if i != p.cut {
				all = max(all, p.nodes[i].inForce-p.began)
			}
		}
		add("cut_in_force_all", "ms", ms(all))
		p.cut = -1
	})
	p.after(deathAt, func() { // the machine goes
		p.cut, p.leader = p.leader, -1
		for i := range p.nodes {
			p.nodes[i].changed = p.Now
		}
		p.after(electTake, func() { p.elect(1) })
	})
	return func() judge.Figures {
		for i, r := range p.nodes {
			if i != 0 && r.acting == 0 {
				p.lost += endAt - r.changed
			}
		}
		add("alone", "of the nodes' time, 12 s from the leader's death", p.lost.Seconds()/(n-1)/(endAt-deathAt).Seconds())
		add("wrong", "times", p.wrong)
		return f
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (p *rulesPlay) at(i int) time.Duration {
	return p.nodes[i].skew + time.Duration(float64(p.Now)*p.nodes[i].rate)
}

// wire is the time that a message takes, until the other's loop turns to it.
func (p *rulesPlay) wire(from, to int) time.Duration {
	a, b, most := p.d.Nodes[from].Zone, p.d.Nodes[to].Zone, p.d.Link.Cross
	switch {
	case a == b:
		most = p.d.Link.Same
	case p.d.Zones[a].Region != p.d.Zones[b].Region:
		most = p.d.Link.Far
	}
	return time.Duration(float64(most)*(1+0.2*p.rng.ExpFloat64())) + p.part(wakeTake)
}

func (p *rulesPlay) part(most time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(most))
}

func (p *rulesPlay) write() time.Duration { return diskMost/10 + p.part(diskMost*9/10) }

// round is the time until most of the voters have answered; with a write until they have it on disk.
func (p *rulesPlay) round(write bool) time.Duration {
	var took []time.Duration
	for v := range min(voters, len(p.nodes)) {
		t := p.wire(p.leader, v) + p.wire(v, p.leader)
		if write {
			t += p.write()
		}
		if v == p.leader {
			t = p.write()
		}
		if v != p.cut {
			took = append(took, t)
		}
	}
	slices.Sort(took)
	return took[min(len(took)-1, voters/2)]
}

// do has a command agreed on, and then goes on.
func (p *rulesPlay) do(c rules.Command, then func()) {
	term := p.term
	p.after(p.round(true), func() {
		if p.term != term || p.leader < 0 {
			return
		}
		if res, err := p.agreed.ApplyCommand(c); err != nil {
			panic(fmt.Sprint("a command of the play's own: ", err))
		} else if res.StateChanged && c.Commit != nil {
			p.active = p.Now
		}
		p.nodes[p.leader].Observe(p.at(p.leader), p.agreed.State())
		p.turn(p.leader)
		then()
	})
}

// publish publishes a set and asks for its activation, as one console call after the other.
func (p *rulesPlay) publish() {
	p.began = p.Now
	for i := range p.nodes {
		p.nodes[i].inForce, p.nodes[i].gap = p.Now+time.Minute, 0
	}
	number := p.agreed.Newest() + 1
	p.do(rules.Command{Publish: &rules.Publish{Parent: number - 1, Text: fmt.Append(nil, "# ", number)}}, func() {
		p.do(rules.Command{Activate: &rules.Activate{Number: number, Kind: p.kind}}, func() {
			p.do(rules.Command{Prepare: &rules.Prepare{Number: number}}, func() {})
		})
	})
}

func (p *rulesPlay) elect(i int) {
	p.leader, p.term = i, p.term+1
	p.nodes[i].Observe(p.at(i), p.agreed.State())
	p.nodes[i].BecomeLeader(p.at(i))
	p.turn(i)
	var v []int
	for j := range min(voters, len(p.nodes)) {
		v = append(v, j)
	}
	for j := range p.nodes {
		p.after(p.part(newsTake), func() {
			p.nodes[j].SetGrantors(p.at(j), rules.ChooseGrantors(j, i, v, p.peers))
			p.turn(j)
		})
	}
}

// turn is one turn of a node's loop.
func (p *rulesPlay) turn(i int) {
	r, now := &p.nodes[i], p.at(i)
	for _, o := range r.Flush(now) {
		p.carry(i, o)
	}
	if i == p.leader {
		term := p.term
		if round, ok := r.BeginConfirmation(); ok {
			p.after(p.round(false), func() {
				if p.term == term && p.leader == i {
					r.LeadershipConfirmed(p.at(i), round)
					p.turn(i)
				}
			})
		}
		if c, ok := r.CommitReady(now); ok {
			p.do(rules.Command{Commit: &c}, func() {})
		}
	}
	if name, ok := r.MissingText(); ok && name != r.fetching {
		r.fetching = name
		p.fetch(i, name, 0)
	}
	if number, ok := r.PersistDue(now); ok && number > r.keeping {
		r.keeping = number
		p.after(p.write(), func() {
			r.Persisted(number)
			p.turn(i)
		})
	}
	p.look(i)
	if when, ok := r.NextWake(now); ok {
		due := p.Now + max(0, time.Duration(float64(when-now)/r.rate)) + time.Microsecond
		if r.armed > p.Now && r.armed <= due {
			return
		}
		r.armed = due
		p.after(due-p.Now, func() {
			if r.armed == due {
				r.armed = 0
				p.turn(i)
			}
		})
	}
}

// fetch has a node ask for a text where it asks for leases, one after the other, until it is there.
func (p *rulesPlay) fetch(i int, name rules.VersionID, tries int) {
	from := rules.ChooseGrantors(i, max(p.leader, 0), nil, p.peers)
	of := from[tries%len(from)]
	p.after(p.wire(i, of)+p.wire(of, i)+textTake, func() {
		if i != p.leader && (of != p.leader && p.nodes[of].has < name.Number || of == p.cut || i == p.cut) {
			p.after(textWait, func() { p.fetch(i, name, tries+1) })
			return
		}
		p.nodes[i].has = max(p.nodes[i].has, name.Number)
		p.nodes[i].TextFetched(p.at(i), name, true)
		p.turn(i)
	})
}

func (p *rulesPlay) carry(from int, o rules.Outgoing) {
	raw, err := o.Message.Encode()
	if err != nil {
		panic(err) // the message is the node's own
	}
	p.sent++
	p.nodes[from].sent++
	p.bytes += header + float64(len(raw))
	if from == p.cut || o.To == p.cut || p.rng.Float64() < p.loss {
		return
	}
	p.after(p.wire(from, o.To), func() {
		m, err := rules.DecodeMessage(raw, len(p.nodes))
		if err != nil {
			panic(err)
		}
		p.nodes[o.To].Receive(p.at(o.To), m)
		p.turn(o.To)
	})
}

// look notes by which version a node acts from now, and what must not be.
func (p *rulesPlay) look(i int) {
	r := &p.nodes[i]
	number, until, _ := r.EffectiveVersion(p.at(i))
	if number != 0 && !r.looks { // as it ends
		r.looks = true
		p.after(time.Duration(float64(until-p.at(i))/r.rate)+time.Microsecond, func() { r.looks = false; p.look(i) })
	}
	if number == r.acting {
		return
	}
	if p.by[r.acting]--; r.acting == 0 {
		r.gap += p.Now - r.changed
		if p.Now > deathAt && p.Now > r.changed && i != 0 {
			p.lost += p.Now - r.changed
		}
	}
	p.by[number]++
	r.acting, r.changed = number, p.Now
	if number == 0 {
		return
	}
	if number < r.highest {
		p.wrong++
	}
	if r.highest = max(r.highest, number); number == p.agreed.Newest() {
		r.inForce = min(r.inForce, p.Now)
	}
	for other, n := range p.by {
		if n > 0 && other != 0 && other != number && (p.kind == rules.Exclusive || p.Now > p.active+rules.DefaultLeaseParams.MaxOverlap+time.Millisecond) {
			p.wrong++
		}
	}
}
