package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Flush gives the messages that are due.
func (x *Exchange) Flush(now time.Duration) []Out {
	if x.wake >= 0 && now > x.wake+sleptAfter {
		// What the others have told since has not been read yet, and may be that a store is low.
		x.quietUntil = now + Life/2
	}
	x.wake = -1
	var out []Out
	out = x.beat(now, out)
	out = x.relay(now, out)
	for _, node := range slices.Sorted(maps.Keys(x.busy)) {
		l := x.busy[node]
		if l.flying != nil && now >= l.flewAt+resend {
			x.Counts.Resent++
			l.flewAt = now
			again := *l.flying
			again.UseAge = millis(now - l.since)
			out = append(out, x.stamp(node, &again, now))
		}
		if l.due >= 0 && l.due <= now {
			out = x.speak(node, l, now, out)
		}
		if l.flying != nil {
			x.wakeBy(l.flewAt + resend)
		}
		if l.due >= 0 {
			x.wakeBy(l.due)
		} else if l.flying == nil {
			delete(x.busy, node)
		}
	}
	return out
}

// speak sends what is due to one node: uses, what was counted, or a word alone.
func (x *Exchange) speak(node int, l *link, now time.Duration, out []Out) []Out {
	l.due = -1
	m := &Message{}
	if l.ack {
		m.Acked, l.ack = l.counted, false
		for _, key := range slices.Sorted(maps.Keys(l.levels)) {
			if e := l.levels[key]; e.store != nil && len(m.Levels) < ackedMost {
				m.Levels = append(m.Levels, Level{Customer: key, First: e.set.First, Spread: e.set.Spread, Units: float32(e.store.Level(now))})
			}
		}
		clear(l.levels)
	}
	if l.flying == nil && len(l.pending)+len(l.hands) > 0 {
		x.seq++
		m.Seq = x.seq
		since := now
		n := min(len(l.hands), usesMost-ackedMost)
		m.Hands, l.hands = l.hands[:n:n], l.hands[n:]
		for _, key := range slices.Sorted(maps.Keys(l.pending)) {
			if len(m.Uses)+n >= usesMost {
				break
			}
			u := l.pending[key]
			m.Uses, since = append(m.Uses, u.Use), min(since, u.since)
			delete(l.pending, key)
		}
		m.UseAge = millis(now - since)
		if l.made > 0 {
			m.HandAge = millis(now - l.made)
		}
		if len(l.hands) == 0 {
			l.made = 0
		}
		l.flying, l.flewAt, l.since = &Message{Seq: m.Seq, Uses: m.Uses, Hands: m.Hands, HandAge: m.HandAge}, now, since
		if len(l.pending)+len(l.hands) > 0 {
			x.dueBy(node, now+batch)
		}
	}
	return append(out, x.stamp(node, m, now))
}

// millis gives a span as messages have it.
func millis(span time.Duration) uint32 {
	return uint32(max(0, min(ageMost, span.Milliseconds())))
}

// beat tells, as an owner, the stores that are due and that all others are not low.
func (x *Exchange) beat(now time.Duration, out []Out) []Out {
	if x.left {
		x.up = newNews()
	}
	if x.left || now > x.lastUse+beatFor && x.up.empty() {
		return out
	}
	if now < x.beatAt || now < x.quietUntil {
		x.wakeBy(max(x.beatAt, x.quietUntil))
		return out
	}
	x.beatAt = now + beat
	x.wakeBy(x.beatAt)
	for _, key := range slices.Sorted(maps.Keys(x.lows)) {
		x.due(x.lows[key], now)
	}
	x.up.owner(x.cfg.Self, told{now, x.reach})
	if x.head == x.cfg.Self {
		for key, v := range x.up.levels {
			x.passOn(1, func(n *news) { n.level(key, v) }, now)
		}
		for w, when := range x.up.words {
			x.passOn(1, func(n *news) { n.charge(w, when) }, now)
		}
		x.passOn(1, func(n *news) { n.owner(x.cfg.Self, told{now, x.reach}) }, now)
		x.up = newNews()
		return out
	}
	return x.drain(x.up.sheet(now), 1, x.head, func(Set) bool { return true }, now, out)
}

// relay passes on, as a head, what has come.
func (x *Exchange) relay(now time.Duration, out []Out) []Out {
	if x.relayAt == 0 {
		return out
	}
	if now < x.relayAt {
		x.wakeBy(x.relayAt)
		return out
	}
	x.relayAt = 0
	toHead, toMine := x.toHead.sheet(now), x.toMine.sheet(now)
	for cell, h := range x.cells.heads {
		if h >= 0 && h != x.cfg.Self {
			out = x.drain(toHead, 2, h, func(s Set) bool { return x.cells.meets(s, cell) }, now, out)
		}
	}
	for _, n := range x.mine {
		out = x.drain(toMine, hopLast, n, func(s Set) bool { return s.holds(n, x.cfg.Group) }, now, out)
	}
	return out
}

// drain sends a node what of some news is for it, in messages that each fit a datagram. Words against
// servers are for all.
func (x *Exchange) drain(s sheet, hop, to int, wants func(Set) bool, now time.Duration, out []Out) []Out {
	var levels []Level
	for _, l := range s.levels {
		if wants(Set{l.First, l.Spread}) {
			levels = append(levels, l)
		}
	}
	var owners []Told
	for _, o := range s.owners {
		if wants(around(o.Node, o.Reach, x.cfg.Group)) {
			owners = append(owners, o)
		}
	}
	// Charges go first, alone, and levels before the word that all are told.
	for charges := s.charges; len(levels)+len(owners)+len(charges) > 0; {
		m := &Message{Hop: hop}
		if c := min(len(charges), chargesMost); c > 0 {
			m.Charges, charges = charges[:c], charges[c:]
		} else if a := min(len(levels), levelsMost); a < len(levels) {
			m.Levels, levels = levels[:a], levels[a:]
		} else {
			b := min(len(owners), ownersMost)
			m.Levels, m.Owners, levels, owners = levels, owners[:b], nil, owners[b:]
		}
		out = append(out, x.stamp(to, m, now))
	}
	return out
}

// stamp puts a message's head on it.
func (x *Exchange) stamp(node int, m *Message, now time.Duration) Out {
	l := x.link(node)
	l.number++
	l.number = cmp.Or(l.number, 1)
	l.sentAt[l.number%sentKept] = now
	l.spoken, l.spokenAt = true, now
	m.From, m.Life, m.Number = x.cfg.Self, x.cfg.Life, l.number
	if l.heard > 0 {
		m.Echo, m.EchoLife, m.Held = l.heard, uint32(l.life), uint32(min(int64(math.MaxUint32), int64((now-l.heardAt)/time.Microsecond)))
	}
	x.Counts.Sent++
	return Out{node, m}
}
