package rules

import (
	"slices"
	"time"
)

// Out is a message to be sent. One that is lost is made up for; it needs no retry below.
type Out struct {
	To      int
	Message *Message
}

// Config is what a node's part of the leases is started with.
type Config struct {
	Self  int    // index in the group
	Life  uint64 // of the process; no two of one node are the same, and none is 0
	Mark  uint64 // number that the disk has kept last; 0 is none
	Terms Terms
}

// Node is one node's part of the leases: a holder, and a grantor for those who ask it. The caller
// carries messages, agrees on the registry and fetches texts. Its clock only moves forward, from 0 or
// more, and goes on while the machine is suspended (CLOCK_BOOTTIME). All calls are one goroutine's.
//
//	word of the registry, from anywhere   Learn
//	a message came                        Hear
//	Wake is due, or after any other call  Flush, and send what it gives; then look at the next four
//	while it leads, Begin gives a round   confirm the leadership by a quorum, then Confirmed
//	Ready gives a command                 propose it
//	Want gives a version                  fetch its text, Parse, Check, then Have
//	Keep gives a number                   have it on the disk, then Kept
//	this node was elected                 Lead, once all of the terms before is applied and learnt
//	it leads no more                      Follow
//	a request begins                      Acting
type Node struct {
	self int
	life uint64
	h    Holder
	g    Grantor
	owe  []int // acknowledgements of the step of the word
	outs []Out
}

// NewNode begins a node's part. It holds nothing, whatever it held before.
func NewNode(c Config, now time.Duration) *Node {
	return &Node{self: c.Self, life: c.Life, h: Holder{t: c.Terms, self: c.Self, mark: c.Mark, askAt: now, asked: now - c.Terms.Renew}, g: Grantor{t: c.Terms}}
}

// Parents takes whom this node can ask for leases, the best first: the leader for voters and heads,
// for others the head of their group, then other heads. While it leads it asks itself.
func (n *Node) Parents(now time.Duration, parents []int) { n.h.from(now, parents) }

// Learn takes a word of the registry, from this node's own or from any other's: it only ever tells
// what was agreed.
func (n *Node) Learn(now time.Duration, w Word) {
	if w.can() && n.h.learn(now, w) {
		n.g.learn(now, w)
		n.owe = n.owe[:0]
	}
}

// Word gives the newest word that this node has.
func (n *Node) Word() Word { return n.h.word }

// Want gives a version whose text this node needs.
func (n *Node) Want() (Name, bool) { return n.h.Want() }

// Have takes that a version's text is here, checked against its digest, and whether this node can act
// by it. It may be told of any version ahead.
func (n *Node) Have(now time.Duration, name Name, usable bool) { n.h.have(now, name, usable) }

// Keep gives a number that has to be on the disk before this node can act by that version.
func (n *Node) Keep(now time.Duration) (uint64, bool) { return n.h.Keep(now) }

// Kept takes that the disk has kept a number. Where it can't the node goes by its settings alone.
func (n *Node) Kept(number uint64) { n.h.mark = max(n.h.mark, number) }

// Acting gives the version that a request which begins now goes by, and until when that holds by this
// node's clock if nothing is heard; 0 is the settings alone, and why.
func (n *Node) Acting(now time.Duration) (number uint64, until time.Duration, why Reason) {
	return n.h.Acting(now)
}

// Lead tells that this node was elected. The registry's word by all that was agreed before its term
// must have been learnt: with raft, after a barrier in its term.
func (n *Node) Lead(now time.Duration) { n.g.lead(now) }

// Follow tells that this node leads no more, or may not.
func (n *Node) Follow() { n.g.follow() }

// Begin tells whether asks wait for a confirmation, and gives the number of the round that answers
// all that have come so far. The caller begins it after this call, by a quorum.
func (n *Node) Begin() (round uint64, ok bool) {
	if !n.g.leads {
		return 0, false
	}
	return n.g.begin()
}

// Confirmed tells that a quorum has confirmed this node's leadership in a round that began after the
// call of Begin that gave the number.
func (n *Node) Confirmed(now time.Duration, round uint64) {
	if !n.g.leads {
		return
	}
	for _, p := range n.g.confirmed(round) {
		n.give(p.node, n.g.answer(now, p, n.h.t.Lease))
	}
}

