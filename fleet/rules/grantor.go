package rules

import (
	"slices"
	"time"
)

const long = -time.Duration(1 << 62) // ago

const tellsMost = 6 // of one word to one holder, when nobody waits for its answer

// entry is what a grantor knows of one process that has asked.
type entry struct {
	node   int
	life   uint64
	until  time.Duration // when all leases that it may hold have ended, by this clock
	seen   time.Duration // it, last
	step   uint64        // of the newest word that it is known to have
	acked  uint64        // step of the preparation that it has acknowledged
	tellAt time.Duration
	tells  int // of the word so far
}

// pending is an ask that can't be answered yet.
type pending struct {
	node    int
	life    uint64
	ask     Ask
	arrived time.Duration
	after   uint32 // the head's last ask when it came: a later one's answer is fresh enough
	round   uint64 // of the confirmation that answers it; 0 is none begun
}

// Grantor is the other side of the leases, at the leader and at heads. The leader grants by the
// registry, each ask after a confirmation of its leadership that began after the ask had come. A head
// passes on what is left of its own lease.
type Grantor struct {
	t         Terms
	word      Word
	leads     bool
	unknown   time.Duration // until when leases of leaders before may be held
	quiet     time.Duration // until when leases on the version before the active one may be held
	entries   []entry
	pending   []pending
	round     uint64 // of confirmation, begun last
	offered   uint64 // step of the preparation that was offered to be ended, last
	offeredAt time.Duration
}

// learn takes a word that is newer than the one here: all holders are to be told.
func (g *Grantor) learn(now time.Duration, w Word) {
	if w.Step <= g.word.Step {
		return
	}
	if w.Now.Number != g.word.Now.Number {
		g.quiet = now + g.t.Overlap
	}
	g.word = w
	for i := range g.entries {
		g.entries[i].tells, g.entries[i].tellAt = 0, now
	}
}

// lead makes the grantor the leader's. It knows nobody who holds a lease of the leaders before, so it
// counts each as held until it must have ended.
func (g *Grantor) lead(now time.Duration) {
	g.leads, g.unknown = true, now+g.t.counted(g.t.Lease)
	g.pending, g.offered = nil, 0
}

func (g *Grantor) follow() { g.leads, g.pending = false, nil }

// find gives the entry of a process, a new one where there is room.
func (g *Grantor) find(now time.Duration, node int, life uint64) *entry {
	for i := range g.entries {
		if g.entries[i].node == node && g.entries[i].life == life {
			return &g.entries[i]
		}
	}
	if len(g.entries) >= g.t.Holders {
		g.entries = slices.DeleteFunc(g.entries, func(e entry) bool { return e.until <= now && now-e.seen > 2*g.t.Renew })
	}
	if len(g.entries) >= g.t.Holders {
		return nil
	}
	g.entries = append(g.entries, entry{node: node, life: life, until: now, seen: now, step: g.word.Step})
	return &g.entries[len(g.entries)-1]
}

// asked takes an ask. It waits where it can't be answered by what is held: by the leader until that
// is confirmed, by a head until its own lease was renewed since.
func (g *Grantor) asked(now time.Duration, from int, life uint64, a Ask, rest time.Duration, after uint32) *Grant {
	e := g.find(now, from, life)
	if e == nil {
		return &Grant{Life: life, Seq: a.Seq, Step: g.word.Step, Full: true}
	}
	e.seen, e.step = now, max(e.step, a.Step)
	p := pending{node: from, life: life, ask: a, arrived: now, after: after}
	if !g.leads && !a.Fresh && a.Step <= g.word.Step && rest > 0 {
		return g.answer(now, p, rest)
	}
	i := slices.IndexFunc(g.pending, func(o pending) bool { return o.node == from })
	switch {
	case i < 0:
		g.pending = append(g.pending, p)
	case g.pending[i].life != life || a.Fresh && !g.pending[i].ask.Fresh || now-g.pending[i].arrived >= g.t.Renew:
		g.pending[i] = p
	}
	return nil // an ask that came again does not set back the one before, whose answer may be under way
}

