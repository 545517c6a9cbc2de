package prefetch

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxReservationTTL is the maximum lifetime of a reservation. In a longer outage reservations expire,
	// and the edge then enforces quotas by its own meter readings.
	MaxReservationTTL = maxWindowLength

	// maxReservedFraction is the fraction of a token bucket's burst and rate that all edges together can
	// reserve, and the fraction of its present tokens that one reservation can take.
	maxReservedFraction = 0.5
	// maxReservations is the maximum number of outstanding reservations of one tenant.
	maxReservations = 64
)

// ID identifies a reservation: the index of the edge, the incarnation of its process, and a sequence
// number that the process uses once.
type ID struct {
	Edge        int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint32 `cbor:"3,keyasint"`
}

// Bucket is a tenant's token bucket or a share of one: its present tokens, its burst (the tokens that it
// can hold), and its refill rate in tokens/s.
type Bucket struct {
	Tokens float64 `cbor:"1,keyasint"`
	Burst  float64 `cbor:"2,keyasint"`
	Rate   float64 `cbor:"3,keyasint"`
}

// Reservation is a share of a tenant's token bucket. Until it expires, the edge admits the tenant's
// requests against it without asking the owner.
type Reservation struct {
	Bucket
	ID     ID            `cbor:"4,keyasint"`
	Tenant uint64        `cbor:"5,keyasint"`
	TTL    time.Duration `cbor:"6,keyasint"` // remaining lifetime when the owner replied
}

// Account records the outstanding reservations of one tenant at the owner of its token bucket. The owner
// keeps the bucket itself: it deducts the tokens that Reserve and Advance return, and credits those that
// Release returns. Owner and edges together admit at most the burst, the refill, and the reserved burst.
//
// An owner could also hold back the reserved burst. This was rejected: admission beyond quotas falls by only
// 0.004, but rejection of requests within quotas rises by 0.1.
type Account struct {
	tenant      uint64
	outstanding []outstandingReservation
	lastClosed  map[int]ID // by edge, its last reservation that was released or expired
	updatedAt   time.Duration
}

// outstandingReservation is a reservation that is neither released nor expired.
type outstandingReservation struct {
	Reservation
	grantedAt, expiresAt time.Duration // local time of the owner
}

// NewAccount returns an account without reservations.
func NewAccount(tenant uint64, now time.Duration) *Account {
	return &Account{tenant: tenant, lastClosed: make(map[int]ID), updatedAt: now}
}

// Reserve reserves at most want for an edge. whole is the tenant's present token bucket, and deduct is the
// number of tokens to deduct from it now. A repeated ID returns the same reservation with its remaining
// lifetime, so that a retry after a lost reply deducts nothing. The reservation expires at the owner no
// earlier than at the edge, which counts its lifetime from before the request: the owner adds the possible
// clock drift. The error is a *LoanError.
func (a *Account) Reserve(now time.Duration, id ID, want Bucket, ttl time.Duration, whole Bucket) (reservation Reservation, deduct float64, err error) {
	if i := slices.IndexFunc(a.outstanding, func(o outstandingReservation) bool { return o.ID == id }); i >= 0 {
		o := a.outstanding[i]
		reservation = o.Reservation
		reservation.TTL = o.TTL - (now - o.grantedAt)
		if reservation.TTL <= 0 {
			return Reservation{}, 0, &LoanError{a.tenant, "the reservation has expired"}
		}
		return reservation, 0, nil
	}
	if last, ok := a.lastClosed[id.Edge]; ok && !later(id, last) {
		return Reservation{}, 0, &LoanError{a.tenant, "the reservation has been released or has expired"}
	}
	if len(a.outstanding) >= maxReservations {
		return Reservation{}, 0, &LoanError{a.tenant, "the maximum number of reservations is outstanding"}
	}
	if ttl <= 0 || ttl > MaxReservationTTL || !(want.Tokens >= 0) || !(want.Burst >= 0) || !(want.Rate >= 0) {
		return Reservation{}, 0, &LoanError{a.tenant, "the request has an invalid lifetime or amount"}
	}
	reserved := a.reservedTotal()
	granted := Bucket{Burst: math.Max(0, math.Min(want.Burst, maxReservedFraction*whole.Burst-reserved.Burst)),
		Rate: math.Max(0, math.Min(want.Rate, maxReservedFraction*whole.Rate-reserved.Rate))}
	granted.Tokens = math.Min(math.Min(want.Tokens, granted.Burst), maxReservedFraction*math.Max(0, whole.Tokens))
	if granted.Burst == 0 {
		return Reservation{}, 0, &LoanError{a.tenant, "nothing is left to reserve"}
	}
	reservation = Reservation{Bucket: granted, ID: id, Tenant: a.tenant, TTL: ttl}
	a.outstanding = append(a.outstanding, outstandingReservation{reservation, now, now + ttl + maxDrift(ttl)})
	return reservation, granted.Tokens, nil
}

