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
type front struct {
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

	mu    sync.Mutex
	idle  map[*clientConn]time.Time // connections between two requests, and since when
	fresh map[*clientConn]time.Time // connections without a whole head yet, and since when

	accepted, evicted, badRequests, clientsLeft atomic.Int64 // for the log, since the node started
	conns                                       atomic.Int64 // open now
}

// report returns the counts of the clients' side as attributes of a log line.
func (f *front) report() []any {
	f.mu.Lock()
	idle, fresh := len(f.idle), len(f.fresh)
	f.mu.Unlock()
	return []any{"accepted", f.accepted.Load(), "evicted", f.evicted.Load(), "wrong", f.badRequests.Load(),
		"left", f.clientsLeft.Load(), "idle", idle, "fresh", fresh, "sockets", f.sockets.open.Load(), "waits", f.sockets.waits.Load()}
}

func newFront(s control.Settings, l *loop, sockets *sockets, counts *stats) *front {
	f := &front{
		loop:      l,
		classes:   make(map[string]control.Class),
		plans:     make(map[string]bool),
		fleetSize: s.FleetSize,
		maxTokens: s.MaxRequestTokens,
		sockets:   sockets,
		stats:     counts,
		budget:    l.upstream.budget,
		idle:      make(map[*clientConn]time.Time),
		fresh:     make(map[*clientConn]time.Time),
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
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok && c.isClosing() {
		panic(http.ErrAbortHandler) // it came together with the request before, whose answer closed the connection
	}
	limit := http.NewResponseController(w)
	if r.URL.Path == "/healthz" {
		f.answerHealth(w)
		return
	}
	if r.ContentLength != 0 {
		// The deadline of the answer before must not cut off a 100 Continue.
		_ = limit.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	}
	x, wrong := f.readRequest(r, limit)
	if wrong != nil {
		f.rejectBadRequest(w, wrong)
		return
	}
	defer x.bodyReservation.shrinkTo(0)
	if x.streamedBody == nil {
		// net/http goes on reading while a request is open, to notice a hang-up; the deadline of the body must not end
		// that.
		_ = limit.SetReadDeadline(time.Time{})
		x.markReceived()
	} else {
		// An answer may come before the whole body: net/http must not wait for its rest.
		_ = limit.EnableFullDuplex()
		defer x.streamedBody.discard(r)
	}
	defer x.markEnded()
	a, whole := f.awaitAnswer(w, r, x)
	if a == nil {
		return
	}
	if !whole {
		f.stats.countAnswer(x.req.Class, http.StatusBadGateway)
		panic(http.ErrAbortHandler) // so that the client can tell
	}
	f.stats.countAnswer(x.req.Class, a.status)
}

// answerHealth answers /healthz. Here and for bad requests the connection is closed, so that callers can't hold
// descriptors with connections on which no proper request comes.
func (f *front) answerHealth(w http.ResponseWriter) {
	status := http.StatusOK
	if !f.ready.Load() || f.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Connection", "close")
	_ = f.write(w, answer{status: status})
}

// awaitAnswer has a request decided, and writes its final answer. It returns nil where the client has left or has been
// told of its mistake. whole reports whether the answer was written to its end.
func (f *front) awaitAnswer(w http.ResponseWriter, r *http.Request, x *exchange) (a *answer, whole bool) {
	f.loop.post(func() { f.loop.beginExchange(x) })
	got, wrong := f.nextAnswer(r, x)
	if wrong != nil {
		f.rejectBadRequest(w, wrong)
		return nil, false
	}
	if !x.received.Load() {
		w.Header().Set("Connection", "close") // its body was not read to the end
	}
	defer got.discard()
	if got.stream != nil && x.received.Load() {
		defer context.AfterFunc(r.Context(), func() { got.stream.CloseWithError(errClientLeft) })()
	}
	err := f.write(w, got)
	if x.streamedBody != nil {
		_ = http.NewResponseController(w).Flush()
	}
	if errors.Is(err, errClientLeft) {
		f.clientsLeft.Add(1)
		return nil, false
	}
	return &got, err == nil
}

// nextAnswer waits for the final answer of a request. It returns the client's mistake where its body broke before there
// was an answer, and aborts the handler where the client has left.
func (f *front) nextAnswer(r *http.Request, x *exchange) (got answer, wrong *badRequest) {
	for gone := r.Context().Done(); got.status == 0; {
		select {
		case got = <-x.answer:
		case <-gone:
			// net/http ends the context with any read that fails. A failed read of the body reports itself, or was
			// stopped because the answer is there. A stop at the moment of the body's last byte ends net/http's look
			// for a hang-up instead.
			if x.streamedBody != nil && (!x.received.Load() || x.streamedBody.isStopped()) {
				gone = nil
				continue
			}
			f.clientsLeft.Add(1)
			f.loop.post(func() { f.loop.clientGone(x) })
			f.finalAnswer(x).discard()
			// Otherwise net/http would answer by itself, and a client that only ended its sending could take that
			// for a server's answer.
			panic(http.ErrAbortHandler)
		case <-x.bodyFailed():
			f.loop.post(func() { f.loop.clientGone(x) })
			got = f.finalAnswer(x)
			if got.status == 0 {
				return got, x.streamedBody.badRequest()
			}
		case <-f.loop.ended:
			got = f.finalAnswer(x)
		}
	}
	return got, nil
}

// finalAnswer returns the final answer of a request, also where the loop has ended.
func (f *front) finalAnswer(x *exchange) answer {
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
func (f *front) rejectBadRequest(w http.ResponseWriter, wrong *badRequest) {
	f.badRequests.Add(1)
	w.Header().Set("Connection", "close")
	_ = f.write(w, answer{status: wrong.status, body: []byte(wrong.text + "\n")})
}
