package node

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// The front asks /healthz every 0.1 s and sends new connections for 0.2 s more; what comes on
	// kept connections is to end by 2 s, and no connection may be held idle from 4 s on.
	consoleDrainServe = 800 * time.Millisecond // a drain by the console: connections are kept until then
	consoleDrainIdle  = 700 * time.Millisecond // and from then on those that idle
	idlePollInterval  = 50 * time.Millisecond  // how often idle connections are looked at after that
)

// drainer is the one drain state, for operators and for SIGTERM. A drain first only tells the
// front; then each answer closes its connection; then idle connections are closed.
type drainer struct {
	front *front

	mu     sync.Mutex
	cancel chan struct{} // closed to call off the present drain; nil is none
	stage  int           // 0 to 2: serving on, letting go, closing what idles
	final  bool          // the process does: there is no way back
}

// begin starts a drain that lets connections go on answers after a while, and closes those that
// idle after a further one. A drain under way goes on as it was.
func (d *drainer) begin(serve, idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		return
	}
	slog.Info("draining")
	d.start(serve, idle)
}

func (d *drainer) start(serve, idle time.Duration) {
	quit := make(chan struct{})
	d.cancel, d.stage = quit, 0
	d.front.draining.Store(true)
	go d.runStages(quit, serve, idle)
}

// end makes the drain the process's last. One that an operator began goes on at its pace. A quiet
// one does not tell the front: another process answers it at the same address.
func (d *drainer) beginFinal(serve, idle time.Duration, quiet bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	if d.cancel == nil {
		d.start(serve, idle)
		d.front.draining.Store(!quiet)
	}
}

// undo calls a drain off; false where the process ends.
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

// leaving tells whether the process takes part in a drain, or ends.
func (d *drainer) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.final || d.cancel != nil
}

// reach enters a stage unless the drain was called off.
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

// steps takes a drain through its stages until it is called off.
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

// over ends what a drain still does, with the process.
func (d *drainer) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	if d.cancel != nil {
		close(d.cancel)
	}
	d.cancel = make(chan struct{}) // none begins any more
}
