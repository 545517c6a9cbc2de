package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sloestile/control"
)

const (
	// Clients poll /healthz every 0.1 s and open new connections for another 0.2 s. Requests on open connections have
	// to end within 2 s, and no idle connection may remain after 4 s.
	consoleDrainCloseDelay = 800 * time.Millisecond // time from a drain order until responses close their connections
	consoleDrainIdleDelay  = 700 * time.Millisecond // time from then until idle connections are closed
	idlePollInterval       = 50 * time.Millisecond  // interval at which idle connections are closed
)

// Durations of the drain at shutdown. The platform kills a node 0.7 s after the longest deadline of its classes, of which
// it counts at most 3 s.
const (
	maxDrainDeadline  = 3 * time.Second         // maximum class deadline that a drain waits for
	drainMargin       = 300 * time.Millisecond  // time after that deadline at which open requests get 502
	drainClosePeriod  = 1200 * time.Millisecond // last period of a drain, in which responses close their connections
	drainIdleDelay    = 200 * time.Millisecond  // time within it until idle connections are closed and none accepted
	drainListenPeriod = 400 * time.Millisecond  // minimum time for which new connections are accepted, set by the protocol
	drainWriteTimeout = 300 * time.Millisecond  // timeout for writing the last responses
	drainPollInterval = 20 * time.Millisecond   // interval of checks whether all connections are closed

	maxDrainStreamTime = 10 * time.Minute // time for streamed responses to end; a response of 32 MB takes 8.7 min at 64 kB a second
)

// drainer runs a drain that an operator or SIGTERM started. In stage 0 only /healthz fails, in stage 1 each response
// also closes its connection, in stage 2 idle connections are closed too.
type drainer struct {
	front *frontend

	mu     sync.Mutex
	cancel chan struct{} // closed to cancel the current drain; nil if no drain runs
	stage  int           // 0 to 2
	final  bool          // whether the process is shutting down, so that the drain can't be canceled
}

// begin starts a drain that enters stage 1 after closeDelay and stage 2 after another idleDelay. It does nothing if a
// drain runs.
func (d *drainer) begin(closeDelay, idleDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		return
	}
	slog.Info("draining")
	d.startLocked(closeDelay, idleDelay)
}

// startLocked starts the stages of a drain. The caller holds the lock.
func (d *drainer) startLocked(closeDelay, idleDelay time.Duration) {
	canceled := make(chan struct{})
	d.cancel, d.stage = canceled, 0
	d.front.draining.Store(true)
	go d.runStages(canceled, closeDelay, idleDelay)
}

// beginFinal starts the drain at the process's shutdown. A drain that an operator started continues with its own
// delays. A quiet drain does not make /healthz fail, as another process serves at the same address.
func (d *drainer) beginFinal(closeDelay, idleDelay time.Duration, quiet bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	if d.cancel == nil {
		d.startLocked(closeDelay, idleDelay)
		d.front.draining.Store(!quiet)
	}
}

// undrain cancels a drain. It returns false if the process is shutting down.
func (d *drainer) undrain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.final {
		return false
	}
	if d.cancel != nil {
		slog.Info("drain canceled")
		close(d.cancel)
		d.cancel, d.stage = nil, 0
		d.front.closing.Store(false)
		d.front.draining.Store(false)
	}
	return true
}

// draining reports whether a drain runs or the process is shutting down.
func (d *drainer) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.final || d.cancel != nil
}

// enterStage enters a stage. It returns false if the drain was canceled.
func (d *drainer) enterStage(canceled chan struct{}, stage int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != canceled {
		return false
	}
	d.stage = stage
	d.front.closing.Store(true)
	return true
}

// runStages runs the stages of a drain. In stage 2 it closes idle connections until the drain is canceled.
func (d *drainer) runStages(canceled chan struct{}, closeDelay, idleDelay time.Duration) {
	wait := func(t time.Duration) bool {
		select {
		case <-canceled:
			return false
		case <-time.After(t):
			return true
		}
	}
	if !wait(closeDelay) || !d.enterStage(canceled, 1) {
		return
	}
	slog.Info("drain: responses close their connections")
	if !wait(idleDelay) || !d.enterStage(canceled, 2) {
		return
	}
	slog.Info("drain: closing idle connections")
	for ok := true; ok; ok = wait(idlePollInterval) {
		d.front.closeIdle()
	}
}