// Ready gives the command that makes the prepared version the active one, once no lease stands in its
// way, and again after a while where nothing came of it. Proposed twice it counts once.
func (n *Node) Ready(now time.Duration) (Commit, bool) {
	if !n.g.leads || n.g.word.Next.Number == 0 || now < n.g.readyAt() {
		return Commit{}, false
	}
	n.g.offered, n.g.offeredAt = n.g.word.Step, now
	return Commit{Number: n.g.word.Next.Number, Step: n.g.word.Step}, true
}

// Hear takes a message.
func (n *Node) Hear(now time.Duration, m *Message) {
	if m.Tell != nil {
		n.Learn(now, *m.Tell)
		switch {
		case m.Tell.Step < n.h.word.Step:
			w := n.h.word
			n.out(m.From).Tell = &w
		case n.h.word.Next.Number != 0 && !slices.Contains(n.owe, m.From) && len(n.owe) < n.h.t.Holders:
			n.owe = append(n.owe, m.From)
		}
	}
	if m.Ack != 0 {
		n.g.acked(now, m.From, m.Life, m.Ack)
	}
	if m.Grant != nil && m.Grant.Life == n.life {
		n.heard(now, m.Grant)
	}
	if m.Ask != nil {
		if a := n.g.asked(now, m.From, m.Life, *m.Ask, n.h.rest(now), n.h.seq); a != nil {
			n.give(m.From, a)
		} else if !n.g.leads {
			n.h.soon(now)
		}
	}
}

func (n *Node) heard(now time.Duration, g *Grant) {
	if g.Word != nil {
		n.Learn(now, *g.Word)
	}
	own := n.h.granted(now, g)
	if own.seq == 0 || n.g.leads {
		return
	}
	for _, p := range n.g.renewed(now, own, n.h.rest(now)) {
		n.give(p.node, n.g.answer(now, p, n.h.rest(now)))
	}
}

func (n *Node) give(to int, g *Grant) { n.out(to).Grant = g }

// out gives the message to a node that is not sent yet.
func (n *Node) out(to int) *Message {
	for _, o := range n.outs {
		if o.To == to {
			return o.Message
		}
	}
	m := &Message{From: n.self, Life: n.life}
	n.outs = append(n.outs, Out{to, m})
	return m
}

// Flush gives the messages that are due.
func (n *Node) Flush(now time.Duration) []Out {
	var out []Out
	for again := true; again; {
		n.due(now)
		outs := n.outs
		n.outs, again = nil, false
		for _, o := range outs {
			if o.To == n.self {
				n.Hear(now, o.Message)
				again = true
				continue
			}
			out = append(out, o)
		}
	}
	return out
}

func (n *Node) due(now time.Duration) {
	fresh := slices.ContainsFunc(n.g.pending, func(p pending) bool { return p.ask.Fresh })
	h := &n.h
	if to, ok := n.asks(now); ok {
		if a, ok := h.ask(now, fresh); ok {
			n.out(to).Ask = a
		}
	}
	for _, to := range n.g.tell(now) {
		w := n.g.word
		n.out(to).Tell = &w
	}
	n.owe = slices.DeleteFunc(n.owe, func(to int) bool {
		ok := n.settled(now, to)
		if ok {
			n.out(to).Ack = h.word.Step
		}
		return ok
	})
}

// asks gives whom this node asks.
func (n *Node) asks(now time.Duration) (to int, ok bool) {
	switch {
	case n.g.leads:
		return n.self, true
	case len(n.h.parents) > 0 && n.h.askAt <= now:
		return n.h.whom(now), true
	}
	return 0, false
}

// settled tells whether the preparation can be acknowledged to a node: the leases here go by it, and
// so do all that were granted from here.
func (n *Node) settled(now time.Duration, to int) bool {
	return n.h.trimmed == n.h.word.Step && (to == n.self || now >= n.g.settledAt())
}

// Wake tells when Flush has something next, or Ready.
func (n *Node) Wake(now time.Duration) (at time.Duration, ok bool) {
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(n.outs) > 0 {
		sooner(now)
	}
	if len(n.h.parents) > 0 || n.g.leads {
		sooner(n.h.askAt)
	}
	for i := range n.g.entries {
		if e := &n.g.entries[i]; n.g.tells(now, e) {
			sooner(e.tellAt)
		}
	}
	if n.h.trimmed == n.h.word.Step && len(n.owe) > 0 {
		sooner(n.g.settledAt())
	}
	if n.g.leads && n.g.word.Next.Number != 0 {
		sooner(n.g.readyAt())
	}
	return at, ok
}
