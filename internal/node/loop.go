package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"martennotch/control"
)

// answerAhead is how long before a client gives up its attempts are stopped, so that
// the last byte of the answer is there in time.
const answerAhead = 15 * time.Millisecond

// publishEvery is how old a figure of the loop's may become.
const publishEvery = 200 * time.Millisecond

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
	last     control.Reason
	settled  bool     // its true units were told to others
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

// loop owns the controller and all that it is told of. Only its own goroutine
// touches it; others send it events.
type loop struct {
	ctl      *control.Controller
	upstream *upstream
	start    time.Time
	sendCap  int

	life      context.Context // of attempts; ends with run
	end       context.CancelFunc
	events    chan func()
	ended     chan struct{} // closed when run has ended
	failed    error         // why, once it has
	exchanges map[string]*exchange
	ids       map[string]uint32 // of the listed app servers by uid
	lastID    uint32            // no id is given twice
	targets   map[string]target // the list, by uid, and its version
	rev       int64
	pools     map[uint32]*pool // of those that are up
	unitsTop  float64          // of one request; 0 is not told
	pending   []control.Event  // that the node itself caused while it acted
	stats     *stats
	watching  *watching // nil is that nobody asks which attempts are late
	sharing   *sharing  // nil is that nodes share nothing
	zoning    *zoning   // nil is that a zone is a price
	keeping   *keeping  // nil is that nothing outlives the process
}

func newLoop(cfg Config, up *upstream, counts *stats) (*loop, error) {
	ctl, err := control.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	life, end := context.WithCancel(context.Background())
	return &loop{life: life, end: end, ctl: ctl, upstream: up, start: time.Now(), sendCap: cfg.Settings.SendCap,
		events: make(chan func(), 256), ended: make(chan struct{}), exchanges: make(map[string]*exchange),
		ids: make(map[string]uint32), targets: make(map[string]target), pools: make(map[uint32]*pool), unitsTop: cfg.Settings.UnitsTop, stats: counts}, nil
}

// now is Unix time when the node started and monotonic time since, so that the start of
// an app server maps truly, also one before ours, and no step of the clock is seen.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// post hands work to the loop; false where it has ended.
func (l *loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.ended:
		return false
	}
}

// run works until ctx ends or the module fails. Whatever is held then is answered
// as failed.
func (l *loop) run(ctx context.Context) {
	defer func() {
		// Guards against requests lost with a module that panics.
		if p := recover(); p != nil {
			l.failed = fmt.Errorf("the decision module failed: %v\n%s", p, debug.Stack())
		}
		for _, x := range l.exchanges {
			l.finish(x, answer{status: http.StatusBadGateway})
		}
		close(l.ended)
		l.end()
	}()
	look := time.NewTicker(publishEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
		case <-look.C: // select takes turns at random, so a busy loop comes here too
			l.publish()
		}
	}
}

// publish puts out the figures that only the loop and the module know.
func (l *loop) publish() {
	l.stats.listed.Store(int64(len(l.ids)))
	l.stats.down.Store(int64(l.ctl.Avoided(l.now())))
}

// handle tells the module of an event, and of those that follow from what it does.
func (l *loop) handle(e control.Event) {
	l.pending = append(l.pending, e)
	for len(l.pending) > 0 {
		e := l.pending[0]
		l.pending = l.pending[1:]
		for _, a := range l.ctl.Handle(l.now(), e) {
			l.act(a)
		}
	}
}

func (l *loop) act(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		l.send(a)
	case control.Withdraw:
		if x := l.exchanges[a.ID]; x != nil && a.N < len(x.stop) {
			x.stop[a.N](context.Canceled)
		}
	case control.Refuse:
		l.finishID(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case control.Fail:
		status := http.StatusBadGateway
		if x := l.exchanges[a.ID]; x != nil && x.last == control.TimedOut {
			status = http.StatusGatewayTimeout
		}
		l.finishID(a.ID, answer{status: status})
	case control.Arm:
		time.AfterFunc(a.After, func() {
			l.post(func() { l.handle(control.Timer{Label: a.Label}) })
		})
	case control.Disconnect:
		l.retire(a.Server, true)
	case control.Remark:
		slog.Info("module", "remark", a.Text)
	}
}

