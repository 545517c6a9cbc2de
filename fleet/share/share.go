// Package share is the pure part of what edge nodes decide together about a customer's quota: who
// holds the store, what the others tell the holder, and what it tells them. It has no clock, no
// socket and no goroutine; times are on the caller's monotonic clock.
//
// A customer's owner is one of the live nodes of its set. Each node tells the owner, in batches and
// after its decision, what it has sent on. The owner keeps the one store and, while that is low,
// tells the set how much it holds. Between two notices a node reckons with the refill. What was
// told counts for Life and no longer, so a node that hears nothing decides as one alone.
package share

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of the exchange, each with its reason.
const (
	Life    = time.Second            // age at which a notice is not used any more
	Renew   = 700 * time.Millisecond // after which a low store is told again: before the last notice ends
	lowPart = 0.4                    // of the depth, below which the store is told: a surge of six times the rate takes the rest in a third of a second
	step    = 0.08                   // of the depth, by which it must differ from what the set reckons with to be told
)

// Member is a node as it takes part in the choice of owners.
type Member uint64

// MemberOf gives a node's part in the choice; it goes by the name, which outlives the process.
func MemberOf(name string) Member { return Member(xxhash.Sum64String(name)) }

// Owner gives the index, among the members for which live holds, of the one that holds a
// customer's store, by rendezvous hashing: a member that goes moves its own customers alone, and
// one that comes takes its even part. It gives -1 where none is live.
func Owner(customer uint64, members []Member, live func(i int) bool) int {
	best, most := -1, uint64(0)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], customer)
	for i, m := range members {
		if !live(i) {
			continue
		}
		binary.LittleEndian.PutUint64(b[8:], uint64(m))
		if h := xxhash.Sum64(b[:]); best < 0 || h > most {
			best, most = i, h
		}
	}
	return best
}

// Use is the units that one node has sent on for a customer since it told its owner last.
type Use struct {
	Customer uint64
	Units    float64
}

// Notice is what an owner tells the set while a store is low.
type Notice struct {
	Customer uint64
	Level    float64 // units held
}

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
	told     float64 // the level that the set was told last
	toldAt   time.Duration
	toldOnce bool
}

// NewStore makes a store at a level. An owner that follows one it has not heard from begins with
// nothing: what the former one has granted is not known.
func NewStore(q Quota, level float64, now time.Duration) *Store {
	return &Store{Quota: q, level: level, at: now}
}

// Level gives the units that the store holds.
func (s *Store) Level(now time.Duration) float64 { return s.reckon(s.level, now-s.at) }

// Take takes units that were sent on, or gives them back where they are below zero. The store goes
// below nothing by its depth at most, so that a surge nobody could know of is forgotten in time.
func (s *Store) Take(units float64, now time.Duration) {
	s.level, s.at = math.Max(-s.Depth, math.Min(s.Depth, s.Level(now)-units)), now
}

// Due gives the notice that is to go out now, if one is: while the store is low, when the set
// reckons with another level or will soon not reckon with any.
func (s *Store) Due(customer uint64, now time.Duration) (n Notice, ok bool) {
	level := s.Level(now)
	reckoned := s.reckon(s.told, now-s.toldAt)
	fresh := s.toldOnce && now < s.toldAt+Renew
	if level >= lowPart*s.Depth && !(fresh && reckoned < lowPart*s.Depth) || fresh && math.Abs(level-reckoned) < step*s.Depth {
		return Notice{}, false
	}
	s.told, s.toldAt, s.toldOnce = level, now, true
	return Notice{customer, level}, true
}

// View is what a node of the set knows of a customer's store from its owner.
type View struct {
	level float64
	at    time.Duration // at which it was right, on this node's clock
	heard bool
}

// Hear takes a notice; sent is the latest time, on this node's clock, at which it can have been
// sent. An older one than the last changes nothing.
func (v *View) Hear(n Notice, sent time.Duration) {
	if !v.heard || sent >= v.at {
		v.level, v.at, v.heard = n.Level, sent, true
	}
}

// Heard is the time that the age of what was heard counts from.
func (v *View) Heard() time.Duration { return v.at }

// Fresh tells whether what was heard may still be used.
func (v *View) Fresh(now time.Duration) bool { return v.heard && now <= v.at+Life }

// Admit decides on a try of some units: it passes where the store is reckoned to hold them, and
// where nothing fresh is known. Its units count at once against what is reckoned here.
func (v *View) Admit(q Quota, units float64, now time.Duration) bool {
	if !v.Fresh(now) {
		return true
	}
	if q.reckon(v.level, now-v.at) < units {
		return false
	}
	v.level -= units
	return true
}
