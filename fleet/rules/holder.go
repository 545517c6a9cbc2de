package rules

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	asksKept  = 8 // sent last, whose answers count
	readyKept = 8 // versions of which is known whether they can be acted by
	tiresBy   = 3 // asks without an answer after which another is asked
	homeAfter = 8 // renewals after which the first one is tried again
)

// Reason says why a router acts by no version.
type Reason uint8

// The reasons, the weightiest first.
const (
	Acting    Reason = iota // it does act by one
	NoVersion               // none is active
	NoLease                 // none was granted, or it ran out
	NoText                  // the text of the version is not here yet
	Refused                 // this node can't act by the version: see Set.Check
	NoMark                  // the disk has not kept the number yet
	Older                   // the lease is on an older version than it has acted by
)

func (r Reason) String() string {
	return [...]string{"acting", "no version", "no lease", "no text", "refused", "no mark", "older"}[min(r, Older)]
}

// lease is one on a version, by this node's clock.
type lease struct {
	name Name
	end  time.Duration
}

type sentAsk struct {
	seq   uint32
	at    time.Duration
	fresh bool
}

type readiness struct {
	name   Name
	usable bool
}

// Holder is a router's side of the leases: it asks, counts what it got on its own clock from before
// it asked, and tells by which version it acts. It acts by none that its disk has not kept the number
// of, nor by one below that number.
type Holder struct {
	t       Terms
	self    int
	word    Word
	trimmed uint64        // step of a preparation that the leases here go by
	leases  []lease       // by number, two at most
	ready   []readiness   // oldest first
	mark    uint64        // number that the disk has: none below is acted by
	proved  bool          // a fresh lease was got in this life
	asks    []sentAsk     // oldest first
	seq     uint32        // of the last ask
	askAt   time.Duration // of the next
	asked   time.Duration // the last
	parents []int         // that can be asked, the best first
	parent  int           // index of the one that is asked
	since   time.Duration // it is
	silent  int           // asks without an answer
	took    time.Duration // by answers of late, the slow ones for longer
}

// learn takes a word that is newer than the one here.
func (h *Holder) learn(now time.Duration, w Word) bool {
	if w.Step <= h.word.Step {
		return false
	}
	h.word = w
	if w.Next.Number == 0 {
		h.soon(now) // for a lease on what it speaks of
	}
	h.settle(now)
	return true
}

// settle has the leases go by a preparation: once the next text is here, so that the time without
// rules, or with two, is short.
func (h *Holder) settle(now time.Duration) {
	if h.word.Next.Number == 0 || h.trimmed == h.word.Step || !h.known(h.word.Next) {
		return
	}
	h.trimmed = h.word.Step
	most := h.t.most(&h.word)
	end := now + most
	if most > 0 {
		h.askAt = min(h.askAt, now+h.spread(most/3))
	}
	for i := range h.leases {
		h.leases[i].end = min(h.leases[i].end, end)
	}
	h.drop(now)
}

// drop forgets the leases that have run out.
func (h *Holder) drop(now time.Duration) {
	h.leases = slices.DeleteFunc(h.leases, func(l lease) bool { return now >= l.end })
}

// known tells whether the node knows if it can act by a version.
func (h *Holder) known(n Name) bool {
	return slices.ContainsFunc(h.ready, func(r readiness) bool { return r.name == n })
}

func (h *Holder) usable(n Name) bool { return slices.Contains(h.ready, readiness{n, true}) }

// Want gives a version whose text is to be fetched, where there is one.
func (h *Holder) Want() (Name, bool) {
	for _, n := range []Name{h.word.Now, h.word.Next} {
		if n.Number != 0 && !h.known(n) {
			return n, true
		}
	}
	return Name{}, false
}

// have takes that a version's text is here and whether this node can act by it.
func (h *Holder) have(now time.Duration, n Name, usable bool) {
	h.ready = slices.DeleteFunc(h.ready, func(r readiness) bool { return r.name == n })
	if len(h.ready) >= readyKept {
		h.ready = slices.Delete(h.ready, 0, 1)
	}
	h.ready = append(h.ready, readiness{n, usable})
	h.settle(now)
}

// Keep gives the number that the disk has to keep before the router can act by that version. Until
// Kept it goes on as it is: by the version before as long as the lease on that lasts.
func (h *Holder) Keep(now time.Duration) (uint64, bool) {
	if l := h.newest(); l != nil && now < l.end && h.usable(l.name) && l.name.Number > h.mark {
		return l.name.Number, true
	}
	return 0, false
}

func (h *Holder) newest() *lease {
	if len(h.leases) == 0 {
		return nil
	}
	return &h.leases[len(h.leases)-1]
}