// begin takes in a client's request, unless one with its id is still held.
func (l *loop) begin(x *exchange) {
	if l.exchanges[x.req.ID] != nil {
		x.answer <- answer{status: http.StatusConflict}
		return
	}
	l.exchanges[x.req.ID] = x
	if x.req.TTL = x.left; !x.deadline.IsZero() {
		x.req.TTL = time.Until(x.deadline)
	}
	if l.sharing != nil {
		x.req.Shared = l.sharing.known(&x.req)
	}
	l.handle(x.req)
}

// whole notes that the last byte of a long body has come: from now on the client's time runs.
func (l *loop) whole(x *exchange, at time.Time) {
	x.deadline = at.Add(x.left)
	for n, stop := range x.stop {
		if x.limit[n] == nil {
			x.limit[n] = time.AfterFunc(time.Until(x.deadline), func() { stop(context.DeadlineExceeded) })
		}
	}
}

// hangup notes that the client has left. Attempts that are out go on: their work
// would not stop, and their outcomes teach.
func (l *loop) hangup(x *exchange) {
	if x.done {
		return
	}
	l.finish(x, answer{})
	l.handle(control.Hangup{ID: x.req.ID})
}

// finishID gives a request its final answer where it has none.
func (l *loop) finishID(id string, a answer) {
	if x := l.exchanges[id]; x != nil {
		l.finish(x, a)
	}
}

func (l *loop) finish(x *exchange, a answer) {
	if !x.done {
		x.done = true
		x.answer <- a
	}
	l.release(x)
}

// release forgets a finished request once no attempt of it is out, so that its id
// can't be mistaken for another's before.
func (l *loop) release(x *exchange) {
	if x.done && x.out == 0 {
		delete(l.exchanges, x.req.ID)
	}
}

func (l *loop) send(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pending = append(l.pending, control.Response{ID: a.ID, Server: a.Server, Reason: control.Moot, Done: true})
		return
	}
	n, to := x.sends, l.pools[a.Server]
	x.sends++
	var limit *time.Timer
	ctx, stop := context.WithCancelCause(l.life)
	if until := x.deadline; !until.IsZero() || a.Within > 0 {
		left := time.Until(until)
		if until.IsZero() || a.Within > 0 && a.Within < left {
			left = a.Within
		}
		if left <= 0 {
			stop(context.DeadlineExceeded)
		} else {
			limit = time.AfterFunc(left, func() { stop(context.DeadlineExceeded) })
		}
	}
	x.stop, x.limit = append(x.stop, stop), append(x.limit, limit)
	if l.watching != nil {
		x.watched = append(x.watched, 0)
	}
	if to == nil || x.done || ctx.Err() != nil || x.spent() || l.sendCap > 0 && x.sends > l.sendCap {
		l.over(x, n)
		l.pending = append(l.pending, control.Response{ID: a.ID, N: n, Server: a.Server, Reason: control.Moot, Done: x.done, Spent: x.spent()})
		return
	}
	x.out++
	if l.watching != nil {
		x.watched[n] = l.watching.began(a.Server)
	}
	if l.sharing != nil && n == 0 {
		l.sharing.sent(&x.req, x.req.Units, false)
	}
	if l.keeping != nil && n == 0 {
		l.keeping.granted(&x.req)
	}
	sent := time.Now()
	t := &attempt{req: x.message(), first: x.body, rest: x.rest,
		written: func() {
			l.stats.calls.Add(1)
			if x.rest != nil {
				l.post(func() { l.handle(control.Written{ID: x.req.ID, N: n}) })
			}
		},
		begin: func(o outcome, length int64) (to *io.PipeWriter) {
			told := make(chan struct{})
			if l.post(func() { to = l.started(x, n, a.Server, sent, o, length); close(told) }) {
				select {
				case <-told:
				case <-l.ended:
					return nil
				}
			}
			return to
		}}
	go func() {
		o := l.upstream.try(ctx, to, t)
		if !l.post(func() { l.settle(x, n, a.Server, sent, o) }) {
			o.held.shrink(0)
		}
	}()
}

