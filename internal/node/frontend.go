package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// healthPath is the path of health checks.
const healthPath = "/healthz"

// frontend serves the clients: it reads requests, passes them to the event loop for a decision, and writes the
// responses.
type frontend struct {
	loop      *loop
	classes   map[string]control.Class // classes by name
	plans     map[string]bool          // known plans by name
	fleetSize int
	maxTokens float64 // maximum tokens of one request; 0 means no limit
	sockets   *sockets
	stats     *stats
	budget    *budget

	retryAfter time.Duration // Retry-After of a rejection
	shutdown   *shutdown
	stopped    chan struct{} // closed when open requests have to be completed, as the process ends
	stopOnce   sync.Once
	openBodies *openBodies

	openStreams *openStreams

	ready    atomic.Bool // /healthz responds 503 until this is set
	draining atomic.Bool // /healthz responds 503 while this is set
	closing  atomic.Bool // each response closes its connection

	mu        sync.Mutex
	conns     map[*clientConn]struct{}  // all open connections
	idleSince map[*clientConn]time.Time // start of the idle time of each keep-alive connection without an open request
	newSince  map[*clientConn]time.Time // accept time of each connection that has not sent a complete header yet

	accepted, evicted, badRequests, clientDisconnects atomic.Int64 // counts since the node started, for the log
	openConns                                         atomic.Int64 // client connections that are open now
	unservedLog                                       logLimit     // log lines of completeUnserved
}

// logAttributes returns the counts of client connections as attributes of a log line.
func (f *frontend) logAttributes() []any {
	f.mu.Lock()
	idleConns, newConns := len(f.idleSince), len(f.newSince)
	f.mu.Unlock()
	return []any{"accepted", f.accepted.Load(), "evicted", f.evicted.Load(), "wrong", f.badRequests.Load(),
		"left", f.clientDisconnects.Load(), "idle", idleConns, "fresh", newConns, "sockets", f.sockets.openConns.Load(), "waits", f.sockets.waits.Load(),
		"left_unaccepted", f.sockets.leftUnaccepted.Load(), "headers_refused", f.sockets.headersRefused.Load()}
}

func newFrontend(s control.Settings, l *loop, sockets *sockets, counts *stats) *frontend {
	f := &frontend{
		loop:       l,
		classes:    make(map[string]control.Class),
		plans:      make(map[string]bool),
		fleetSize:  s.FleetSize,
		maxTokens:  s.MaxRequestTokens,
		sockets:    sockets,
		stats:      counts,
		budget:     l.upstream.budget,
		retryAfter: s.RetryAfter(),
		shutdown:   l.shutdown,
		stopped:    make(chan struct{}),
		openBodies: newOpenBodies(),
		conns:      make(map[*clientConn]struct{}),
		idleSince:  make(map[*clientConn]time.Time),
		newSince:   make(map[*clientConn]time.Time),
	}
	f.openStreams = newOpenStreams(f.shutdown, &counts.cutOffs)
	for _, k := range s.Classes {
		f.classes[k.Name] = k
	}
	for _, p := range s.Plans {
		f.plans[p.Name] = true
	}
	sockets.evictClient = f.evict
	sockets.clientLeft = func() { f.clientDisconnects.Add(1) }
	return f
}

// stop completes the open requests, also while the loop is busy, and ends the streamed responses to late ones. Further calls
// have no effect.
func (f *frontend) stop() {
	f.stopOnce.Do(func() {
		close(f.stopped)
		f.openStreams.endLate()
	})
}

// ServeHTTP reads a request, waits for its final response and writes it.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, isConn := r.Context().Value(connKey{}).(*clientConn)
	if isConn && c.isClosing() {
		panic(http.ErrAbortHandler) // pipelined behind a request whose response closed the connection
	}
	controller := http.NewResponseController(w)
	if r.URL.Path == healthPath {
		f.serveHealth(w, r)
		return
	}
	if r.ContentLength != 0 {
		// The write deadline of the previous response must not cut off a 100 Continue.
		_ = controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	}
	x, rejected := f.readRequest(r, controller)
	if rejected != nil {
		f.rejectBadRequest(w, r, rejected)
		return
	}
	defer x.holdBody()()
	// net/http detects a disconnect too, but only after an attempt may have started.
	if isConn && x.streamedBody == nil && c.hasDisconnected() {
		f.clientDisconnects.Add(1)
		panic(http.ErrAbortHandler)
	}
	if x.streamedBody == nil {
		// net/http reads on while a request is open, to detect a disconnect; the read deadline of the body must not end
		// that read.
		_ = controller.SetReadDeadline(time.Time{})
		x.markReceived()
	} else {
		// The response may come before the body is complete: net/http must not wait for the rest of the body.
		_ = controller.EnableFullDuplex()
		defer x.streamedBody.consume()
		defer x.streamedBody.discard(r)
		defer f.openBodies.remove(x.streamedBody)
	}
	defer x.markEnded()
	resp, complete := f.respond(w, r, x)
	if resp == nil {
		return
	}
	if !complete {
		f.stats.countResponse(x.req.Class, http.StatusBadGateway)
		panic(http.ErrAbortHandler) // closes the connection, so that the client detects the truncated response
	}
	f.stats.countResponse(x.req.Class, resp.status)
}

// serveHealth serves a request for healthPath. Only GET without a body is a health check.
func (f *frontend) serveHealth(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		w.Header().Set("Allow", http.MethodGet)
		f.rejectBadRequest(w, r, newBadRequest(http.StatusMethodNotAllowed, "%s: not a method of %s", r.Method, healthPath))
	case r.ContentLength != 0:
		f.rejectBadRequest(w, r, newBadRequest(http.StatusBadRequest, "a body with %s", r.Method))
	default:
		f.respondHealth(w)
	}
}