// maxDrift returns the time by which a reservation is kept longer at the owner than at the edge: the drift
// of both clocks, which may run in opposite directions, and a margin.
func maxDrift(ttl time.Duration) time.Duration {
	return time.Duration(3 * maxClockDrift * float64(ttl))
}

// later reports whether reservation a of an edge was made after its reservation b. Sequence numbers may
// wrap around.
func later(a, b ID) bool {
	return a.Incarnation > b.Incarnation || (a.Incarnation == b.Incarnation && int32(a.Seq-b.Seq) > 0)
}

// reservedTotal returns the sum of all outstanding reservations.
func (a *Account) reservedTotal() (total Bucket) {
	for _, o := range a.outstanding {
		total.Tokens, total.Burst, total.Rate = total.Tokens+o.Tokens, total.Burst+o.Burst, total.Rate+o.Rate
	}
	return total
}

// Advance brings the account up to date and returns the tokens to deduct: the refill of reservations since
// the last call. It removes expired reservations, whose unused tokens are lost.
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

// markClosed records that a reservation and all earlier ones of its edge are no longer accepted.
func (a *Account) markClosed(id ID) {
	if last, ok := a.lastClosed[id.Edge]; !ok || later(id, last) {
		a.lastClosed[id.Edge] = id
	}
}

// Release ends a reservation with its unused tokens, and returns the tokens to credit to the bucket. Only
// the first call for a reservation has an effect, and only before it expires. The credit is limited to the
// tokens reserved so far.
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

// Outstanding returns the number of outstanding reservations.
func (a *Account) Outstanding() int { return len(a.outstanding) }

// Idle reports whether the account can be discarded: no reservation is outstanding, and none that was made
// earlier can still be released.
func (a *Account) Idle(now time.Duration) bool {
	return len(a.outstanding) == 0 && now > a.updatedAt+MaxReservationTTL
}

// LocalBucket is the token bucket of one tenant at an edge, filled from a reservation. Only tokens up to
// the high-water mark, which has to be on disk first, can be spent. After a crash all tokens up to the mark
// count as spent, so that none is spent twice.
type LocalBucket struct {
	reservation   Reservation
	tokens        float64 // tokens left, including those above the high-water mark
	updatedAt     time.Duration
	expiresAt     time.Duration // local time of the edge
	spent         float64       // tokens spent so far
	highWaterMark float64       // tokens that count as spent after a restart, as stored on disk
}

// Open returns the bucket of a reservation that was requested at the local time requestedAt and received
// now. Its lifetime counts from the request and its refill from the reply, so that the owner, which replied
// in between, accounts for both. mark is the high-water mark that is already on disk.
func Open(reservation Reservation, requestedAt, now time.Duration, mark float64) *LocalBucket {
	return &LocalBucket{reservation: reservation, tokens: reservation.Tokens, updatedAt: now, expiresAt: requestedAt + reservation.TTL, highWaterMark: mark}
}

