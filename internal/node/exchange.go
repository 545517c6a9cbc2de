package node

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// answerAhead is how long before a client gives up its attempts are stopped, so that
// the last byte of the answer is there in time.
const answerAhead = 15 * time.Millisecond

// exchange is one client request on its way to its final answer.
type exchange struct {
	req     control.Request // its TTL is set when the module is told
	forward *http.Request   // what goes on to app servers, without its body
	body    []byte          // whole, or what comes before the rest
	rest    *clientBody     // of a long body, which goes on as it comes; else nil
	length  int64           // of the body; below 0 is not told
	left    time.Duration   // of the client's time, from the request's last byte
	held    *holding        // of the budget for bodies
	answer  chan answer     // holds the one final answer
	stats   *stats
	taken   atomic.Bool // its last byte has come

	// The loop's own, once it has begun.
	deadline time.Time // zero until the body is whole
	done     bool      // answered, or the client has left
	sends    int
	out      int // attempts outstanding
	stop     []context.CancelCauseFunc
	limit    []*time.Timer // end the attempts with the client's time; nil where it has not begun
	start    []*start      // of the attempts; nil is one that was not made
	last     control.Outcome
	settled  bool     // its true units were told to others
	version  uint64   // of the rules that it goes by, to its end; 0 is the settings alone
	watched  []uint64 // numbers of the attempts, where verdicts are shared
}

// take counts the request as taken.
func (x *exchange) take() {
	if !x.taken.Swap(true) {
		x.stats.inflight.Add(1)
	}
}

// leave counts it as ended.
func (x *exchange) leave() {
	if x.taken.Load() {
		x.stats.inflight.Add(-1)
	}
}

// broken is closed where the body can't be read to its end.
func (x *exchange) broken() <-chan struct{} {
	if x.rest == nil {
		return nil
	}
	return x.rest.broken
}

// spent tells whether a part of the body is gone.
func (x *exchange) spent() bool { return x.rest != nil && x.rest.spent.Load() }

// end gives the exchange its final answer. No attempt begins behind it, nor once the client has left.
func (x *exchange) end(a answer) {
	x.done = true
	for _, s := range x.start {
		if s != nil {
			s.callOff()
		}
	}
	x.answer <- a
}

// message is the request as one attempt sends it.
func (x *exchange) message() *http.Request {
	m := *x.forward
	m.Header = maps.Clone(m.Header)
	left := x.left
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

// answer is the final answer of an exchange. One that streams has its first bytes in body.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
	stream     *io.PipeReader // the rest; nil is none
	length     int64          // of one that streams, in all; below 0 is not told
	held       *holding       // of the budget for answers; one that streams has none
}

// close tells the attempt behind an answer that streams that nobody takes it.
func (a *answer) close(err error) {
	if a.stream != nil {
		a.stream.CloseWithError(err)
	}
}

// drop gives back what an answer holds.
func (a answer) drop() {
	a.close(errLeft)
	a.held.shrink(0)
}
