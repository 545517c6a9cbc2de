package node

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// publishEvery is how old a figure of the loop's may become.
const publishEvery = 200 * time.Millisecond

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
	ids       map[string]uint32           // of the listed app servers by uid
	lastID    uint32                      // no id is given twice
	targets   map[string]discovery.Target // the list, by uid, and its version
	rev       int64
	sharers   float64          // nodes that use each server of the list; 0 is all
	pools     map[uint32]*pool // of those that are up
	unitsTop  float64          // of one request; 0 is not told
	pending   []control.Event  // that the node itself caused while it acted
	stats     *stats
	watching  *watching // nil is that nobody asks which attempts are late
	sharing   *sharing  // nil is that nodes share nothing
	zoning    *zoning   // nil is that a zone is a price
	keeping   *keeping  // nil is that nothing outlives the process

	figures *prometheus.Registry // of what a fleet file switches on; nil is nothing
	council *council             // nil is that nothing is decided together
}

func newLoop(cfg config.Config, up *upstream, counts *stats) (*loop, error) {
	ctl, err := control.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	life, end := context.WithCancel(context.Background())
	return &loop{life: life, end: end, ctl: ctl, upstream: up, start: time.Now(), sendCap: cfg.Settings.MaxAttempts,
		events: make(chan func(), 256), ended: make(chan struct{}), exchanges: make(map[string]*exchange),
		ids: make(map[string]uint32), targets: make(map[string]discovery.Target), pools: make(map[uint32]*pool), unitsTop: cfg.Settings.MaxTokens, stats: counts}, nil
}

// registry takes the figures of a part that a fleet file switches on.
func (l *loop) registry() *prometheus.Registry {
	if l.figures == nil {
		l.figures = prometheus.NewRegistry()
	}
	return l.figures
}

// now is Unix time when the node started and monotonic time since, so that the start of
// an app server maps truly, also one before ours, and no step of the clock is seen.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// at gives a time of the module's clock; zero is none.
func (l *loop) at(t time.Duration) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return l.start.Add(t - time.Duration(l.start.UnixNano()))
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
			l.failed = &ModuleError{p}
			slog.Error("module: panic", "stack", string(debug.Stack()))
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
	l.stats.down.Store(int64(l.ctl.AvoidedServers(l.now())))
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
	case control.CancelAttempt:
		if x := l.exchanges[a.ID]; x != nil && a.Attempt < len(x.stop) {
			x.stop[a.Attempt](context.Canceled)
		}
	case control.Reject:
		l.finishID(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case control.Fail:
		status := http.StatusBadGateway
		if x := l.exchanges[a.ID]; x != nil && x.last == control.TimedOut {
			status = http.StatusGatewayTimeout
		}
		l.finishID(a.ID, answer{status: status})
	case control.SetTimer:
		time.AfterFunc(a.After, func() {
			l.post(func() { l.handle(control.Timer{Label: a.Label}) })
		})
	case control.Disconnect:
		l.retire(a.Server, true)
	case control.LogLine:
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
	if l.council != nil {
		x.version = l.council.look()
		l.council.header(x)
	}
	if x.req.TimeLeft = x.left; !x.deadline.IsZero() {
		x.req.TimeLeft = time.Until(x.deadline)
	}
	if l.sharing != nil {
		x.req.Bucket = l.sharing.known(&x.req)
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

// hangup notes that the client has left. Attempts that are written go on: their work
// would not stop, and their outcomes teach.
func (l *loop) hangup(x *exchange) {
	if x.done {
		return
	}
	l.finish(x, answer{})
	l.handle(control.ClientGone{ID: x.req.ID})
}

// finishID gives a request its final answer where it has none.
func (l *loop) finishID(id string, a answer) {
	if x := l.exchanges[id]; x != nil {
		l.finish(x, a)
	}
}

func (l *loop) finish(x *exchange, a answer) {
	if !x.done {
		x.end(a)
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
