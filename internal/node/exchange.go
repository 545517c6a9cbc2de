package node

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// responseMargin is the time before the client's deadline at which attempts end, so that the last byte of the response
// arrives in time.
const responseMargin = 15 * time.Millisecond

// exchange is the state of one request of a client until its final response.
type exchange struct {
	req             control.Request // request for the decision module; TimeLeft is set when the request is passed to it
	upstreamReq     *http.Request   // request as it is sent to servers, without its body
	body            []byte          // whole body; nil if it is streamed, and once the request is done
	streamedBody    *clientBody     // a long body, which is streamed; nil if the body is not streamed
	bodyLength      int64           // length of the body in bytes; negative if unknown
	clock           *requestClock   // client's time limit less responseMargin
	bodyReservation *reservation    // memory reserved for the body
	bodyHolders     atomic.Int32    // attempts that have yet to write the body, and the goroutine that serves the client
	response        chan response   // receives the final response, unless the goroutine that serves the client completed the request itself
	completion      completion
	stats           *stats
	idMemory        time.Duration             // time for which the ID is remembered once it may have run; 0 if it may run again
	receivedAt      atomic.Pointer[time.Time] // time at which the last byte of the request was read; nil before

	// The fields below are owned by the event loop once beginExchange has been called.
	done         bool // whether the loop knows that the request is answered or the client has left
	attempts     []*exchangeAttempt
	inFlight     int  // number of attempts without an outcome
	mayHaveRun   bool // whether an attempt has ended that a server may have processed
	lastOutcome  control.Outcome
	costReported bool   // whether the true cost has been reported to the other nodes
	version      uint64 // rule version that applies to the request until its end; 0 means the settings alone
}

// markReceived counts the request as in flight. Further calls have no effect.
func (x *exchange) markReceived() {
	if now := time.Now(); x.receivedAt.CompareAndSwap(nil, &now) {
		x.stats.inflight.Add(1)
	}
}

// received reports whether the last byte of the request has been read.
func (x *exchange) received() bool { return x.receivedAt.Load() != nil }

// markEnded counts the request as no longer in flight, if markReceived was called.
func (x *exchange) markEnded() {
	if x.received() {
		x.stats.inflight.Add(-1)
	}
}

// bodyFailed returns a channel that is closed if a streamed body can't be read to its end. It is nil for other bodies.
func (x *exchange) bodyFailed() <-chan struct{} {
	if x.streamedBody == nil {
		return nil
	}
	return x.streamedBody.failed
}

// bodyConsumed reports whether a part of the body has been streamed to a server, so that the body can't be sent again.
func (x *exchange) bodyConsumed() bool {
	return x.streamedBody != nil && x.streamedBody.consumed.Load()
}

// complete makes a response the final one and cancels the start of attempts that have not been written yet. It returns
// false if the request has its final response already or its client has left.
func (x *exchange) complete(resp response) bool {
	first, _ := x.completion.end()
	if first {
		x.response <- resp
	}
	return first
}

// newAttemptRequest returns the request for an attempt, without the header with the time left.
func (x *exchange) newAttemptRequest() *http.Request {
	req := *x.upstreamReq
	req.Header = maps.Clone(req.Header)
	req.ContentLength = x.bodyLength
	req.Body = http.NoBody
	if x.streamedBody != nil && x.bodyLength < 0 {
		req.TransferEncoding = []string{"chunked"}
	}
	return &req
}

// holdBody keeps the memory of the buffered body reserved until the returned function is called.
func (x *exchange) holdBody() (release func()) {
	x.bodyHolders.Add(1)
	return sync.OnceFunc(func() {
		if x.bodyHolders.Add(-1) == 0 {
			x.bodyReservation.shrinkTo(0)
		}
	})
}

// setTimeLeft sets the header of a request that is sent now to the time that its client has left.
func setTimeLeft(req *http.Request, timeLeft time.Duration) {
	req.Header.Set(headerTimeLeft, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)+"m")
}

// response is the final response to a request. If it is streamed, body has its first bytes.
type response struct {
	status       int
	header       http.Header
	body         []byte
	retryAfter   time.Duration
	stream       *responseStream // remainder of a streamed response; nil if the response is not streamed
	length       int64           // total length of a streamed response in bytes; negative if unknown
	reservation  *reservation    // memory reserved for header and body
	headerMemory int64           // bytes of it that are reserved for the header
}

// response returns the response of a server as the final one, streamed from its body on if stream is not nil.
func (o *outcome) response(stream *responseStream, length int64) response {
	return response{status: http.StatusOK, header: o.header, body: o.body, stream: stream, length: length,
		reservation: o.reservation, headerMemory: o.headerMemory}
}

// dropBody drops the body, or the start of a streamed one, once it is written, and releases its memory.
func (r *response) dropBody() {
	r.body = nil
	r.reservation.shrinkTo(r.headerMemory)
}

// close ends the stream with an error, so that the attempt that writes to it ends. Only its reader may call it.
func (r *response) close(err error) {
	if r.stream != nil {
		r.stream.leave(err)
		r.stream.release()
	}
}

// discard releases the stream and the memory of a response that is not sent, or was sent. Only the reader of the stream may
// call it.
func (r *response) discard() {
	r.close(errClientDisconnected)
	r.reservation.shrinkTo(0)
}
