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

// front is the side to the clients.
type front struct {
	loop      *loop
	classes   map[string]control.Class
	plans     map[string]bool
	fleetSize int
	maxTokens float64 // 0 is not told
	ready     atomic.Bool
	draining  atomic.Bool // no longer ready
	closing   atomic.Bool // each answer closes its connection

	mu    sync.Mutex
	idle  map[*clientConn]time.Time // client connections between two requests
	fresh map[*clientConn]time.Time // those that have not sent a whole head yet

	accepted, evicted, badRequests, clientsLeft atomic.Int64 // for the log, since the node started
	conns                                       atomic.Int64 // open now
	sockets                                     *sockets
	stats                                       *stats
	budget                                      *budget
}

// report gives the counts of the clients' side as attributes of a log line.
func (f *front) report() []any {
	f.mu.Lock()
	idle, fresh := len(f.idle), len(f.fresh)
	f.mu.Unlock()
	return []any{"accepted", f.accepted.Load(), "evicted", f.evicted.Load(), "wrong", f.badRequests.Load(),
		"left", f.clientsLeft.Load(), "idle", idle, "fresh", fresh, "sockets", f.sockets.open.Load(), "waits", f.sockets.waits.Load()}
}

func newFront(s control.Settings, l *loop, socks *sockets, counts *stats) *front {
	f := &front{loop: l, classes: make(map[string]control.Class), plans: make(map[string]bool),
		fleetSize: s.FleetSize, maxTokens: s.MaxTokens, idle: make(map[*clientConn]time.Time),
		fresh: make(map[*clientConn]time.Time), sockets: socks, stats: counts, budget: l.upstream.budget}
	for _, k := range s.Classes {
		f.classes[k.Name] = k
	}
	for _, p := range s.Plans {
		f.plans[p.Name] = true
	}
	socks.evictClient = f.evict
	return f
}

// ServeHTTP holds a client's request until its final answer.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok && c.over() {
		panic(http.ErrAbortHandler) // it came in one piece with the request before, and the sending has ended
	}
	limit := http.NewResponseController(w)
	if r.URL.Path == "/healthz" {
		status := http.StatusOK
		if !f.ready.Load() || f.draining.Load() {
			status = http.StatusServiceUnavailable
		}
		// Guards, here and below, against peers that hold a descriptor with a connection on
		// which nothing more is to come: only a proper request earns its connection a stay.
		w.Header().Set("Connection", "close")
		_ = f.write(w, answer{status: status})
		return
	}
	if r.ContentLength != 0 {
		// Of the answer before: it must not cut off the word that the body is awaited.
		_ = limit.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	}
	x, wrong := f.readRequest(r, limit)
	if wrong != nil {
		f.rejectBadRequest(w, wrong)
		return
	}
	defer x.bodyReservation.shrink(0)
	if x.rest == nil {
		// net/http goes on reading while a request is held, to notice a hang-up; the limit on
		// the body's own time must not end that.
		_ = limit.SetReadDeadline(time.Time{})
		x.markReceived()
	} else {
		// An answer may come before the body is whole: net/http must not wait for its rest.
		_ = limit.EnableFullDuplex()
		defer x.rest.discard(r)
	}
	defer x.markEnded()
	a, whole := f.awaitAnswer(w, r, x)
	if a == nil {
		return
	}
	if !whole {
		f.stats.answered(x.req.Class, http.StatusBadGateway)
		panic(http.ErrAbortHandler) // so that the client can tell
	}
	f.stats.answered(x.req.Class, a.status)
}

// await has a request decided and answered; nil is a client that has left its answer, or was told
// of its mistake. It tells whether the answer is whole.
func (f *front) awaitAnswer(w http.ResponseWriter, r *http.Request, x *exchange) (a *answer, whole bool) {
	f.loop.post(func() { f.loop.begin(x) })
	var got answer
	for gone := r.Context().Done(); got.status == 0; {
		select {
		case got = <-x.answer:
		case <-gone:
			// net/http ends the context with any read that fails: that of a body tells itself
			// what it was, or was stopped as the answer is there. A stop that comes in the instant of
			// the body's last byte ends net/http's look for a hang-up in its place.
			if x.rest != nil && (!x.received.Load() || x.rest.isStopped()) {
				gone = nil
				continue
			}
			f.clientsLeft.Add(1)
			f.loop.post(func() { f.loop.hangup(x) })
			f.finalAnswer(x).drop()
			// Guards against the library's own answer to a request that got none: one that only
			// ended its sending could read it, and take it for an app server's.
			panic(http.ErrAbortHandler)
		case <-x.bodyBroken():
			f.loop.post(func() { f.loop.hangup(x) })
			if got = f.finalAnswer(x); got.status == 0 {
				f.rejectBadRequest(w, x.rest.badRequest())
				return nil, false
			}
		case <-f.loop.ended:
			got = f.finalAnswer(x)
		}
	}
	if !x.received.Load() {
		w.Header().Set("Connection", "close") // its body is not whole
	}
	defer got.drop()
	if got.stream != nil && x.received.Load() {
		defer context.AfterFunc(r.Context(), func() { got.stream.CloseWithError(errClientLeft) })()
	}
	err := f.write(w, got)
	if x.rest != nil {
		_ = http.NewResponseController(w).Flush()
	}
	if errors.Is(err, errClientLeft) {
		f.clientsLeft.Add(1)
		return nil, false
	}
	return &got, err == nil
}

// final is the one answer of a request, also of one that came too late to be seen.
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

// mistaken tells a client what it got wrong and lets it go.
func (f *front) rejectBadRequest(w http.ResponseWriter, wrong *badRequest) {
	f.badRequests.Add(1)
	w.Header().Set("Connection", "close")
	_ = f.write(w, answer{status: wrong.status, body: []byte(wrong.text + "\n")})
}