// refill adds the tokens of the time since the last refill, until the reservation expires.
func (b *LocalBucket) refill(now time.Duration) {
	now = min(now, b.expiresAt)
	if now > b.updatedAt {
		b.tokens = math.Min(b.reservation.Burst, b.tokens+b.reservation.Rate*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
}

// ID returns the ID of the reservation.
func (b *LocalBucket) ID() ID { return b.reservation.ID }

// Available returns the tokens that can be spent now. It is 0 once the reservation has expired.
func (b *LocalBucket) Available(now time.Duration) float64 {
	if now >= b.expiresAt {
		return 0
	}
	b.refill(now)
	return math.Min(b.tokens, b.highWaterMark-b.spent)
}

// Spend deducts tokens if they are available, and reports whether they were.
func (b *LocalBucket) Spend(now time.Duration, tokens float64) bool {
	if !(tokens >= 0) || b.Available(now) < tokens {
		return false
	}
	b.tokens -= tokens
	b.spent += tokens
	return true
}

// Settle corrects earlier calls of Spend by the difference between actual and estimated tokens, which is
// negative if fewer were needed. It has no effect once the reservation has expired.
func (b *LocalBucket) Settle(now time.Duration, difference float64) {
	if b.refill(now); now < b.expiresAt {
		b.tokens -= difference
		b.spent += difference
	}
}

// NextMark returns the next high-water mark, step tokens above those spent. due is false while more than
// half of a step is left below the present mark. The caller stores a mark on disk, then calls MarkStored.
func (b *LocalBucket) NextMark(now time.Duration, step float64) (mark float64, due bool) {
	if now >= b.expiresAt || b.highWaterMark-b.spent > step/2 {
		return 0, false
	}
	return b.spent + step, true
}

// MarkStored raises the high-water mark to one that is on disk.
func (b *LocalBucket) MarkStored(mark float64) { b.highWaterMark = math.Max(b.highWaterMark, mark) }

// Close ends the reservation at the edge and returns its unused tokens, to be released at the owner. It
// returns 0 when called again or after the reservation has expired.
func (b *LocalBucket) Close(now time.Duration) (unused float64) {
	if now < b.expiresAt {
		b.refill(now)
		unused = math.Max(0, b.tokens)
	}
	b.expiresAt, b.tokens = min(b.expiresAt, now), 0
	return unused
}

// Checkpoint is the stored form of a LocalBucket. Its times are fleet time, because local time may start
// anew at a restart.
type Checkpoint struct {
	Reservation   Reservation   `cbor:"1,keyasint"`
	RequestedAt   time.Duration `cbor:"2,keyasint"` // latest possible time of the request
	ReceivedAt    time.Duration `cbor:"3,keyasint"` // latest possible time of the reply
	WrittenAt     time.Duration `cbor:"4,keyasint"` // latest fleet time that the edge had seen when writing
	HighWaterMark float64       `cbor:"5,keyasint"`
}

// Checkpoint returns the checkpoint to store with a high-water mark. The times are fleet times.
func (b *LocalBucket) Checkpoint(mark float64, requestedAt, receivedAt, writtenAt time.Duration) Checkpoint {
	return Checkpoint{b.reservation, requestedAt, receivedAt, writtenAt, mark}
}

// Restore returns the bucket of a stored checkpoint. now is local time, and fleetTime may be wrong by
// maxError. All tokens up to the high-water mark count as spent, and the lifetime is computed from the
// latest possible fleet time. The error is a *VoidError.
func Restore(c Checkpoint, now, fleetTime, maxError time.Duration) (*LocalBucket, error) {
	switch age := fleetTime + maxError - c.RequestedAt; {
	case fleetTime+maxError < c.WrittenAt:
		return nil, &VoidError{"the clock is behind the time of the checkpoint"}
	case !(c.HighWaterMark >= 0) || !(c.Reservation.Tokens >= 0) || !(c.Reservation.Rate >= 0) || !(c.Reservation.Burst >= 0) || c.Reservation.TTL <= 0 || c.Reservation.TTL > MaxReservationTTL:
		return nil, &VoidError{"the checkpoint has invalid values"}
	case age >= c.Reservation.TTL:
		return nil, &VoidError{"the reservation has expired"}
	default:
		// The refill counts the shortest time that can have passed, the lifetime the longest.
		minElapsed := max(0, fleetTime-maxError-c.ReceivedAt)
		tokens := math.Min(c.Reservation.Burst, c.Reservation.Tokens+c.Reservation.Rate*minElapsed.Seconds()-c.HighWaterMark)
		return &LocalBucket{reservation: c.Reservation, tokens: tokens, updatedAt: now, expiresAt: now + c.Reservation.TTL - age, spent: c.HighWaterMark, highWaterMark: c.HighWaterMark}, nil
	}
}

// SizeReservation returns the share of the token bucket whole that an edge should reserve for an outage. Its
// rate is the rate at which tokens are expected to be requested at the edge. Its burst is the same fraction of
// the whole burst plus margin tokens, and it is full. Rate and burst are limited to maxReservedFraction. The
// reservation thus withholds from other nodes little more than the edge is expected to use.
func SizeReservation(expectedTokens, margin float64, whole Bucket, outage time.Duration) Bucket {
	if outage <= 0 || !(expectedTokens > 0) || !(whole.Rate > 0) {
		return Bucket{}
	}
	rate := math.Min(expectedTokens/outage.Seconds(), maxReservedFraction*whole.Rate)
	burst := math.Min(maxReservedFraction*whole.Burst, rate/whole.Rate*whole.Burst+margin)
	return Bucket{Tokens: burst, Burst: burst, Rate: rate}
}
