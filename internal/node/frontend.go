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

// front is the side to the clients: it reads requests, has the event loop decide on them, and writes the answers.
type frontend struct {
	loop      *loop
	classes   map[string]control.Class // by name
	plans     map[string]bool          // by name
	fleetSize int
	maxTokens float64 // of a request; 0 is no limit
	sockets   *sockets
	stats     *stats
	budget    *budget

	ready    atomic.Bool
	draining atomic.Bool // /healthz says no
	closing  atomic.Bool // each answer closes its connection

	mu        sync.Mutex
	idleSince map[*clientConn]time.Time // connections between two requests, and since when
	newSince  map[*clientConn]time.Time // connections without a whole head yet, and since when

	accepted, evicted, badRequests, clientDisconnects atomic.Int64 // for the log, since the node started
	openConns                                         atomic.Int64 // open now
}

// report returns the counts of the clients' side as attributes of a log line.
func (f *frontend) logAttributes() []any {
	f.mu.Lock()
	idleConns, newConns := len(f.idleSince), len(f.newSince)
	f.mu.Unlock()
	return []any{"accepted", f.accepted.Load(), "evicted", f.evicted.Load(), "wrong", f.badRequests.Load(),
		"left", f.clientDisconnects.Load(), "idle", idleConns, "fresh", newConns, "sockets", f.sockets.openConns.Load(), "waits", f.sockets.waits.Load()}
}

func newFrontend(s control.Settings, l *loop, sockets *sockets, counts *stats) *frontend {
	f := &frontend{
		loop:      l,
		classes:   make(map[string]control.Class),
		plans:     make(map[string]bool),
		fleetSize: s.FleetSize,
		maxTokens: s.MaxRequestTokens,
		sockets:   sockets,
		stats:     counts,
		budget:    l.upstream.budget,
		idleSince: make(map[*clientConn]time.Time),
		newSince:  make(map[*clientConn]time.Time),
	}
	for _, k := range s.Classes {
		f.classes[k.Name] = k
	}
	for _, p := range s.Plans {
		f.plans[p.Name] = true
	}
	sockets.evictClient = f.evict
	return f
}

// ServeHTTP reads a request, waits for its final answer and writes it.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok && c.isClosing() {
		panic(http.ErrAbortHandler) // it came together with the request before, whose answer closed the connection
	}
	controller := http.NewResponseController(w)
	if r.URL.Path == "/healthz" {
		f.respondHealth(w)
		return
	}
	if r.ContentLength != 0 {
		// The deadline of the answer before must not cut off a 100 Continue.
		_ = controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	}
	x, rejected := f.readRequest(r, controller)
	if rejected != nil {
		f.rejectBadRequest(w, rejected)
		return
	}
	defer x.bodyReservation.shrinkTo(0)
	if x.rest == nil {
		// net/http goes on reading while a request is open, to notice a hang-up; the deadline of the body must not end
		// that.
		_ = controller.SetReadDeadline(time.Time{})
		x.markReceived()
	} else {
		// An answer may come before the whole body: net/http must not wait for its rest.
		_ = controller.EnableFullDuplex()
		defer x.rest.discard(r)
	}
	defer x.markEnded()
	a, complete := f.respond(w, r, x)
	if a == nil {
		return
	}
	if !complete {
		f.stats.answered(x.req.Class, http.StatusBadGateway)
		panic(http.ErrAbortHandler) // so that the client can tell
	}
	f.stats.answered(x.req.Class, a.status)
}

// answerHealth answers /healthz. Here and for bad requests the connection is closed, so that callers can't hold
// descriptors with connections on which no proper request comes.
func (f *frontend) respondHealth(w http.ResponseWriter) {
	status := http.StatusOK
	if !f.ready.Load() || f.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Connection", "close")
	_ = f.write(w, answer{status: status})
}

// awaitAnswer has a request decided, and writes its final answer. It returns nil where the client has left or has been
// told of its mistake. whole reports whether the answer was written to its end.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, x *exchange) (a *answer, complete bool) {
	f.loop.post(func() { f.loop.begin(x) })
	final, rejected := f.awaitResponse(r, x)
	if rejected != nil {
		f.rejectBadRequest(w, rejected)
		return nil, false
	}
	if !x.received.Load() {
		w.Header().Set("Connection", "close") // its body was not read to the end
	}
	defer final.drop()
	if final.stream != nil && x.received.Load() {
		defer context.AfterFunc(r.Context(), func() { final.stream.CloseWithError(errClientDisconnected) })()
	}
	err := f.write(w, final)
	if x.rest != nil {
		_ = http.NewResponseController(w).Flush()
	}
	if errors.Is(err, errClientDisconnected) {
		f.clientDisconnects.Add(1)
		return nil, false
	}
	return &final, err == nil
}

// nextAnswer waits for the final answer of a request. It returns the client's mistake where its body broke before there
// was an answer, and aborts the handler where the client has left.
func (f *frontend) awaitResponse(r *http.Request, x *exchange) (final answer, rejected *badRequest) {
	for disconnected := r.Context().Done(); final.status == 0; {
		select {
		case final = <-x.answer:
		case <-disconnected:
			// net/http ends the context with any read that fails. A failed read of the body reports itself, or was
			// stopped because the answer is there. A stop at the moment of the body's last byte ends net/http's look
			// for a hang-up instead.
			if x.rest != nil && (!x.received.Load() || x.rest.isStopped()) {
				disconnected = nil
				continue
			}
			f.clientDisconnects.Add(1)
			f.loop.post(func() { f.loop.hangup(x) })
			f.finalResponse(x).drop()
			// Otherwise net/http would answer by itself, and a client that only ended its sending could take that
			// for a server's answer.
			panic(http.ErrAbortHandler)
		case <-x.bodyBroken():
			f.loop.post(func() { f.loop.hangup(x) })
			final = f.finalResponse(x)
			if final.status == 0 {
				return final, x.rest.badRequest()
			}
		case <-f.loop.ended:
			final = f.finalResponse(x)
		}
	}
	return final, nil
}

// finalAnswer returns the final answer of a request, also where the loop has ended.
func (f *frontend) finalResponse(x *exchange) answer {
	select {
	case a := <-x.answer:
		return a
	case <-f.loop.ended:
	}
	select {
	case a := <-x.answer:
		return a
	default:
		return answer{status: http.StatusBadGateway}
	}
}

// rejectBadRequest tells a client its mistake and closes the connection.
func (f *frontend) rejectBadRequest(w http.ResponseWriter, rejected *badRequest) {
	f.badRequests.Add(1)
	w.Header().Set("Connection", "close")
	_ = f.write(w, answer{status: rejected.status, body: []byte(rejected.message + "\n")})
}