// respondHealth responds to a health check. Here and after bad requests the connection is closed, so that callers can't
// hold descriptors with connections that carry no valid request.
func (f *frontend) respondHealth(w http.ResponseWriter) {
	status := http.StatusOK
	if !f.ready.Load() || f.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Connection", "close")
	_ = f.write(w, &response{status: status})
}

// respond waits for the final response to a request and writes it. It returns nil if the client has disconnected or its
// request was rejected as bad. complete reports whether the response was written in full.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, x *exchange) (resp *response, complete bool) {
	final, rejected := f.awaitResponse(r, x)
	if rejected != nil {
		x.streamedBody.consume() // drops what is buffered of it
		f.rejectBadRequest(w, r, rejected)
		return nil, false
	}
	if !x.received() {
		w.Header().Set("Connection", "close") // the request body was not read to its end
	}
	defer final.discard()
	var stream *openStream // nil if the response is not streamed
	if final.stream != nil {
		conn, _ := r.Context().Value(connKey{}).(*clientConn)
		stream = &openStream{exchange: x, conn: conn, response: final.stream, startedAt: time.Now()}
		if end, ok := f.openStreams.begin(stream); ok {
			defer end()
		} else {
			final.discard()
			final, stream = response{status: http.StatusBadGateway}, nil
		}
	}
	if final.stream != nil && x.received() {
		defer context.AfterFunc(r.Context(), func() { final.stream.leave(errClientDisconnected) })()
	}
	err := f.write(w, &final)
	if x.streamedBody != nil {
		_ = http.NewResponseController(w).Flush()
	}
	if errors.Is(err, errClientDisconnected) && (stream == nil || !stream.cutOff.Load()) {
		f.clientDisconnects.Add(1)
		return nil, false
	}
	return &final, err == nil
}

// awaitResponse passes a request to the event loop and waits for its final response. It returns a badRequest if reading
// the request body failed before there was a response, and aborts the handler if the client has disconnected. It does
// not depend on the loop: whether or not the loop takes the request or handles its events in time, the request is
// complete shortly after its deadline, at its client's disconnect and at the end of the process.
func (f *frontend) awaitResponse(r *http.Request, x *exchange) (final response, rejected *badRequest) {
	begin := f.loop.events // nil once the loop has taken the request
	expired := make(chan struct{})
	expiry := x.clock.afterFunc(loopGrace, func() { close(expired) })
	defer expiry.stop()
	for disconnected := r.Context().Done(); ; {
		select {
		case <-f.stopped:
			return f.completeUnserved(x, begin == nil, reasonStopped), nil
		default:
		}
		select {
		case begin <- loopEvent{func() { f.loop.beginExchange(x) }, time.Now()}:
			begin = nil
		case final = <-x.response:
			if x.streamedBody != nil && x.streamedBody.clientLeft() {
				f.clientDisconnects.Add(1)
				final.discard()
				panic(http.ErrAbortHandler)
			}
			return final, nil
		case <-expired:
			return f.completeUnserved(x, begin == nil, reasonExpired), nil
		case <-disconnected:
			// net/http cancels the context after any failed read, so the client may still be connected. A failed
			// read of the body is reported by bodyFailed, or the read was stopped because the final response is there.
			// If the body is stopped just as its last byte is read, the past deadline fails the read by which net/http
			// detects a disconnect.
			if x.streamedBody != nil && (!x.received() || x.streamedBody.isStopped()) {
				disconnected = nil
				continue
			}
			f.clientDisconnects.Add(1)
			if final, first := f.abandon(x, begin == nil); !first {
				final.discard()
			}
			// Without the panic net/http would write a response of its own, and a client that only half-closed the
			// connection could take it for a server's response.
			panic(http.ErrAbortHandler)
		case <-x.bodyFailed():
			final, first := f.abandon(x, begin == nil)
			if x.streamedBody.clientLeft() {
				f.clientDisconnects.Add(1)
				if !first {
					final.discard()
				}
				panic(http.ErrAbortHandler)
			}
			if first {
				return final, x.streamedBody.badRequest()
			}
			return final, nil
		case <-f.stopped: // handled by the next round
		case <-f.loop.ended:
			return f.completeUnserved(x, begin == nil, reasonStopped), nil
		}
	}
}

// abandon completes a request without a response and tells the loop, if the loop has begun it. first is false if the
// request has a final response already, which abandon returns.
func (f *frontend) abandon(x *exchange, begun bool) (final response, first bool) {
	first, _ = x.completion.end()
	if !first {
		final = <-x.response
	}
	if begun {
		go f.loop.post(func() { f.loop.abandon(x) }) // ends when the loop takes the event or has ended
	}
	return final, first
}

// rejectBadRequest responds with the error to a bad request and closes the connection.
func (f *frontend) rejectBadRequest(w http.ResponseWriter, r *http.Request, rejected *badRequest) {
	f.badRequests.Add(1)
	w.Header().Set("Connection", "close")
	_ = f.write(w, &response{status: rejected.status, body: []byte(rejected.message + "\n")})
	f.discardRest(w, r)
}

// discardRest discards what a client still sends of its body after the response that closes its connection. net/http would
// wait for the rest of the body without a limit.
func (f *frontend) discardRest(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	if r.Header.Get("Expect") == "" { // otherwise the client sends no body after a final response
		discardBody(r, controller)
	}
	_ = controller.SetReadDeadline(pastDeadline)
}
