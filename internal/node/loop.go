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

// publishInterval is the interval at which the metrics of the loop are updated.
const publishInterval = 200 * time.Millisecond

// maxQueuedEvents is the capacity of the event queue. post blocks while it is full.
const maxQueuedEvents = 256

// loop is the event loop. It owns the decision module and all state that depends on it: only the loop's goroutine
// accesses the fields from controller to pools. Other goroutines post events to the loop.
type loop struct {
	upstream    *upstream
	start       time.Time // start of the node; now derives the decision module's clock from it
	maxAttempts int       // maximum number of attempts per request; 0 means no limit
	maxTokens   float64   // maximum number of tokens per request; 0 means no limit
	stats       *stats
	shutdown    *shutdown

	attemptCtx     context.Context // context of all attempts; ends with the node
	cancelAttempts context.CancelFunc
	events         chan loopEvent
	ended          chan struct{} // closed when run has ended
	failure        error         // cause if the decision module panicked; set before ended is closed

	controller    *control.Controller
	pendingEvents []control.Event // events that the execution of actions has caused
	latestEvent   control.Event   // event that the decision module has handled last
	times         loopTimes
	exchanges     map[string]*exchange // by request ID
	recentIDs     *recentIDs
	shareID       func(id string, memory time.Duration) // tells the other process of a handover of an ID; nil if there is none

	// The endpoint list, and the state per server.
	serverIDs      map[string]uint32           // IDs of the listed servers, by UID
	serverStarts   map[string]serverStart      // starts of the listed servers that report one, by UID
	lastServerID   uint32                      // highest assigned ID; IDs are never reused
	endpoints      map[string]discovery.Target // entries of the endpoint list, by UID
	listRevision   int64                       // revision of the endpoint list
	nodesPerServer float64                     // average number of nodes that use a server; 0 means that all nodes do
	pools          map[uint32]*pool            // connection pools of the available servers, by ID

	// Features that a fleet file enables; nil if disabled.
	stragglers   *stragglerWatch
	limitSharing *limitSharing
	zones        *zoneEvacuation
	persistence  *persistence
	consensus    *consensusMember
	metrics      *prometheus.Registry // metrics of these features
}

// newLoop returns an event loop for a configuration. Events are handled once run is called.
func newLoop(cfg config.Config, upstreamSide *upstream, metrics *stats) (*loop, error) {
	controller, err := control.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	attemptCtx, cancelAttempts := context.WithCancel(context.Background())
	return &loop{
		upstream:       upstreamSide,
		start:          time.Now(),
		maxAttempts:    cfg.Settings.MaxAttempts,
		maxTokens:      cfg.Settings.MaxRequestTokens,
		stats:          metrics,
		shutdown:       &shutdown{},
		attemptCtx:     attemptCtx,
		cancelAttempts: cancelAttempts,
		events:         make(chan loopEvent, maxQueuedEvents),
		ended:          make(chan struct{}),
		controller:     controller,
		exchanges:      make(map[string]*exchange),
		recentIDs:      newRecentIDs(),
		serverIDs:      make(map[string]uint32),
		serverStarts:   make(map[string]serverStart),
		endpoints:      make(map[string]discovery.Target),
		pools:          make(map[uint32]*pool),
	}, nil
}

// metricsRegistry returns the registry for the metrics of the features that a fleet file enables. It makes the registry
// at the first call.
func (l *loop) metricsRegistry() *prometheus.Registry {
	if l.metrics == nil {
		l.metrics = prometheus.NewRegistry()
	}
	return l.metrics
}

// now returns the time on the decision module's clock: the Unix time of the node's start plus the monotonic time since
// then. Unix times, such as the start of a server, can thus be compared with it, and steps of the wall clock do not
// affect it.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// wallTime converts a time on the decision module's clock to a time.Time. Zero becomes the zero time.Time.
func (l *loop) wallTime(t time.Duration) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return l.start.Add(t - time.Duration(l.start.UnixNano()))
}

// post queues a function for the loop's goroutine. It blocks while the queue is full. It returns false if the loop has
// ended, and the function is not called then. Nor is a queued function called if the loop ends first.
func (l *loop) post(event func()) bool {
	select {
	case l.events <- loopEvent{event, time.Now()}:
		return true
	case <-l.ended:
		return false
	}
}