// stop ends the drain's goroutine, and no drain can start afterwards.
func (d *drainer) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	if d.cancel != nil {
		close(d.cancel)
	}
	d.cancel = make(chan struct{}) // a non-nil channel keeps begin from starting a drain
}

// computeDrainTimeout returns the maximum duration of a drain for the deadlines of the classes.
func computeDrainTimeout(classes []control.Class) time.Duration {
	longest := time.Duration(0)
	for _, k := range classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, maxDrainDeadline) + drainMargin
}

// drain drains the node at shutdown; its times count from the signal. Clients detect the drain by /healthz but may still use
// their open connections, and if another node restarts at the same time, some tenants have no other node. So the node first
// serves as before; then each response closes its connection, and drain returns once all requests are answered. Late requests
// end with the drain, whether or not their responses are whole. The loop ends before the streamed responses to earlier ones
// do, so that a successor need not wait for its share of the quotas. If another process shares the listening socket, that
// process gets all new connections: this one stops accepting and closes connections with their next response from the start.
func (n *Node) drain(signaledAt time.Time, stopLoop context.CancelFunc) error {
	until := func(afterSignal time.Duration) time.Duration { return max(time.Until(signaledAt.Add(afterSignal)), 0) }
	closeDelay := max(n.drainTimeout-drainClosePeriod, 0)
	slog.Info("draining", "shared", n.inherited, "since_signal", time.Since(signaledAt).Round(time.Millisecond))
	if n.inherited {
		n.closeListener()
		n.drainer.beginFinal(0, until(closeDelay), true)
	} else {
		n.drainer.beginFinal(until(closeDelay), drainIdleDelay, false)
	}
	if !n.awaitDrainEnd(until(max(closeDelay+drainIdleDelay, min(n.drainTimeout, drainListenPeriod)))) {
		n.finish(drainWriteTimeout)
		return n.loop.failure
	}
	n.finish(until(n.drainTimeout))
	slog.Info("drain: completing open requests", "in_flight", n.stats.inflight.Load(), "connections", n.front.openConns.Load(),
		"streams", n.front.openStreams.count(), "since_signal", time.Since(signaledAt).Round(time.Millisecond))
	n.front.stop()
	stopLoop()
	n.finish(until(n.drainTimeout + drainWriteTimeout))
	<-n.loop.ended
	n.awaitStreams()
	slog.Info("drained", "took", time.Since(signaledAt).Round(time.Millisecond))
	return n.loop.failure
}

// awaitDrainEnd waits for the period in which new requests are accepted. If another process shares the socket, it
// returns early once no connection is left. It returns false if the loop has ended.
func (n *Node) awaitDrainEnd(wait time.Duration) bool {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	over := time.After(wait)
	for {
		select {
		case <-poll.C:
			if n.inherited && n.front.openConns.Load() <= 0 {
				return true
			}
		case <-over:
			return true
		case <-n.loop.ended:
			return false
		}
	}
}

// awaitStreams waits until the streamed responses to requests that were not late have ended: a server that goes on writing is
// not cut off, however slow it is, while the process is not killed. The silence of a server and of a client end a stream as ever.
func (n *Node) awaitStreams() {
	open := n.front.openStreams.count()
	if open == 0 {
		return
	}
	begun := time.Now()
	slog.Info("drain: waiting for streamed responses", "streams", open)
	n.front.openStreams.log("drain: response is still streamed")
	for n.front.openStreams.count() > 0 && time.Since(begun) < maxDrainStreamTime {
		n.front.closeIdle()
		time.Sleep(drainPollInterval)
	}
	n.finish(drainWriteTimeout) // the last bytes may still be in the HTTP server's buffer
}

// finish stops listening and waits until all connections are closed, at most for the duration within. It does not use
// http.Server.Shutdown, which closes connections on which a request is just arriving and drops requests that it has
// just read.
func (n *Node) finish(within time.Duration) {
	n.closeListener()
	n.front.closing.Store(true)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	over := time.After(within)
	select {
	case <-n.serveEnded: // an accepted connection is counted from then on
	case <-over:
		return
	}
	for n.front.openConns.Load() > 0 {
		n.front.closeIdle()
		select {
		case <-poll.C:
		case <-over:
			return
		}
	}
}
