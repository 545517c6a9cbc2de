package node

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// The front asks /healthz every 0.1 s and sends new connections for 0.2 s more; what comes on
	// kept connections is to end by 2 s, and no connection may be held idle from 4 s on.
	consoleServe = 800 * time.Millisecond // a drain by the console: connections are kept until then
	consoleIdle  = 700 * time.Millisecond // and from then on those that idle
	idleLook     = 50 * time.Millisecond  // how often idle connections are looked at after that
)

// drainer is the one drain state, for operators and for SIGTERM. A drain first only tells the
// front; then each answer closes its connection; then idle connections are closed.
type drainer struct {
	front *front

	mu    sync.Mutex
	quit  chan struct{} // closed to call off the present drain; nil is none
	stage int           // 0 to 2: serving on, letting go, closing what idles
	ends  bool          // the process does: there is no way back
}

// begin starts a drain that lets connections go on answers after a while, and closes those that
// idle after a further one. A drain under way goes on as it was.
func (d *drainer) begin(serve, idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quit != nil {
		return
	}
	slog.Info("draining")
	d.start(serve, idle)
}

func (d *drainer) start(serve, idle time.Duration) {
	quit := make(chan struct{})
	d.quit, d.stage = quit, 0
	d.front.draining.Store(true)
	go d.steps(quit, serve, idle)
}

// end makes the drain the process's last. One that an operator began goes on at its pace. A quiet
// one does not tell the front: another process answers it at the same address.
func (d *drainer) end(serve, idle time.Duration, quiet bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = true
	if d.quit == nil {
		d.start(serve, idle)
		d.front.draining.Store(!quiet)
	}
}

// undo calls a drain off; false where the process ends.
func (d *drainer) undo() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ends {
		return false
	}
	if d.quit != nil {
		slog.Info("drain called off")
		close(d.quit)
		d.quit, d.stage = nil, 0
		d.front.closing.Store(false)
		d.front.draining.Store(false)
	}
	return true
}

// leaving tells whether the process takes part in a drain, or ends.
func (d *drainer) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ends || d.quit != nil
}

// reach enters a stage unless the drain was called off.
func (d *drainer) reach(quit chan struct{}, stage int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quit != quit {
		return false
	}
	d.stage = stage
	d.front.closing.Store(true)
	return true
}

// steps takes a drain through its stages until it is called off.
func (d *drainer) steps(quit chan struct{}, serve, idle time.Duration) {
	wait := func(t time.Duration) bool {
		select {
		case <-quit:
			return false
		case <-time.After(t):
			return true
		}
	}
	if !wait(serve) || !d.reach(quit, 1) || !wait(idle) || !d.reach(quit, 2) {
		return
	}
	for ok := true; ok; ok = wait(idleLook) {
		d.front.closeIdle()
	}
}

// over ends what a drain still does, with the process.
func (d *drainer) over() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = true
	if d.quit != nil {
		close(d.quit)
	}
	d.quit = make(chan struct{}) // none begins any more
}