// run handles events until ctx ends or the decision module panics. It then answers all open requests with 502, and cancels
// their attempts but for those whose responses are streamed.
func (l *loop) run(ctx context.Context) {
	defer func() {
		// Requests must be answered even if the decision module panics.
		if p := recover(); p != nil {
			l.failure = &ModuleError{p}
			slog.Error("decision module panicked", "stack", string(debug.Stack()))
		}
		for _, x := range l.exchanges {
			l.finish(x, response{status: http.StatusBadGateway})
			for _, t := range x.attempts {
				t.cancelUnlessStreaming(context.Canceled)
			}
		}
		close(l.ended)
	}()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.times.measure(event, &l.latestEvent)
		case <-publish.C: // select chooses at random, so this case is reached under load too
			l.publish()
		}
	}
}

// publish updates the metrics whose values only the loop and the decision module have.
func (l *loop) publish() {
	l.stats.listed.Store(int64(len(l.serverIDs)))
	l.stats.avoided.Store(int64(l.controller.AvoidedServers(l.now())))
	l.stats.examined.Store(int64(l.controller.ServersExamined()))
	l.times.publish(l.stats)
}

// handle passes an event to the decision module and executes the actions that it returns. It then handles the events
// that these actions caused.
func (l *loop) handle(e control.Event) {
	l.pendingEvents = append(l.pendingEvents, e)
	for len(l.pendingEvents) > 0 {
		e := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.latestEvent = e
		for _, a := range l.controller.Handle(l.now(), e) {
			l.execute(a)
		}
	}
}

// execute executes an action of the decision module.
func (l *loop) execute(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		l.send(a)
	case control.CancelAttempt:
		if x := l.exchanges[a.ID]; x != nil && a.Attempt < len(x.attempts) {
			x.attempts[a.Attempt].cancel(context.Canceled)
		}
	case control.Reject:
		l.finishByID(a.ID, response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case control.Fail:
		status := http.StatusBadGateway
		if x := l.exchanges[a.ID]; x != nil && x.lastOutcome == control.TimedOut {
			status = http.StatusGatewayTimeout
		}
		l.finishByID(a.ID, response{status: status})
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

// beginExchange passes a new request to the decision module. It answers 409 if a request with the same ID is still
// open, or may have run and must not run again.
func (l *loop) beginExchange(x *exchange) {
	if x.completion.isComplete() {
		return
	}
	if l.isRepeated(x) {
		x.complete(response{status: http.StatusConflict})
		return
	}
	l.exchanges[x.req.ID] = x
	if l.consensus != nil {
		x.version = l.consensus.applyEffectiveVersion()
		l.consensus.setVersionHeader(x)
	}
	x.req.TimeLeft = x.clock.remaining()
	if l.limitSharing != nil {
		x.req.Bucket = l.limitSharing.bucketOf(&x.req)
	}
	l.handle(x.req)
}

// abandon handles a request that was completed by the goroutine that serves its client: the client has left, or its
// time was over. Attempts that have been written continue: canceling them would not stop the server's work, and the
// decision module still uses their outcomes.
func (l *loop) abandon(x *exchange) {
	if x.done || l.exchanges[x.req.ID] != x { // another request may have the same ID
		return
	}
	x.done = true
	l.release(x)
	l.handle(control.ClientGone{ID: x.req.ID})
}

// finishByID finishes the request with an ID. It does nothing if there is no such request.
func (l *loop) finishByID(id string, resp response) {
	if x := l.exchanges[id]; x != nil {
		l.finish(x, resp)
	}
}

// finish makes a response the final one if the request has none, and releases the request.
func (l *loop) finish(x *exchange, resp response) {
	x.done = true
	x.complete(resp)
	l.release(x)
}

// release removes a finished request once none of its attempts is in flight. If it were removed earlier, its ID could
// be reused while outcomes of its attempts still arrive.
func (l *loop) release(x *exchange) {
	if x.done {
		x.body = nil // no attempt starts any more
	}
	if x.done && x.inFlight == 0 && l.exchanges[x.req.ID] == x {
		delete(l.exchanges, x.req.ID)
		if !x.mayHaveRun {
			l.recentIDs.remove(x.req.ID)
		}
	}
}
