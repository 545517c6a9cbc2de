package share

import "time"

// Hear takes a message. One of a process that is not live is refused; whatever is said twice
// counts once.
func (x *Exchange) Hear(now time.Duration, m *Message) {
	if m.From == x.cfg.Self || m.Life == 0 || m.Life != x.lives[m.From] {
		x.Counts.Strange++
		return
	}
	x.Counts.Heard++
	l := x.link(m.From)
	if int32(m.Number-l.heard) > 0 || l.heard == 0 {
		l.heard, l.heardAt = m.Number, now
	}
	if l.flying != nil && m.Acked == l.flying.Seq {
		l.flying = nil
		if len(l.pending)+len(l.hands) > 0 {
			x.dueBy(m.From, now+batch)
		}
	}
	if m.Seq > 0 {
		x.counted(l, m, now)
	}
	if len(m.Levels)+len(m.Owners)+len(m.Charges) > 0 {
		x.learn(l, m, now)
		if !l.spoken || now > l.spokenAt+echoEach {
			x.dueBy(m.From, now) // so that it can tell ages
		}
	}
}

// counted takes uses and stores, each once, and has that said.
func (x *Exchange) counted(l *link, m *Message, now time.Duration) {
	l.ack = true
	x.dueBy(m.From, now)
	fresh := int32(m.Seq-l.counted) > 0
	if fresh {
		l.counted = m.Seq
	} else {
		x.Counts.Repeated++
	}
	for _, h := range m.Hands {
		e := x.meet(h.Customer, h.Plan, Set{h.First, h.Spread}, now)
		if e == nil || !fresh {
			continue
		}
		x.Counts.Taken++
		x.store(e, now).Merge(float64(h.Level), float64(h.Taken), h.Guessed, time.Duration(m.HandAge)*time.Millisecond, now) // the refill on its way is left out
		x.count(e, 0, 0, now)
	}
	waited := time.Duration(m.UseAge) * time.Millisecond
	for _, u := range m.Uses {
		e := x.meet(u.Customer, u.Plan, Set{u.First, u.Spread}, now)
		if e == nil {
			continue
		}
		if x.ownerOf(e, now) != x.cfg.Self {
			if fresh { // the other does not know of the change yet
				x.tell(e, float64(u.Units), now-waited, now, now+batch)
			}
			continue
		}
		if fresh {
			x.count(e, float64(u.Units), waited, now)
		}
		l.levels[e.key] = e
	}
}

// learn takes levels and owners with their ages, and has them passed on where this node is a head.
func (x *Exchange) learn(l *link, m *Message, now time.Duration) {
	sent, ok := l.sent(m, x.cfg.Life)
	if !ok || sent > now {
		x.Counts.Ageless++
		return
	}
	for _, v := range m.Levels {
		when := sent - time.Duration(v.Age)*time.Millisecond
		if when+Life < now {
			x.Counts.Late++
			continue
		}
		x.hears(v, when, now)
		x.passOn(m.Hop, func(n *news) { n.level(v.Customer, at{float64(v.Units), when, Set{v.First, v.Spread}}) }, now)
	}
	for _, c := range m.Charges {
		when := sent - time.Duration(c.Age)*time.Millisecond
		if when+VerdictLife < now {
			x.Counts.Late++
			continue
		}
		w := word{Server{c.Key, c.Boot}, c.Node}
		x.court.hear(w, when)
		x.passOn(m.Hop, func(n *news) { n.charge(w, when) }, now)
	}
	for _, o := range m.Owners {
		when := sent - time.Duration(o.Age)*time.Millisecond
		if when+Life < now {
			x.Counts.Late++
			continue
		}
		x.covered[o.Node] = max(x.covered[o.Node], when)
		x.passOn(m.Hop, func(n *news) { n.owner(o.Node, told{when, o.Reach}) }, now)
	}
}

// hears takes a level of a customer, less own uses that its owner may not have counted yet.
func (x *Exchange) hears(v Level, when, now time.Duration) {
	e := x.entry(v.Customer, now)
	newer := !e.view.heard || when > e.view.at
	e.view.Hear(float64(v.Units), when)
	e.view.low = e.quota.Depth == 0 || float64(v.Units) < lowPart*e.quota.Depth // of one not met before, it was told as it is low
	if newer {
		x.takeUnsaid(e)
	}
}

// takeUnsaid takes from what is reckoned the own uses that the owner may not have counted.
func (x *Exchange) takeUnsaid(e *entry) {
	l := x.links[e.owner]
	if l == nil {
		return
	}
	if u := l.pending[e.key]; u != nil {
		e.view.Take(float64(u.Units))
	}
	if l.flying == nil {
		return
	}
	for i := range l.flying.Uses {
		if l.flying.Uses[i].Customer == e.key {
			e.view.Take(float64(l.flying.Uses[i].Units))
		}
	}
}

// passOn puts what has come to a head where it goes on from.
func (x *Exchange) passOn(hop int, put func(*news), now time.Duration) {
	if hop == 0 || hop == hopLast {
		return
	}
	if hop == 1 {
		put(&x.toHead)
	}
	put(&x.toMine)
	if x.relayAt == 0 {
		x.relayAt = now + relayEvery
	}
	x.wakeBy(x.relayAt)
}