// Acting gives the version that a request which begins now goes by, and the end of the lease on it
// by this node's clock; 0 is the settings alone, and why.
func (h *Holder) Acting(now time.Duration) (number uint64, until time.Duration, why Reason) {
	why = NoLease
	if h.word.Now.Number == 0 {
		why = NoVersion
	}
	for _, l := range h.leases {
		switch {
		case now >= l.end:
		case l.name.Number < h.mark:
			why = Older
		case !h.known(l.name):
			why = NoText
		case !h.usable(l.name):
			why = Refused
		case l.name.Number > h.mark:
			why = NoMark
		default:
			return l.name.Number, l.end, Acting
		}
	}
	return 0, 0, why
}

// rest is what is left of the lease on the version of the word: what can be granted on.
func (h *Holder) rest(now time.Duration) time.Duration {
	if l := h.newest(); l != nil && l.name == h.word.Now {
		return max(0, min(l.end-now, h.t.most(&h.word)))
	}
	return 0
}

// granted takes an answer. It tells which ask it answers; 0 is none that counts.
func (h *Holder) granted(now time.Duration, g *Grant) (a sentAsk) {
	i := slices.IndexFunc(h.asks, func(a sentAsk) bool { return a.seq == g.Seq })
	if i < 0 {
		return sentAsk{}
	}
	a = h.asks[i]
	h.asks = slices.Delete(h.asks, i, i+1)
	h.took = max(now-a.at, h.took*7/8)
	if h.silent = 0; g.Full {
		h.silent = tiresBy
		return sentAsk{}
	}
	if g.Word != nil {
		h.learn(now, *g.Word)
	}
	length := min(time.Duration(g.Length)*time.Microsecond, h.t.most(&h.word))
	switch {
	case g.Step != h.word.Step || !h.proved && !a.fresh: // it speaks of what is no more, or may
		h.soon(now)
		return sentAsk{}
	case length == 0:
		h.askAt = max(now, a.at+h.idle())
		return a
	}
	h.proved = true
	h.askAt = max(now, a.at+h.spread(min(h.t.Renew, length/3)))
	h.drop(now)
	l, end := h.newest(), a.at+length
	switch {
	case now >= end:
	case l != nil && l.name == h.word.Now:
		l.end = max(l.end, end)
	default:
		h.leases = append(h.leases[max(0, len(h.leases)-1):], lease{h.word.Now, end})
	}
	return a
}

// idle is the pause between asks while there is nothing to be had.
func (h *Holder) idle() time.Duration {
	if h.word.Step == 0 {
		return h.spread(h.t.Renew)
	}
	return h.spread(h.t.Renew / 4)
}

// spread makes a pause shorter by up to a quarter, so that nodes that were told together don't go on
// asking together.
func (h *Holder) spread(pause time.Duration) time.Duration {
	x := xxhash.Sum64(encodeUint(uint64(h.self)<<32 | uint64(h.seq)))
	return pause - time.Duration(x%1024)*pause/4096
}

func encodeUint(v uint64) []byte {
	return []byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40), byte(v >> 48), byte(v >> 56)}
}

// ask gives the next ask, where it is due.
func (h *Holder) ask(now time.Duration, fresh bool) (*Ask, bool) {
	if now < h.askAt {
		return nil, false
	}
	h.seq++
	if len(h.asks) >= asksKept {
		h.asks = slices.Delete(h.asks, 0, 1)
	}
	fresh = fresh || !h.proved
	h.asks = append(h.asks, sentAsk{h.seq, now, fresh})
	h.asked, h.askAt = now, now+min(h.t.Renew, max(h.t.Retry, 2*h.took)<<h.silent)
	h.silent = min(h.silent+1, tiresBy)
	return &Ask{Seq: h.seq, Step: h.word.Step, Fresh: fresh}, true
}

// whom gives the one to ask: the next where one is silent, and the first again after a while.
func (h *Holder) whom(now time.Duration) int {
	switch {
	case h.parent > 0 && now-h.since >= homeAfter*h.t.Renew:
		h.parent, h.since, h.silent = 0, now, tiresBy-1
	case h.silent >= tiresBy:
		h.parent, h.since, h.silent = (h.parent+1)%len(h.parents), now, 0
	}
	return h.parents[h.parent]
}

// soon has the next ask sent as soon as may be.
func (h *Holder) soon(now time.Duration) { h.askAt = min(h.askAt, max(now, h.asked+h.t.Retry/4)) }

// from takes whom the node may ask.
func (h *Holder) from(now time.Duration, parents []int) {
	if !slices.Equal(h.parents, parents) {
		h.parents, h.parent, h.since, h.silent = slices.Clone(parents), 0, now, 0
		h.soon(now)
	}
}
