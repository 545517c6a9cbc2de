package prefetch

import (
	"math"
	"slices"
	"time"
)

const (
	// LoanMost is the longest loan: a window that lasts longer outlives its loans, and the edge then
	// decides alone.
	MaxReservationTTL = maxWindowLength

	maxReservedFraction = 0.5 // of a store's level, depth and rate, that may be lent to all edges together
	maxReservations     = 64  // of one customer's store
)

// ID names a loan: the edge's index, its process, and a number that it gives once.
type ID struct {
	Edge        int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint32 `cbor:"3,keyasint"`
}

// Bucket is a part of a customer's store: units that it holds, those that it can hold, and units a
// second that fill it.
type Bucket struct {
	Tokens float64 `cbor:"1,keyasint"`
	Burst  float64 `cbor:"2,keyasint"`
	Rate   float64 `cbor:"3,keyasint"`
}

// Reservation is what an edge may send on by itself for a customer while it lasts: a store of its own that is
// a part of the whole one.
type Reservation struct {
	Bucket
	ID     ID            `cbor:"4,keyasint"`
	Tenant uint64        `cbor:"5,keyasint"`
	TTL    time.Duration `cbor:"6,keyasint"` // that it lasts, when it was told
}

// Ledger is an owner's account of one customer's store: what of it is lent. The store itself is the
// owner's; it takes off it what Lend and Accrue tell, and puts back what Return tells. Owner and edges
// together give no more than the depth, the rate and the depth that is lent. Not taken: an owner that
// holds back the lent depth as well; it gives 0.004 less beyond quotas and refuses 0.1 more that has room.
type Account struct {
	tenant      uint64
	outstanding []outstandingReservation
	lastClosed  map[int]ID // by edge, the last loan that was given back or is void: none of them counts again
	updatedAt   time.Duration
}

// owed is a loan that is out.
type outstandingReservation struct {
	Reservation
	grantedAt, expiresAt time.Duration // own clock
}

// NewLedger makes an empty account.
func NewAccount(tenant uint64, now time.Duration) *Account {
	return &Account{tenant: tenant, lastClosed: make(map[int]ID), updatedAt: now}
}

// Lend lends to an edge up to a part, for a span, of a store that is whole as given. take is what is
// to be taken off the store now. The same ID again gives the same loan with the time it has left, so
// an answer that was lost costs nothing. The owner's count ends no earlier than the edge's, which
// counts from before it asked, by the drift of the two clocks.
func (a *Account) Reserve(now time.Duration, id ID, want Bucket, ttl time.Duration, whole Bucket) (reservation Reservation, deduct float64, err error) {
	if i := slices.IndexFunc(a.outstanding, func(o outstandingReservation) bool { return o.ID == id }); i >= 0 {
		o := a.outstanding[i]
		reservation = o.Reservation
		reservation.TTL = o.TTL - (now - o.grantedAt)
		if reservation.TTL <= 0 {
			return Reservation{}, 0, &LoanError{a.tenant, "the loan has ended"}
		}
		return reservation, 0, nil
	}
	if last, ok := a.lastClosed[id.Edge]; ok && !later(id, last) {
		return Reservation{}, 0, &LoanError{a.tenant, "the loan was given back or is void"}
	}
	if len(a.outstanding) >= maxReservations {
		return Reservation{}, 0, &LoanError{a.tenant, "so many loans are out already"}
	}
	if ttl <= 0 || ttl > MaxReservationTTL || !(want.Tokens >= 0) || !(want.Burst >= 0) || !(want.Rate >= 0) {
		return Reservation{}, 0, &LoanError{a.tenant, "the question is improper"}
	}
	reserved := a.reservedTotal()
	granted := Bucket{Burst: math.Max(0, math.Min(want.Burst, maxReservedFraction*whole.Burst-reserved.Burst)),
		Rate: math.Max(0, math.Min(want.Rate, maxReservedFraction*whole.Rate-reserved.Rate))}
	granted.Tokens = math.Min(math.Min(want.Tokens, granted.Burst), maxReservedFraction*math.Max(0, whole.Tokens))
	if granted.Burst == 0 {
		return Reservation{}, 0, &LoanError{a.tenant, "nothing is left to lend"}
	}
	reservation = Reservation{Bucket: granted, ID: id, Tenant: a.tenant, TTL: ttl}
	a.outstanding = append(a.outstanding, outstandingReservation{reservation, now, now + ttl + maxDrift(ttl)})
	return reservation, granted.Tokens, nil
}

