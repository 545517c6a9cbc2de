package prefetch

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run checks the same cases. The flag -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// reservationModel simulates one owner, one edge and the messages in transit between them. The owner and
// the edge spend half of their available tokens whenever they can.
type reservationModel struct {
	now                           time.Duration
	account                       *Account
	ownerTokens                   float64 // tokens in the owner's bucket
	spent                         float64 // tokens spent by owner and edge since the start
	staleSpent                    float64 // tokens of spent that an outdated checkpoint did not cover
	seq                           uint32
	incarnation                   uint64
	bucket                        *LocalBucket
	requestedAt, receivedAt       time.Duration
	stored, previous              *Checkpoint
	inTransit                     []any
	releaseTwice, expireFromReply bool // injected faults
}

const (
	modelBurst, modelRate, modelTTL = 8.0, 1.0, 8 * time.Second
)

type reserveMessage ID

type releaseMessage struct {
	id     ID
	unused float64
}

func newReservationModel() *reservationModel {
	m := &reservationModel{account: NewAccount(7, 0), ownerTokens: modelBurst, incarnation: 1}
	m.request()
	return m
}

func (m *reservationModel) request() {
	m.seq++
	m.requestedAt = m.now
	m.inTransit = append(m.inTransit, reserveMessage{0, m.incarnation, m.seq})
}

// advance advances the time; then the owner and the edge spend.
func (m *reservationModel) advance(span time.Duration) {
	m.now += span
	m.ownerTokens = math.Min(modelBurst, m.ownerTokens+modelRate*span.Seconds()-m.account.Advance(m.now))
	m.spent += m.ownerTokens / 2
	m.ownerTokens /= 2
	m.spend()
}

func (m *reservationModel) spend() {
	if m.bucket == nil {
		return
	}
	if mark, ok := m.bucket.NextMark(m.now, 2); ok {
		m.previous = m.stored
		checkpoint := m.bucket.Checkpoint(mark, m.requestedAt, m.receivedAt, m.now)
		m.stored = &checkpoint
		m.bucket.MarkStored(mark)
	}
	if tokens := math.Max(0, m.bucket.Available(m.now)) / 2; m.bucket.Spend(m.now, tokens) {
		m.spent += tokens
	}
}

// deliver delivers the message in transit with an index. A duplicate leaves it in transit as well.
func (m *reservationModel) deliver(i int, duplicate bool) {
	message := m.inTransit[i]
	if !duplicate {
		m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
	}
	switch message := message.(type) {
	case reserveMessage:
		m.ownerTokens -= m.account.Advance(m.now)
		reservation, deduct, err := m.account.Reserve(m.now, ID(message), Bucket{3, 3, 0.5}, modelTTL, Bucket{m.ownerTokens, modelBurst, modelRate})
		if m.ownerTokens -= deduct; err == nil {
			m.inTransit = append(m.inTransit, reservation)
		}
	case Reservation:
		if m.bucket != nil || message.ID.Seq != m.seq || message.ID.Incarnation != m.incarnation {
			return
		}
		requestedAt := m.requestedAt
		if m.expireFromReply {
			requestedAt = m.now
		}
		m.receivedAt, m.bucket = m.now, Open(message, requestedAt, m.now, 0)
		m.spend()
	case releaseMessage:
		m.ownerTokens -= m.account.Advance(m.now)
		if m.releaseTwice {
			clear(m.account.lastClosed)
			m.account.outstanding = append(m.account.outstanding, outstandingReservation{Reservation{ID: message.id, Bucket: Bucket{3, 3, 0.5}}, 0, m.now + 1})
		}
		credit := m.account.Release(m.now, message.id, message.unused)
		m.ownerTokens = math.Min(modelBurst, m.ownerTokens+credit)
	}
}

// step performs the event with a number. It returns false if there is no such event now.
func (m *reservationModel) step(choice int) bool {
	switch {
	case choice == 0:
		m.advance(3 * time.Second)
	case choice == 1: // the edge restarts with its latest checkpoint
		m.restart(m.stored)
	case choice == 2: // the edge restarts with the checkpoint before that
		if m.previous != nil && m.bucket != nil {
			m.staleSpent += math.Max(0, m.bucket.spent-m.previous.HighWaterMark)
		}
		m.restart(m.previous)
	case choice == 3: // the uplink is up again
		if m.bucket != nil {
			m.inTransit = append(m.inTransit, releaseMessage{m.bucket.ID(), m.bucket.Close(m.now)})
			m.bucket, m.stored, m.previous = nil, nil, nil
			m.request()
		}
	case choice < 4+3*min(2, len(m.inTransit)):
		i := 0
		if choice >= 7 {
			i = len(m.inTransit) - 1
		}
		switch (choice - 4) % 3 {
		case 0:
			m.deliver(i, false)
		case 1:
			m.deliver(i, true)
		case 2:
			m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
		}
	default:
		return false
	}
	return true
}

// restart starts a new incarnation of the edge. A nil or invalid checkpoint means a new request.
func (m *reservationModel) restart(checkpoint *Checkpoint) {
	m.incarnation++
	m.bucket = nil
	if checkpoint != nil {
		if bucket, err := Restore(*checkpoint, m.now, m.now, 0); err == nil {
			m.bucket = bucket
			m.spend()
			return
		}
	}
	m.request()
}

