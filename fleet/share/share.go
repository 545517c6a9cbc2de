// Package share is the pure part of what edge nodes decide together about a customer's quota: who
// holds the store, what the others tell the holder, and what it tells them. It has no clock, no
// socket and no goroutine; times are on the caller's monotonic clock, and each node has its own.
//
// A customer's owner is one of the live nodes of its set. Each node tells the owner, in batches and
// after its decision, what it has sent on; the owner keeps the one store. While a store is low, its
// owner tells all nodes how much it holds, by heads that gather what many owners tell (see
// Exchange). Between two levels a node reckons with the refill and its own uses. What was told
// counts for Life and no longer, so a node that hears nothing decides as one alone.
package share

import (
	"math"
	"time"
)

// Figures of the exchange, each with its reason.
const (
	Life    = time.Second            // age at which what was told is not used any more
	Renew   = 700 * time.Millisecond // after which a low store is told again: before the last level ends
	lowPart = 0.7                    // of the depth, below which the store is told: the control module asks whether half is there
	step    = 0.08                   // of the depth, by which it must differ from what the others reckon with to be told
)

// Quota is what a customer may send: units a second, and units that its store holds at most.
type Quota struct{ Rate, Depth float64 }

// reckon is a level that was right at a time, with the refill since.
func (q Quota) reckon(level float64, since time.Duration) float64 {
	return math.Min(q.Depth, level+q.Rate*since.Seconds())
}

// Store is a customer's store as its owner holds it.
type Store struct {
	Quota
	level    float64
	at       time.Duration
	taken    float64 // since it was made here
	guessed  bool    // its first level was not told by the owner before
	made     time.Duration
	spilt    spill
	told     float64 // the level that was told last
	toldAt   time.Duration
	toldOnce bool
}

// NewStore makes a store at a level.
func NewStore(q Quota, level float64, now time.Duration) *Store {
	return &Store{Quota: q, level: level, at: now}
}

// Level gives the units that the store holds.
func (s *Store) Level(now time.Duration) float64 { return s.reckon(s.level, now-s.at) }

// Take takes units that were sent on, or gives them back where they are below zero. What the store
// does not hold went beyond the quota and leaves no debt: the platform takes it from nobody.
func (s *Store) Take(units float64, now time.Duration) { s.TakeLate(units, 0, now) }

// TakeLate takes units that were sent on up to so long ago, and of which nobody told until now: after
// a cut, or as their owner died. Had they been taken when they were sent, less of the refill since
// then would have found the store full; so they come off that first. Guards against stores that are
// empty by the uses of a whole cut at the moment in which it is over.
func (s *Store) TakeLate(units float64, waited, now time.Duration) {
	s.advance(now)
	s.taken += units
	if waited >= lateFrom && units > 0 {
		units -= s.spilt.absorb(units, waited, now)
	}
	s.set(s.level-units, now)
}

// advance brings the store up to now, and remembers what of the refill found it full.
func (s *Store) advance(now time.Duration) {
	if now <= s.at {
		return
	}
	if over := s.level + s.Rate*(now-s.at).Seconds() - s.Depth; over > 0 && s.Rate > 0 {
		s.spilt.add(over, s.Rate, now)
	}
	s.set(s.Level(now), now)
}

func (s *Store) set(level float64, now time.Duration) {
	s.level, s.at = math.Max(0, math.Min(s.Depth, level)), now
}

const (
	lateFrom   = Life // waited, from which a use counts as of then
	spillWidth = 500 * time.Millisecond
	spillBins  = 32 // 16 s: twice what the membership takes to see that a node of sixty is gone
)

// spill is the refill that found a store full, by when.
type spill struct {
	bins [spillBins]float32
	last int64 // bin up to which it is kept
}

// roll forgets the bins that now are others'.
func (p *spill) roll(now time.Duration) int64 {
	b := int64(now / spillWidth)
	for i := max(p.last+1, b-spillBins+1); i <= b; i++ {
		p.bins[i%spillBins] = 0
	}
	p.last = max(p.last, b)
	return b
}

// add takes a refill that was lost at a rate up to now.
func (p *spill) add(units, rate float64, now time.Duration) {
	b := p.roll(now)
	from := now - time.Duration(units/rate*float64(time.Second))
	for i := max(0, b-spillBins+1, int64(from/spillWidth)); i <= b; i++ {
		begin, end := max(from, time.Duration(i)*spillWidth), min(now, time.Duration(i+1)*spillWidth)
		p.bins[i%spillBins] += float32(rate * (end - begin).Seconds())
	}
}

// absorb gives, up to so many units, the refill lost in so long, which is lost no more.
func (p *spill) absorb(units float64, span, now time.Duration) float64 {
	left := units
	b := p.roll(now)
	for i := max(0, b-spillBins+1, int64((now-span)/spillWidth)); i <= b && left > 0; i++ {
		take := math.Min(left, float64(p.bins[i%spillBins]))
		p.bins[i%spillBins] -= float32(take)
		left -= take
	}
	return units - math.Max(0, left)
}

// Merge takes over the store of another that held it. Where this one was made to follow it, the
// other's level stands, less what was taken here since. Where the other was made to follow this one,
// which was not heard but there, as on a side of a partition, what was taken there in that time is gone
// here too. Of two that are neither the lower counts.
func (s *Store) Merge(level, taken float64, guessed bool, since, now time.Duration) {
	s.advance(now)
	switch {
	case s.guessed && !guessed:
		s.guessed = false
		s.set(level-s.taken, now)
	case !s.guessed && guessed:
		if since >= lateFrom {
			taken -= s.spilt.absorb(taken, since, now)
		}
		s.set(math.Min(s.level-taken, level), now)
	default:
		s.set(math.Min(s.Level(now), level), now)
	}
}

// Due gives the level that is to be told now, if one is: while the store is low, when the others
// reckon with another level or will soon not reckon with any.
func (s *Store) Due(now time.Duration) (level float64, ok bool) {
	level = s.Level(now)
	reckoned := s.reckon(s.told, now-s.toldAt)
	fresh := s.toldOnce && now < s.toldAt+Renew
	if !s.low(level) && !(fresh && s.low(reckoned)) || fresh && math.Abs(level-reckoned) < step*s.Depth {
		return 0, false
	}
	s.told, s.toldAt, s.toldOnce = level, now, true
	return level, true
}

func (s *Store) low(level float64) bool { return level < lowPart*s.Depth }

// View is what a node knows of a customer's store from its owner.
type View struct {
	level float64
	at    time.Duration // at which it was right at the latest, on this node's clock
	heard bool
	low   bool // when it was heard
	least bool // no level was told, but that it was not low
}

// Hear takes a level; at is the earliest time, on this node's clock, at which it can have been
// right. An older one than the last changes nothing, and of two of one time the lower counts.
func (v *View) Hear(level float64, at time.Duration) {
	switch {
	case !v.heard || at > v.at:
		*v = View{level: level, at: at, heard: true}
	case at == v.at:
		v.level = math.Min(v.level, level)
	}
}

// Fresh tells whether what was heard may still be used.
func (v *View) Fresh(now time.Duration) bool { return v.heard && now <= v.at+Life }

// Take takes own units from what is reckoned here.
func (v *View) Take(units float64) { v.level -= units }

// Level gives what the store is reckoned to hold.
func (v *View) Level(q Quota, now time.Duration) float64 { return q.reckon(v.level, now-v.at) }
