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

// publishInterval is how old a metric of the loop may become.
const publishInterval = 200 * time.Millisecond

// loopQueue is how many events may wait for the loop before those that post them wait too.
const loopQueue = 256

// loop is the event loop. It owns the decision module and all state that goes with it: only its own goroutine reads and
// writes the fields below life, and others post events to it.
type loop struct {
	upstream    *upstream
	start       time.Time // zero of the decision module's clock
	maxAttempts int       // of a request; 0 is no limit
	maxTokens   float64   // of one request; 0 is no limit
	stats       *stats

	life    context.Context // of attempts; ends with run
	endLife context.CancelFunc
	events  chan func()
	ended   chan struct{} // closed when run has ended
	failure error         // why the loop ended early; set before ended is closed

	controller    *control.Controller
	pendingEvents []control.Event // caused by the node itself while it carried out actions
	exchanges     map[string]*exchange

	// The endpoint list and what the node keeps for each server.
	serverIDs      map[string]uint32           // of the listed servers by UID
	lastServerID   uint32                      // no ID is given twice
	endpoints      map[string]discovery.Target // by UID
	listRevision   int64
	nodesPerServer float64          // nodes that use each server of the list; 0 is all
	pools          map[uint32]*pool // of the available servers

	// What a fleet file switches on; nil is off.
	stragglers   *stragglerWatch
	limitSharing *limitSharing
	zones        *zoneEvacuation
	persistence  *persistence
	consensus    *consensusMember
	metrics      *prometheus.Registry // of these parts
}

func newLoop(cfg config.Config, up *upstream, counts *stats) (*loop, error) {
	controller, err := control.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	life, end := context.WithCancel(context.Background())
	return &loop{
		upstream:    up,
		start:       time.Now(),
		maxAttempts: cfg.Settings.MaxAttempts,
		maxTokens:   cfg.Settings.MaxRequestTokens,
		stats:       counts,
		life:        life,
		endLife:     end,
		events:      make(chan func(), loopQueue),
		ended:       make(chan struct{}),
		controller:  controller,
		exchanges:   make(map[string]*exchange),
		serverIDs:   make(map[string]uint32),
		endpoints:   make(map[string]discovery.Target),
		pools:       make(map[uint32]*pool),
	}, nil
}

// metricsRegistry returns the registry for metrics of the parts that a fleet file switches on.
func (l *loop) metricsRegistry() *prometheus.Registry {
	if l.metrics == nil {
		l.metrics = prometheus.NewRegistry()
	}
	return l.metrics
}

// now returns the time of the decision module's clock: Unix time at the node's start and monotonic time since. So the
// start of a server, also one before this node's, maps to it, and steps of the wall clock are not seen.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// at converts a time of the decision module's clock; zero stays zero.
func (l *loop) at(t time.Duration) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return l.start.Add(t - time.Duration(l.start.UnixNano()))
}

// post has the loop run a function. It returns false, and the function is not run, where the loop has ended.
func (l *loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.ended:
		return false
	}
}

// run handles events until ctx ends or the decision module panics. Requests that are open then are answered with 502.
func (l *loop) run(ctx context.Context) {
	defer func() {
		// Requests must get an answer even if the decision module panics.
		if p := recover(); p != nil {
			l.failure = &ModuleError{p}
			slog.Error("decision module panicked", "stack", string(debug.Stack()))
		}
		for _, x := range l.exchanges {
			l.finish(x, answer{status: http.StatusBadGateway})
		}
		close(l.ended)
		l.endLife()
	}()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
		case <-publish.C: // select chooses at random, so a busy loop comes here too
			l.publish()
		}
	}
}

// publish updates the metrics that only the loop and the decision module know.
func (l *loop) publish() {
	l.stats.listed.Store(int64(len(l.serverIDs)))
	l.stats.avoided.Store(int64(l.controller.AvoidedServers(l.now())))
}

// handle passes an event to the decision module and carries out its actions, and then the events that these cause.
func (l *loop) handle(e control.Event) {
	l.pendingEvents = append(l.pendingEvents, e)
	for len(l.pendingEvents) > 0 {
		e := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		for _, a := range l.controller.Handle(l.now(), e) {
			l.act(a)
		}
	}
}

// act carries out an action of the decision module.
func (l *loop) act(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		l.send(a)
	case control.CancelAttempt:
		if x := l.exchanges[a.ID]; x != nil && a.Attempt < len(x.attempts) {
			x.attempts[a.Attempt].cancel(context.Canceled)
		}
	case control.Reject:
		l.finishID(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case control.Fail:
		status := http.StatusBadGateway
		if x := l.exchanges[a.ID]; x != nil && x.lastOutcome == control.TimedOut {
			status = http.StatusGatewayTimeout
		}
		l.finishID(a.ID, answer{status: status})
	case control.SetTimer:
		time.AfterFunc(a.After, func() {
			l.post(func() { l.handle(control.Timer{Label: a.Label}) })
		})
	case control.Disconnect:
		l.retirePool(a.Server, true)
	case control.LogLine:
		slog.Info("decision module", "report", a.Text)
	}
}

// begin admits a request to the loop, unless one with its ID is still open.
func (l *loop) begin(x *exchange) {
	if l.exchanges[x.req.ID] != nil {
		x.answer <- answer{status: http.StatusConflict}
		return
	}
	l.exchanges[x.req.ID] = x
	if l.consensus != nil {
		x.version = l.consensus.applyActing()
		l.consensus.setVersionHeader(x)
	}
	x.req.TimeLeft = x.timeLeft
	if !x.deadline.IsZero() {
		x.req.TimeLeft = time.Until(x.deadline)
	}
	if l.limitSharing != nil {
		x.req.Bucket = l.limitSharing.bucketOf(&x.req)
	}
	l.handle(x.req)
}

// bodyReceived takes that the last byte of a long body was received at a time: the client's time runs from then on.
func (l *loop) bodyReceived(x *exchange, at time.Time) {
	x.deadline = at.Add(x.timeLeft)
	for _, t := range x.attempts {
		t.startTimer(x.deadline)
	}
}

// hangup takes that the client has left. Attempts that are written go on: the server's work would not stop, and their
// outcomes still inform the decision module.
func (l *loop) hangup(x *exchange) {
	if x.done {
		return
	}
	l.finish(x, answer{})
	l.handle(control.ClientGone{ID: x.req.ID})
}

// finishID gives the request with an ID its final answer, unless it has one.
func (l *loop) finishID(id string, a answer) {
	if x := l.exchanges[id]; x != nil {
		l.finish(x, a)
	}
}

// finish gives a request its final answer, unless it has one.
func (l *loop) finish(x *exchange, a answer) {
	if !x.done {
		x.finish(a)
	}
	l.release(x)
}

// release removes a finished request once none of its attempts is in flight. Before that its ID could be taken for
// another request's.
func (l *loop) release(x *exchange) {
	if x.done && x.inFlight == 0 {
		delete(l.exchanges, x.req.ID)
	}
}
