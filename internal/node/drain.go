package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"sloestile/control"
)

const (
	// Clients poll /healthz every 0.1 s and open connections for 0.2 s more. Requests on open connections have to end by
	// 2 s, and no connection may be idle from 4 s on.
	consoleDrainServe = 800 * time.Millisecond // a drain by the console: then answers close their connections
	consoleDrainIdle  = 700 * time.Millisecond // after that: then idle connections are closed
	idlePollInterval  = 50 * time.Millisecond  // between two closings of idle connections
)

// Times of a drain. The platform gives a node 0.7 s more than the longest deadline of its classes.
const (
	maxDrainDeadline  = 3 * time.Second         // longest class deadline that a drain waits for
	drainMargin       = 300 * time.Millisecond  // after it: what is open then is answered with 502
	drainLetGo        = 1200 * time.Millisecond // before the end of the drain: answers close their connections
	drainCloseDelay   = 200 * time.Millisecond  // from then until idle connections are closed and no new ones accepted
	drainListenTime   = 400 * time.Millisecond  // for which new connections may come, by the protocol
	drainWriteTime    = 300 * time.Millisecond  // for the last answers
	drainPollInterval = 20 * time.Millisecond   // between two looks for an early end
)

// drainer is the state of a drain, by an operator or by SIGTERM. In stage 0 only /healthz says no, in stage 1 each answer
// closes its connection, in stage 2 idle connections are closed.
type drainer struct {
	front *frontend

	mu     sync.Mutex
	cancel chan struct{} // closed to cancel the present drain; nil is none
	stage  int           // 0 to 2
	final  bool          // the process ends: the drain can't be cancelled
}

// begin starts a drain that enters stage 1 after serve and stage 2 after a further idle. A drain that runs goes on as it
// was.
func (d *drainer) begin(serve, idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		return
	}
	slog.Info("draining")
	d.start(serve, idle)
}

// start starts the stages of a drain. The lock is held.
func (d *drainer) start(serve, idle time.Duration) {
	quit := make(chan struct{})
	d.cancel, d.stage = quit, 0
	d.front.draining.Store(true)
	go d.runStages(quit, serve, idle)
}

// beginFinal starts the drain with which the process ends. One that an operator started goes on at its pace. A quiet one
// leaves /healthz as it is, as another process answers at the same address.
func (d *drainer) beginFinal(serve, idle time.Duration, quiet bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	if d.cancel == nil {
		d.start(serve, idle)
		d.front.draining.Store(!quiet)
	}
}

// callOff cancels a drain. It returns false where the process ends.
func (d *drainer) callOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.final {
		return false
	}
	if d.cancel != nil {
		slog.Info("drain cancelled")
		close(d.cancel)
		d.cancel, d.stage = nil, 0
		d.front.closing.Store(false)
		d.front.draining.Store(false)
	}
	return true
}

// leaving reports whether a drain runs or the process ends.
func (d *drainer) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.final || d.cancel != nil
}

// enterStage enters a stage unless the drain was cancelled.
func (d *drainer) enterStage(quit chan struct{}, stage int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != quit {
		return false
	}
	d.stage = stage
	d.front.closing.Store(true)
	return true
}

// runStages takes a drain through its stages until it is cancelled.
func (d *drainer) runStages(quit chan struct{}, serve, idle time.Duration) {
	wait := func(t time.Duration) bool {
		select {
		case <-quit:
			return false
		case <-time.After(t):
			return true
		}
	}
	if !wait(serve) || !d.enterStage(quit, 1) || !wait(idle) || !d.enterStage(quit, 2) {
		return
	}
	for ok := true; ok; ok = wait(idlePollInterval) {
		d.front.closeIdle()
	}
}

// stop ends the drain's goroutine, with the process.
func (d *drainer) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	if d.cancel != nil {
		close(d.cancel)
	}
	d.cancel = make(chan struct{}) // none begins any more
}

// maxDrainOf returns how long a drain lasts at most.
func maxDrainOf(classes []control.Class) time.Duration {
	longest := time.Duration(0)
	for _, k := range classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, maxDrainDeadline) + drainMargin
}

// drain ends the process. Clients see it by /healthz but may use their open connections on, and while another node
// restarts too, some tenants have no other node. So the node serves as before for a while, then each answer closes its
// connection, and the node ends when all requests are answered. Where another process shares the socket, that one gets
// all new connections: this one accepts none and lets go at once.
func (n *Node) drain(stopLoop context.CancelFunc) error {
	begun := time.Now()
	serve := max(n.maxDrain-drainLetGo, 0)
	slog.Info("draining", "shared", n.inherited)
	if n.inherited {
		n.stopListening()
		if err := n.listener.Close(); err != nil {
			slog.Warn("closing the listener for clients failed", "error", err)
		}
		n.drainer.beginFinal(0, serve, true)
	} else {
		n.drainer.beginFinal(serve, drainCloseDelay, false)
	}
	if !n.awaitDrainEnd(max(serve+drainCloseDelay, min(n.maxDrain, drainListenTime))) {
		n.finish(drainWriteTime)
		return n.loop.failure
	}
	n.finish(n.maxDrain - time.Since(begun))
	stopLoop() // answers what is still open with 502
	<-n.loop.ended
	n.finish(drainWriteTime)
	slog.Info("drained", "took", time.Since(begun).Round(time.Millisecond))
	return n.loop.failure
}

// awaitDrainEnd waits until the time for new requests is over, or until no connection is left where another process
// takes new ones. It returns false where the loop ended before.
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

// finish stops listening and gives open answers some time. http.Server's Shutdown is not used: it closes connections
// that seem idle to it while a request arrives on them, and drops requests that it has just read.
func (n *Node) finish(within time.Duration) {
	n.stopListening()
	if err := n.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("closing the listener for clients failed", "error", err)
	}
	n.front.closing.Store(true)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for over := time.After(within); n.front.openConns.Load() > 0; {
		n.front.closeIdle()
		select {
		case <-poll.C:
		case <-over:
			return
		}
	}
}