func maxDrift(span time.Duration) time.Duration {
	return time.Duration(3 * maxClockDrift * float64(span))
}

// later tells whether a loan of one edge is a later one than another of it.
func later(a, b ID) bool {
	return a.Incarnation > b.Incarnation || (a.Incarnation == b.Incarnation && int32(a.Seq-b.Seq) > 0)
}

// out is what is lent.
func (a *Account) reservedTotal() (total Bucket) {
	for _, o := range a.outstanding {
		total.Tokens, total.Burst, total.Rate = total.Tokens+o.Tokens, total.Burst+o.Burst, total.Rate+o.Rate
	}
	return total
}

// Accrue brings the account up to now and gives what has gone of the refill to edges since the last
// call. Loans that have ended are void: what was not spent of them is gone, and nothing given back
// counts any more.
func (a *Account) Advance(now time.Duration) (deduct float64) {
	if now <= a.updatedAt {
		return 0
	}
	for _, o := range a.outstanding {
		deduct += o.Rate * math.Max(0, (min(now, o.expiresAt)-max(a.updatedAt, o.grantedAt)).Seconds())
	}
	a.outstanding = slices.DeleteFunc(a.outstanding, func(o outstandingReservation) bool {
		if o.expiresAt > now {
			return false
		}
		a.markClosed(o.ID)
		return true
	})
	a.updatedAt = now
	return deduct
}

func (a *Account) markClosed(id ID) {
	if last, ok := a.lastClosed[id.Edge]; !ok || later(id, last) {
		a.lastClosed[id.Edge] = id
	}
}

// Return takes a loan back with what was not spent of it, and gives what is to be put back into the
// store. Only the first word counts, and only while the loan lasts; no more comes back than was
// lent until now.
func (a *Account) Release(now time.Duration, id ID, unused float64) (credit float64) {
	i := slices.IndexFunc(a.outstanding, func(o outstandingReservation) bool { return o.ID == id })
	if i < 0 || now >= a.outstanding[i].expiresAt || !(unused >= 0) {
		return 0
	}
	o := a.outstanding[i]
	a.outstanding = slices.Delete(a.outstanding, i, i+1)
	a.markClosed(id)
	return math.Min(unused, math.Min(o.Burst, o.Tokens+o.Rate*(now-o.grantedAt).Seconds()))
}

// Out is how many loans are out.
func (a *Account) Outstanding() int { return len(a.outstanding) }

// Idle tells whether the account may be forgotten: nothing is out, and none of the loans that were
// can come back any more.
func (a *Account) Idle(now time.Duration) bool {
	return len(a.outstanding) == 0 && now > a.updatedAt+MaxReservationTTL
}

// Purse is what an edge has of one customer's loan. It may spend what a mark on its disk covers: a
// crash costs what was covered and not spent, and nothing is spent twice.
type LocalBucket struct {
	loan          Reservation
	tokens        float64 // that may be spent
	updatedAt     time.Duration
	expiresAt     time.Duration // own clock
	spent         float64
	highWaterMark float64 // units spent that the disk has as gone
}

// Open takes a loan that was asked for at asked and whose answer is here now, on the own clock. It
// ends counted from the question and refills from the answer, so that the owner, who answered in
// between, has both on its account. The mark is the units that the disk has as gone already, before
// anything is spent.
func Open(reservation Reservation, requestedAt, now time.Duration, mark float64) *LocalBucket {
	return &LocalBucket{loan: reservation, tokens: reservation.Tokens, updatedAt: now, expiresAt: requestedAt + reservation.TTL, highWaterMark: mark}
}

