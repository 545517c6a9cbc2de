package node

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// Clients poll /healthz every 0.1 s and open connections for 0.2 s more. Requests on open connections have to end by
	// 2 s, and no connection may be idle from 4 s on.
	consoleDrainServe = 800 * time.Millisecond // a drain by the console: then answers close their connections
	consoleDrainIdle  = 700 * time.Millisecond // after that: then idle connections are closed
	idlePollInterval  = 50 * time.Millisecond  // between two closings of idle connections
)

// drainer is the state of a drain, by an operator or by SIGTERM. In stage 0 only /healthz says no, in stage 1 each answer
// closes its connection, in stage 2 idle connections are closed.
type drainer struct {
	front *front

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