// answer grants what is to be had: length at most, by the word.
func (g *Grantor) answer(now time.Duration, p pending, length time.Duration) *Grant {
	length = min(length, g.t.most(&g.word)) / time.Microsecond * time.Microsecond
	e := g.find(now, p.node, p.life)
	if e == nil {
		return &Grant{Life: p.life, Seq: p.ask.Seq, Step: g.word.Step, Full: true}
	}
	if length > 0 {
		e.until = max(e.until, p.arrived+g.t.counted(length))
	}
	a := &Grant{Life: p.life, Seq: p.ask.Seq, Step: g.word.Step, Length: uint32(length / time.Microsecond)}
	if p.ask.Step != g.word.Step {
		e.step = g.word.Step
		w := g.word
		a.Word = &w
	}
	return a
}

// renewed gives the answers that a head can give once an ask of its own was answered, and forgets the
// asks that are too old.
func (g *Grantor) renewed(now time.Duration, own sentAsk, rest time.Duration) (out []pending) {
	keep := g.pending[:0]
	for _, p := range g.pending {
		later := int32(own.seq-p.after) > 0
		switch {
		case rest > 0 && (!p.ask.Fresh || later && own.fresh), rest == 0 && later:
			out = append(out, p)
		case now-p.arrived < 2*g.t.Renew:
			keep = append(keep, p)
		}
	}
	g.pending = keep
	return out
}

// confirmed gives the asks that a confirmation answers.
func (g *Grantor) confirmed(round uint64) (out []pending) {
	g.pending = slices.DeleteFunc(g.pending, func(p pending) bool {
		ok := p.round != 0 && p.round <= round
		if ok {
			out = append(out, p)
		}
		return ok
	})
	return out
}

// begin marks the asks that a confirmation which begins now will answer.
func (g *Grantor) begin() (round uint64, ok bool) {
	for i := range g.pending {
		if g.pending[i].round == 0 {
			g.pending[i].round, ok = g.round+1, true
		}
	}
	if ok {
		g.round++
	}
	return g.round, ok
}

// acked takes that a process and all to whom it has granted go by a preparation.
func (g *Grantor) acked(now time.Duration, from int, life, step uint64) {
	for i := range g.entries {
		e := &g.entries[i]
		if e.node != from || e.life != life {
			continue
		}
		e.seen, e.step = now, max(e.step, step)
		if g.word.Next.Number != 0 && step == g.word.Step {
			e.acked = step
			e.until = min(e.until, now+g.t.counted(g.t.most(&g.word)))
		}
	}
}

// allowance is how long leases may last yet when a preparation is done.
func (g *Grantor) allowance() time.Duration { return g.t.counted(g.t.most(&g.word)) }

// settledAt is when all leases granted from here go by the preparation, if nobody acknowledges more.
func (g *Grantor) settledAt() time.Duration {
	at := long
	for _, e := range g.entries {
		at = max(at, e.until)
	}
	return at - g.allowance()
}

// readyAt is when the prepared version can be made the active one, at the leader.
func (g *Grantor) readyAt() time.Duration {
	at := max(g.settledAt(), g.quiet)
	if g.word.Now.Number != 0 {
		at = max(at, g.unknown-g.allowance())
	}
	if g.offered == g.word.Step {
		at = max(at, g.offeredAt+g.t.Renew)
	}
	return at
}

// tell gives who is to be told the word now.
func (g *Grantor) tell(now time.Duration) (to []int) {
	for i := range g.entries {
		if e := &g.entries[i]; g.tells(now, e) && now >= e.tellAt {
			e.tellAt = now + min(g.t.Renew, g.t.Retry<<min(e.tells, 8))
			e.tells++
			if !slices.Contains(to, e.node) {
				to = append(to, e.node)
			}
		}
	}
	return to
}

// tells tells whether a holder has to be told the word: until it has it, and where a version is
// prepared until it has acknowledged or has no lease left.
func (g *Grantor) tells(now time.Duration, e *entry) bool {
	if g.word.Next.Number != 0 && e.acked < g.word.Step && e.until > now {
		return true
	}
	return e.step < g.word.Step && e.tells < tellsMost
}
