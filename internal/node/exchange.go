package node

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// answerMargin is how long before the client's deadline attempts end, so that the last byte of the answer is there in
// time.
const answerMargin = 15 * time.Millisecond

// exchange is one request of a client on its way to its final answer.
type exchange struct {
	req             control.Request // its TimeLeft is set when the decision module gets it
	forward         *http.Request   // as it goes to servers, without its body
	body            []byte          // the whole body, or what came before rest
	rest            *clientBody     // of a long body, which is streamed; else nil
	length          int64           // of the body in bytes; below 0 is not known
	timeLeft        time.Duration   // of the client, from the last byte of the request
	bodyReservation *reservation    // for the body
	answer          chan answer     // gets the one final answer
	stats           *stats
	received        atomic.Bool // the last byte of the request has come

	// Owned by the event loop once it has begun the request.
	deadline     time.Time // zero until the last byte has come
	done         bool      // answered, or the client has left
	attempts     []*exchangeAttempt
	inFlight     int // attempts without an outcome
	lastOutcome  control.Outcome
	costReported bool   // the other nodes know its true cost
	version      uint64 // rule version that it goes by until its end; 0 is the settings alone
}

// markReceived counts the request as in flight, once.
func (x *exchange) markReceived() {
	if !x.received.Swap(true) {
		x.stats.inflight.Add(1)
	}
}

// markEnded counts it as no longer in flight.
func (x *exchange) markEnded() {
	if x.received.Load() {
		x.stats.inflight.Add(-1)
	}
}

// bodyBroken returns a channel that is closed when the body can't be read to its end.
func (x *exchange) bodyBroken() <-chan struct{} {
	if x.rest == nil {
		return nil
	}
	return x.rest.failed
}

// bodySpent reports whether a part of the body was streamed and so can't be sent again.
func (x *exchange) bodySpent() bool { return x.rest != nil && x.rest.consumed.Load() }

// finish gives the request its final answer and keeps attempts from starting that have not been written yet.
func (x *exchange) finish(a answer) {
	x.done = true
	for _, t := range x.attempts {
		if t.start != nil {
			t.start.cancel()
		}
	}
	x.answer <- a
}

// message returns the request as an attempt sends it now.
func (x *exchange) message() *http.Request {
	m := *x.forward
	m.Header = maps.Clone(m.Header)
	left := x.timeLeft
	if !x.deadline.IsZero() {
		left = time.Until(x.deadline)
	}
	m.Header.Set(headerTimeLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10)+"m")
	m.ContentLength = x.length
	m.Body = http.NoBody
	switch {
	case x.rest != nil:
		if x.length < 0 {
			m.TransferEncoding = []string{"chunked"}
		}
	case len(x.body) > 0:
		m.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return &m
}

// answer is the final answer to a request. One that streams has its first bytes in body.
type answer struct {
	status      int
	header      http.Header
	body        []byte
	retryAfter  time.Duration
	stream      *io.PipeReader // the rest; nil is none
	length      int64          // of one that streams, in all; below 0 is not told
	reservation *reservation   // of the budget for answers; one that streams has none
}

// close tells the attempt behind a streamed answer that nobody reads it.
func (a *answer) close(err error) {
	if a.stream != nil {
		a.stream.CloseWithError(err)
	}
}

// drop releases what an answer holds.
func (a answer) drop() {
	a.close(errClientDisconnected)
	a.reservation.shrinkTo(0)
}