// Guards against tokens that are spent twice when messages are lost, duplicated or delayed, or the edge
// restarts: all sequences of six events are tried. Owner and edge together never exceed the bucket's burst
// and refill. An outdated checkpoint allows as many more as were spent above its high-water mark. The test
// detects an injected fault, a release that is credited twice.
func TestNoOvershootInAnyOrderOfEvents(t *testing.T) {
	explore := func(depth int, injectFault func(*reservationModel)) (stateCount int, maxOvershoot float64) {
		var visit func(done []int)
		visit = func(choices []int) {
			for choice := 0; ; choice++ {
				m := newReservationModel()
				injectFault(m)
				for _, previous := range choices {
					m.step(previous)
				}
				if !m.step(choice) {
					return
				}
				stateCount++
				maxOvershoot = math.Max(maxOvershoot, m.spent+m.ownerTokens-m.staleSpent-modelBurst-modelRate*m.now.Seconds())
				if len(choices)+1 < depth {
					visit(append(choices[:len(choices):len(choices)], choice))
				}
			}
		}
		visit(nil)
		return stateCount, maxOvershoot
	}
	stateCount, maxOvershoot := explore(6, func(*reservationModel) {})
	t.Logf("%d states, overshoot of at most %g tokens", stateCount, maxOvershoot)
	assert.LessOrEqual(t, maxOvershoot, 1e-9)
	_, maxOvershoot = explore(6, func(m *reservationModel) { m.releaseTwice = true })
	assert.Greater(t, maxOvershoot, 0.5, "the check does not detect a release that is credited twice")
}

// Guards against an edge that spends a reservation after the owner has counted it as expired, with any clock
// drift and any delay of the messages. This would occur if the edge counted the lifetime from the reply.
func TestReservationExpiresAtEdgeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requestedAt := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "requested at"))
		requestDelay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "request delay"))
		replyDelay := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "reply delay"))
		ttl := time.Duration(rapid.Int64Range(int64(time.Second), int64(MaxReservationTTL)).Draw(t, "ttl"))
		edgeDrift := rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(t, "edge drift")
		a := NewAccount(1, 0)
		reservation, _, err := a.Reserve(requestedAt+requestDelay, ID{0, 1, 1}, Bucket{1, 1, 0}, ttl, Bucket{10, 10, 1})
		require.NoError(t, err)
		b := Open(reservation, requestedAt, requestedAt+requestDelay+replyDelay, 10)
		// From the request on, the edge's clock has a random drift, and the owner's runs fast.
		edgeExpiry := requestedAt + time.Duration(float64(b.expiresAt-requestedAt)*(1+edgeDrift))
		ownerExpiry := requestedAt + requestDelay + time.Duration(float64(a.outstanding[0].expiresAt-requestedAt-requestDelay)*(1-maxClockDrift))
		if edgeExpiry > ownerExpiry+time.Microsecond {
			t.Fatalf("the reservation expires at the edge at %v, at the owner at %v", edgeExpiry, ownerExpiry)
		}
	})
}

// Guards against reservations of more than half of a bucket, by however many edges, and against accepting
// late or invalid requests, releases and checkpoints.
func TestAccountBoundsReservations(t *testing.T) {
	a, tokens := NewAccount(1, 0), 100.0
	for edge := range 3 * maxReservations {
		_, deduct, _ := a.Reserve(0, ID{edge, 1, 1}, Bucket{1000, 1, 1000}, time.Minute, Bucket{tokens, 100, 20})
		tokens -= deduct
	}
	assert.LessOrEqual(t, a.Outstanding(), maxReservations)
	assert.LessOrEqual(t, a.reservedTotal().Rate, maxReservedFraction*20)
	assert.LessOrEqual(t, a.reservedTotal().Burst, maxReservedFraction*100)
	assert.Zero(t, a.Release(0, ID{0, 2, 1}, 5), "an unknown reservation is credited")
	assert.Positive(t, a.Release(0, ID{1, 1, 1}, 5))
	_, _, err := a.Reserve(0, ID{1, 1, 1}, Bucket{1, 1, 0}, time.Minute, Bucket{tokens, 100, 20})
	var loanErr *LoanError
	require.ErrorAs(t, err, &loanErr, "a late request of a released reservation")
	_, _, err = a.Reserve(0, ID{2, 9, 1}, Bucket{Tokens: math.NaN()}, time.Minute, Bucket{tokens, 100, 20})
	require.ErrorAs(t, err, &loanErr)
	assert.InDelta(t, maxReservedFraction*20*60, a.Advance(2*time.Minute), 20*60*0.01)
	assert.Zero(t, a.Outstanding(), "expired reservations are outstanding")
	for name, checkpoint := range map[string]Checkpoint{
		"expired":                 {Reservation: Reservation{Bucket: Bucket{Tokens: 1}, TTL: time.Second}, RequestedAt: 0},
		"clock before checkpoint": {Reservation: Reservation{Bucket: Bucket{Tokens: 1}, TTL: time.Hour}, RequestedAt: 0, WrittenAt: time.Hour},
		"invalid value":           {Reservation: Reservation{Bucket: Bucket{Tokens: math.NaN()}, TTL: time.Hour}},
	} {
		_, err := Restore(checkpoint, 0, time.Minute, 30*time.Second)
		var voidErr *VoidError
		assert.ErrorAs(t, err, &voidErr, name)
	}
}
