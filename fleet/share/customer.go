package share

import "time"

// entry is what is known of one customer.
type entry struct {
	key     uint64
	plan    uint32
	quota   Quota
	set     Set // of no nodes until one is told
	epoch   uint64
	owner   int
	quorum  bool
	movedAt time.Duration
	moved   bool
	view    View
	store   *Store // held here; nil is elsewhere
}

// meet gives what is known of a customer, with its plan and set; nil where the plan has no quota.
func (x *Exchange) meet(key uint64, plan uint32, s Set, now time.Duration) *entry {
	q, ok := x.cfg.Quotas[plan]
	if !ok || q.Rate <= 0 {
		return nil
	}
	e := x.entry(key, now)
	if e.plan, e.quota = plan, q; s.Spread > e.set.Spread {
		e.set, e.epoch = Set{s.First, min(s.Spread, x.cfg.Group)}, 0
	}
	return e
}

// entry gives what is known of a customer. Those not met for long are forgotten, and beyond the
// most those met longest ago.
func (x *Exchange) entry(key uint64, now time.Duration) *entry {
	if now > x.rotated+rotate || len(x.young) >= x.cfg.Customers/2 {
		for k, e := range x.old {
			if x.young[k] == nil && e.store != nil {
				delete(x.owned, k)
				delete(x.lows, k)
			}
		}
		x.old, x.young, x.rotated = x.young, make(map[uint64]*entry), now
	}
	e := x.young[key]
	if e == nil {
		if e = x.old[key]; e == nil {
			e = &entry{key: key, owner: -1}
		}
		x.young[key] = e
	}
	return e
}

// ownerOf gives the owner of a customer among the live nodes.
func (x *Exchange) ownerOf(e *entry, now time.Duration) int {
	if e.epoch == x.epoch || e.set.Spread == 0 {
		return e.owner
	}
	before := e.owner
	e.owner, e.quorum = Owner(e.key, e.set, x.cfg.Group, func(n int) bool { return x.alive[n] })
	if e.epoch = x.epoch; before >= 0 && before != e.owner {
		e.moved, e.movedAt = true, now
	}
	return e.owner
}

// store gives the store of a customer that this node owns. One that follows an owner it has not
// heard from begins with what that one told last; of stores that are not low nothing is told.
func (x *Exchange) store(e *entry, now time.Duration) *Store {
	if e.store != nil {
		return e.store
	}
	level := e.quota.Depth
	switch {
	case e.view.heard && now < e.view.at+beatFor:
		level = e.view.Level(e.quota, now)
	case e.moved && now < e.movedAt+beatFor:
		level = lowPart * e.quota.Depth
	}
	e.store = NewStore(e.quota, level, now)
	e.store.made = now
	e.store.guessed = e.moved && now < e.movedAt+beatFor
	x.owned[e.key] = e
	return e.store
}

// Known is what a node knows of a customer's store.
type Known struct {
	Units float64 // that it holds, less what was sent on from here since
	Least bool    // it holds that much at least
	Age   time.Duration
}

// Level tells what is known of a customer's store, if anything is that may be used: nothing told
// is older than Life, nothing is used for a while after the owner changed, and nothing where most
// of the customer's set is not to be seen.
func (x *Exchange) Level(now time.Duration, key uint64, plan uint32, s Set) (k Known, ok bool) {
	e := x.meet(key, plan, s, now)
	if e == nil {
		return k, false
	}
	owner := x.ownerOf(e, now)
	if owner < 0 || !e.quorum || e.moved && now < e.movedAt+settleFor {
		return k, false
	}
	if owner == x.cfg.Self {
		if now < x.quietUntil {
			return k, false
		}
		return Known{Units: x.store(e, now).Level(now)}, true
	}
	x.cover(e, now)
	if !e.view.Fresh(now) {
		return k, false
	}
	return Known{Units: e.view.Level(e.quota, now), Least: e.view.least, Age: now - e.view.at}, true
}

// cover takes that an owner has told all its low stores and not this one: it held lowPart at least.
// One that was low when last told is low until that is too old, as an owner tells no small change.
func (x *Exchange) cover(e *entry, now time.Duration) {
	told, ok := x.covered[e.owner]
	least := lowPart * e.quota.Depth
	if !ok || now > told+Life || e.view.heard && told <= e.view.at || e.view.Fresh(now) && (e.view.low || e.view.Level(e.quota, now) > least) {
		return
	}
	e.view.Hear(least, told)
	e.view.least = true
	x.takeUnsaid(e)
}

// Sent takes units that this node has sent on for a customer, to be told to its owner. A
// correction of what was sent before may wait.
func (x *Exchange) Sent(now time.Duration, key uint64, plan uint32, s Set, units float64, correction bool) {
	e := x.meet(key, plan, s, now)
	if e == nil || units == 0 {
		return
	}
	e.view.Take(units)
	if correction {
		x.tell(e, units, now, now, now+lazy)
		return
	}
	x.tell(e, units, now, now, now+batch)
}

// tell has a use, which is to be told since a time, counted by its owner.
func (x *Exchange) tell(e *entry, units float64, since, now, by time.Duration) {
	owner := x.ownerOf(e, now)
	if owner == x.cfg.Self {
		x.count(e, units, now-since, now)
		return
	}
	if owner < 0 {
		x.Counts.Untold++
		return
	}
	l := x.dueBy(owner, by)
	u := l.pending[e.key]
	if u == nil {
		u = &untold{Use{Customer: e.key, Plan: e.plan, First: e.set.First, Spread: e.set.Spread}, since}
		l.pending[e.key] = u
	}
	u.Units, u.since = u.Units+float32(units), min(u.since, since)
}

// count takes a use that waited so long from the store held here, and has the others told where that
// is due.
func (x *Exchange) count(e *entry, units float64, waited, now time.Duration) {
	x.store(e, now).TakeLate(units, waited, now)
	if x.beatAt == 0 || x.lastUse+beatFor < now {
		x.beatAt = now + batch
	}
	x.lastUse, x.reach = now, max(x.reach, min(e.set.Spread, x.cfg.Group-1))
	x.wakeBy(max(x.beatAt, x.quietUntil))
	x.due(e, now)
}

// due has a store told where that is due.
func (x *Exchange) due(e *entry, now time.Duration) {
	if level, ok := e.store.Due(now); ok {
		x.up.level(e.key, at{level, now, e.set})
		x.beatAt = min(x.beatAt, now+batch)
		x.wakeBy(max(x.beatAt, x.quietUntil))
	}
	if e.store.low(e.store.Level(now)) {
		x.lows[e.key] = e
	} else {
		delete(x.lows, e.key)
	}
}