func (b *LocalBucket) refill(now time.Duration) {
	now = min(now, b.expiresAt)
	if now > b.updatedAt {
		b.tokens = math.Min(b.loan.Burst, b.tokens+b.loan.Rate*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
}

// ID names the loan.
func (b *LocalBucket) ID() ID { return b.loan.ID }

// Level gives what may be spent now; nothing once the loan has ended.
func (b *LocalBucket) Available(now time.Duration) float64 {
	if now >= b.expiresAt {
		return 0
	}
	b.refill(now)
	return math.Min(b.tokens, b.highWaterMark-b.spent)
}

// Spend takes units, if they are there.
func (b *LocalBucket) Spend(now time.Duration, tokens float64) bool {
	if !(tokens >= 0) || b.Available(now) < tokens {
		return false
	}
	b.tokens -= tokens
	b.spent += tokens
	return true
}

// Settle takes the true units of what was spent in place of the guess: so much more or, below zero,
// less. What comes after the loan has ended is not the loan's any more.
func (b *LocalBucket) Settle(now time.Duration, difference float64) {
	if b.refill(now); now < b.expiresAt {
		b.tokens -= difference
		b.spent += difference
	}
}

// Want gives the units that the next mark should have as gone, where one is wanted: half of what the
// last one covers is spent. The caller writes it, then tells Cover.
func (b *LocalBucket) NextMark(now time.Duration, step float64) (mark float64, due bool) {
	if now >= b.expiresAt || b.highWaterMark-b.spent > step/2 {
		return 0, false
	}
	return b.spent + step, true
}

// Cover takes that the disk has so many units as gone.
func (b *LocalBucket) MarkStored(mark float64) { b.highWaterMark = math.Max(b.highWaterMark, mark) }

// Close ends the loan and gives what was not spent, to be given back once.
func (b *LocalBucket) Close(now time.Duration) (unused float64) {
	if now < b.expiresAt {
		b.refill(now)
		unused = math.Max(0, b.tokens)
	}
	b.expiresAt, b.tokens = min(b.expiresAt, now), 0
	return unused
}

// Kept is what the disk has of a purse: fleet time, as the own clock may not go on over a restart.
type Checkpoint struct {
	Reservation   Reservation   `cbor:"1,keyasint"`
	RequestedAt   time.Duration `cbor:"2,keyasint"` // fleet time of the question
	ReceivedAt    time.Duration `cbor:"3,keyasint"` // and of the answer, each the latest that it can have been
	WrittenAt     time.Duration `cbor:"4,keyasint"` // fleet time, the latest that this edge has seen
	HighWaterMark float64       `cbor:"5,keyasint"`
}

// Keep gives what is to be written with a mark.
func (b *LocalBucket) Checkpoint(mark float64, requestedAt, receivedAt, writtenAt time.Duration) Checkpoint {
	return Checkpoint{b.loan, requestedAt, receivedAt, writtenAt, mark}
}

// Reopen takes up a loan from the disk at a fleet time that may be wrong by err: what the mark has
// as gone is gone, and the loan ends as if fleet time were the latest that it can be.
func Restore(c Checkpoint, now, fleetTime, maxError time.Duration) (*LocalBucket, error) {
	switch age := fleetTime + maxError - c.RequestedAt; {
	case fleetTime+maxError < c.WrittenAt:
		return nil, &VoidError{"the clock is behind what was written"}
	case !(c.HighWaterMark >= 0) || !(c.Reservation.Tokens >= 0) || !(c.Reservation.Rate >= 0) || !(c.Reservation.Burst >= 0) || c.Reservation.TTL <= 0 || c.Reservation.TTL > MaxReservationTTL:
		return nil, &VoidError{"no loan has such figures"}
	case age >= c.Reservation.TTL:
		return nil, &VoidError{"the loan has ended"}
	default:
		// Refilled for the least that can have passed, ended by the most.
		minElapsed := max(0, fleetTime-maxError-c.ReceivedAt)
		tokens := math.Min(c.Reservation.Burst, c.Reservation.Tokens+c.Reservation.Rate*minElapsed.Seconds()-c.HighWaterMark)
		return &LocalBucket{loan: c.Reservation, tokens: tokens, updatedAt: now, expiresAt: now + c.Reservation.TTL - age, spent: c.HighWaterMark, highWaterMark: c.HighWaterMark}, nil
	}
}

// Size gives what to ask for of a store: the rate at which units are expected at this edge in a window,
// as much of the depth as that is of the rate and what it should have to spare, filled. So the owner's
// other nodes miss no more than the edge is expected to use.
func SizeReservation(expectedTokens, margin float64, whole Bucket, window time.Duration) Bucket {
	if window <= 0 || !(expectedTokens > 0) || !(whole.Rate > 0) {
		return Bucket{}
	}
	rate := math.Min(expectedTokens/window.Seconds(), maxReservedFraction*whole.Rate)
	burst := math.Min(maxReservedFraction*whole.Burst, rate/whole.Rate*whole.Burst+margin)
	return Bucket{Tokens: burst, Burst: burst, Rate: rate}
}