// over ends what bounds an attempt.
func (l *loop) over(x *exchange, n int) {
	if x.limit[n] != nil {
		x.limit[n].Stop()
	}
	x.stop[n](context.Canceled)
}

// started takes in that a good answer has begun that is not held: it is the final one. It gives
// where the answer's rest goes, or nil where nobody waits for it.
func (l *loop) started(x *exchange, n int, server uint32, sent time.Time, o outcome, length int64) *io.PipeWriter {
	if x.done {
		return nil
	}
	if x.limit[n] != nil {
		x.limit[n].Stop() // its first bytes are in time; the rest takes what it takes
	}
	l.cost(x, o)
	from, to := io.Pipe()
	x.done = true
	x.answer <- answer{status: http.StatusOK, header: o.header, body: o.body, stream: from, length: length}
	l.handle(control.Started{ID: x.req.ID, N: n, Server: server, Delay: time.Since(sent), Cost: o.cost(l.unitsTop), Used: o.used()})
	return to
}

// settle takes in how an attempt ended. The first good answer is the final one.
func (l *loop) settle(x *exchange, n int, server uint32, sent time.Time, o outcome) {
	l.over(x, n)
	l.cost(x, o)
	if l.watching != nil {
		l.watching.ended(x.watched[n], o.reason)
	}
	x.out--
	x.last = o.reason
	r := control.Response{ID: x.req.ID, N: n, Server: server, Reason: o.reason, Delay: time.Since(sent), Spent: x.spent()}
	if o.header != nil && !o.begun {
		r.Used, r.Cost, r.Load = o.used(), o.cost(l.unitsTop), o.load()
	}
	if o.reason == control.OK && !x.done {
		l.finish(x, answer{status: http.StatusOK, header: o.header, body: o.body, held: o.held})
	} else {
		o.held.shrink(0)
	}
	r.Done = x.done
	l.release(x)
	l.handle(r)
}

// cost tells those who share the customer's limit the true units of a request, once.
func (l *loop) cost(x *exchange, o outcome) {
	if l.sharing == nil || x.settled || o.header == nil {
		return
	}
	if cost := o.cost(l.unitsTop); cost > 0 {
		x.settled = true
		l.sharing.sent(&x.req, cost-x.req.Units, true)
	}
}

// retire lets go of the connections to an app server, and takes new ones where it goes on.
func (l *loop) retire(server uint32, goesOn bool) {
	p := l.pools[server]
	if p == nil {
		return
	}
	l.upstream.retire(p)
	delete(l.pools, server)
	if goesOn {
		l.pools[server] = l.upstream.pool(p.endpoint)
	}
}

// list takes in what discovery tells. What is no longer listed is forgotten.
func (l *loop) list(kind control.ListKind, news listing) {
	l.keep(kind, news)
	e := control.List{Kind: kind}
	listed := make(map[string]bool)
	for i := range news.Targets {
		t := &news.Targets[i]
		id, ok := l.ids[t.UID]
		if !ok {
			l.lastID++
			id = l.lastID
			l.ids[t.UID] = id
		}
		if l.sharing != nil {
			l.sharing.listed(id, t)
		}
		if l.zoning != nil {
			l.zoning.listed(id, t)
		}
		m := t.member(id)
		e.Members = append(e.Members, m)
		listed[t.UID] = m.Condition != control.Off
		if p := l.pools[id]; p != nil && (m.Condition != control.On || p.endpoint != t.Endpoint) {
			l.retire(id, false)
		}
		if m.Condition == control.On && l.pools[id] == nil {
			l.pools[id] = l.upstream.pool(t.Endpoint)
		}
	}
	for uid, id := range l.ids {
		if is, told := listed[uid]; told && !is || !told && kind != control.Patch {
			l.retire(id, false)
			delete(l.ids, uid)
			if l.sharing != nil {
				l.sharing.listed(id, nil)
			}
			if l.zoning != nil {
				l.zoning.listed(id, nil)
			}
		}
	}
	l.handle(e)
	l.publish()
}
