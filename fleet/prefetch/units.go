package prefetch

import (
	"math"
	"slices"
	"time"
)

const (
	// LoanMost is the longest loan: a window that lasts longer outlives its loans, and the edge then
	// decides alone.
	LoanMost = lengthMost

	lentPart  = 0.5 // of a store's level, depth and rate, that may be lent to all edges together
	loansMost = 64  // of one customer's store
)

// ID names a loan: the edge's index, its process, and a number that it gives once.
type ID struct {
	Edge int    `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
	Seq  uint32 `cbor:"3,keyasint"`
}

// Part is a part of a customer's store: units that it holds, those that it can hold, and units a
// second that fill it.
type Part struct {
	Units float64 `cbor:"1,keyasint"`
	Depth float64 `cbor:"2,keyasint"`
	Rate  float64 `cbor:"3,keyasint"`
}

// Loan is what an edge may send on by itself for a customer while it lasts: a store of its own that is
// a part of the whole one.
type Loan struct {
	Part
	ID       ID            `cbor:"4,keyasint"`
	Customer uint64        `cbor:"5,keyasint"`
	Left     time.Duration `cbor:"6,keyasint"` // that it lasts, when it was told
}

// Ledger is an owner's account of one customer's store: what of it is lent. The store itself is the
// owner's; it takes off it what Lend and Accrue tell, and puts back what Return tells. Owner and edges
// together give no more than the depth, the rate and the depth that is lent. Not taken: an owner that
// holds back the lent depth as well; it gives 0.004 less beyond quotas and refuses 0.1 more that has room.
type Ledger struct {
	customer uint64
	loans    []owed
	closed   map[int]ID // by edge, the last loan that was given back or is void: none of them counts again
	at       time.Duration
}

// owed is a loan that is out.
type owed struct {
	Loan
	from, end time.Duration // own clock
}

// NewLedger makes an empty account.
func NewLedger(customer uint64, now time.Duration) *Ledger {
	return &Ledger{customer: customer, closed: make(map[int]ID), at: now}
}

// Lend lends to an edge up to a part, for a span, of a store that is whole as given. take is what is
// to be taken off the store now. The same ID again gives the same loan with the time it has left, so
// an answer that was lost costs nothing. The owner's count ends no earlier than the edge's, which
// counts from before it asked, by the drift of the two clocks.
func (l *Ledger) Lend(now time.Duration, id ID, want Part, span time.Duration, whole Part) (loan Loan, take float64, err error) {
	if i := slices.IndexFunc(l.loans, func(o owed) bool { return o.ID == id }); i >= 0 {
		o := l.loans[i]
		loan = o.Loan
		loan.Left = o.Left - (now - o.from)
		if loan.Left <= 0 {
			return Loan{}, 0, &LoanError{l.customer, "the loan has ended"}
		}
		return loan, 0, nil
	}
	if last, ok := l.closed[id.Edge]; ok && !later(id, last) {
		return Loan{}, 0, &LoanError{l.customer, "the loan was given back or is void"}
	}
	if len(l.loans) >= loansMost {
		return Loan{}, 0, &LoanError{l.customer, "so many loans are out already"}
	}
	if span <= 0 || span > LoanMost || !(want.Units >= 0) || !(want.Depth >= 0) || !(want.Rate >= 0) {
		return Loan{}, 0, &LoanError{l.customer, "the question is improper"}
	}
	out := l.out()
	p := Part{Depth: math.Max(0, math.Min(want.Depth, lentPart*whole.Depth-out.Depth)),
		Rate: math.Max(0, math.Min(want.Rate, lentPart*whole.Rate-out.Rate))}
	p.Units = math.Min(math.Min(want.Units, p.Depth), lentPart*math.Max(0, whole.Units))
	if p.Depth == 0 {
		return Loan{}, 0, &LoanError{l.customer, "nothing is left to lend"}
	}
	loan = Loan{Part: p, ID: id, Customer: l.customer, Left: span}
	l.loans = append(l.loans, owed{loan, now, now + span + drift(span)})
	return loan, p.Units, nil
}

func drift(span time.Duration) time.Duration { return time.Duration(3 * driftMost * float64(span)) }

// later tells whether a loan of one edge is a later one than another of it.
func later(a, b ID) bool { return a.Life > b.Life || (a.Life == b.Life && int32(a.Seq-b.Seq) > 0) }

// out is what is lent.
func (l *Ledger) out() (sum Part) {
	for _, o := range l.loans {
		sum.Units, sum.Depth, sum.Rate = sum.Units+o.Units, sum.Depth+o.Depth, sum.Rate+o.Rate
	}
	return sum
}

// Accrue brings the account up to now and gives what has gone of the refill to edges since the last
// call. Loans that have ended are void: what was not spent of them is gone, and nothing given back
// counts any more.
func (l *Ledger) Accrue(now time.Duration) (take float64) {
	if now <= l.at {
		return 0
	}
	for _, o := range l.loans {
		take += o.Rate * math.Max(0, (min(now, o.end)-max(l.at, o.from)).Seconds())
	}
	l.loans = slices.DeleteFunc(l.loans, func(o owed) bool {
		if o.end > now {
			return false
		}
		l.close(o.ID)
		return true
	})
	l.at = now
	return take
}

func (l *Ledger) close(id ID) {
	if last, ok := l.closed[id.Edge]; !ok || later(id, last) {
		l.closed[id.Edge] = id
	}
}

// Return takes a loan back with what was not spent of it, and gives what is to be put back into the
// store. Only the first word counts, and only while the loan lasts; no more comes back than was
// lent until now.
func (l *Ledger) Return(now time.Duration, id ID, unspent float64) (put float64) {
	i := slices.IndexFunc(l.loans, func(o owed) bool { return o.ID == id })
	if i < 0 || now >= l.loans[i].end || !(unspent >= 0) {
		return 0
	}
	o := l.loans[i]
	l.loans = slices.Delete(l.loans, i, i+1)
	l.close(id)
	return math.Min(unspent, math.Min(o.Depth, o.Units+o.Rate*(now-o.from).Seconds()))
}

// Out is how many loans are out.
func (l *Ledger) Out() int { return len(l.loans) }

// Idle tells whether the account may be forgotten: nothing is out, and none of the loans that were
// can come back any more.
func (l *Ledger) Idle(now time.Duration) bool { return len(l.loans) == 0 && now > l.at+LoanMost }

// Purse is what an edge has of one customer's loan. It may spend what a mark on its disk covers: a
// crash costs what was covered and not spent, and nothing is spent twice.
type Purse struct {
	loan    Loan
	level   float64 // that may be spent
	at      time.Duration
	end     time.Duration // own clock
	spent   float64
	covered float64 // units spent that the disk has as gone
}

// Open takes a loan that was asked for at asked and whose answer is here now, on the own clock. It
// ends counted from the question and refills from the answer, so that the owner, who answered in
// between, has both on its account. The mark is the units that the disk has as gone already, before
// anything is spent.
func Open(loan Loan, asked, now time.Duration, mark float64) *Purse {
	return &Purse{loan: loan, level: loan.Units, at: now, end: asked + loan.Left, covered: mark}
}

func (p *Purse) refill(now time.Duration) {
	now = min(now, p.end)
	if now > p.at {
		p.level = math.Min(p.loan.Depth, p.level+p.loan.Rate*(now-p.at).Seconds())
		p.at = now
	}
}

// ID names the loan.
func (p *Purse) ID() ID { return p.loan.ID }

// Level gives what may be spent now; nothing once the loan has ended.
func (p *Purse) Level(now time.Duration) float64 {
	if now >= p.end {
		return 0
	}
	p.refill(now)
	return math.Min(p.level, p.covered-p.spent)
}

// Spend takes units, if they are there.
func (p *Purse) Spend(now time.Duration, units float64) bool {
	if !(units >= 0) || p.Level(now) < units {
		return false
	}
	p.level -= units
	p.spent += units
	return true
}

// Settle takes the true units of what was spent in place of the guess: so much more or, below zero,
// less. What comes after the loan has ended is not the loan's any more.
func (p *Purse) Settle(now time.Duration, more float64) {
	if p.refill(now); now < p.end {
		p.level -= more
		p.spent += more
	}
}

// Want gives the units that the next mark should have as gone, where one is wanted: half of what the
// last one covers is spent. The caller writes it, then tells Cover.
func (p *Purse) Want(now time.Duration, step float64) (mark float64, wanted bool) {
	if now >= p.end || p.covered-p.spent > step/2 {
		return 0, false
	}
	return p.spent + step, true
}

// Cover takes that the disk has so many units as gone.
func (p *Purse) Cover(mark float64) { p.covered = math.Max(p.covered, mark) }

// Close ends the loan and gives what was not spent, to be given back once.
func (p *Purse) Close(now time.Duration) (unspent float64) {
	if now < p.end {
		p.refill(now)
		unspent = math.Max(0, p.level)
	}
	p.end, p.level = min(p.end, now), 0
	return unspent
}

// Kept is what the disk has of a purse: fleet time, as the own clock may not go on over a restart.
type Kept struct {
	Loan    Loan          `cbor:"1,keyasint"`
	Asked   time.Duration `cbor:"2,keyasint"` // fleet time of the question
	Opened  time.Duration `cbor:"3,keyasint"` // and of the answer, each the latest that it can have been
	Written time.Duration `cbor:"4,keyasint"` // fleet time, the latest that this edge has seen
	Gone    float64       `cbor:"5,keyasint"`
}

// Keep gives what is to be written with a mark.
func (p *Purse) Keep(mark float64, asked, opened, at time.Duration) Kept {
	return Kept{p.loan, asked, opened, at, mark}
}

// Reopen takes up a loan from the disk at a fleet time that may be wrong by err: what the mark has
// as gone is gone, and the loan ends as if fleet time were the latest that it can be.
func Reopen(k Kept, now, at, err time.Duration) (*Purse, error) {
	switch age := at + err - k.Asked; {
	case at+err < k.Written:
		return nil, &VoidError{"the clock is behind what was written"}
	case !(k.Gone >= 0) || !(k.Loan.Units >= 0) || !(k.Loan.Rate >= 0) || !(k.Loan.Depth >= 0) || k.Loan.Left <= 0 || k.Loan.Left > LoanMost:
		return nil, &VoidError{"no loan has such figures"}
	case age >= k.Loan.Left:
		return nil, &VoidError{"the loan has ended"}
	default:
		// Refilled for the least that can have passed, ended by the most.
		least := max(0, at-err-k.Opened)
		level := math.Min(k.Loan.Depth, k.Loan.Units+k.Loan.Rate*least.Seconds()-k.Gone)
		return &Purse{loan: k.Loan, level: level, at: now, end: now + k.Loan.Left - age, spent: k.Gone, covered: k.Gone}, nil
	}
}

// Size gives what to ask for of a store: the rate at which units are expected at this edge in a window,
// as much of the depth as that is of the rate and what it should have to spare, filled. So the owner's
// other nodes miss no more than the edge is expected to use.
func Size(expect, spare float64, whole Part, window time.Duration) Part {
	if window <= 0 || !(expect > 0) || !(whole.Rate > 0) {
		return Part{}
	}
	rate := math.Min(expect/window.Seconds(), lentPart*whole.Rate)
	depth := math.Min(lentPart*whole.Depth, rate/whole.Rate*whole.Depth+spare)
	return Part{Units: depth, Depth: depth, Rate: rate}
}
