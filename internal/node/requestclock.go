package node

import (
	"sync"
	"time"
)

const (
	// maxUnreadBytes bounds how much of a body a client can have written that the node has not read: the socket buffers of
	// both machines. Linux limits a send buffer to 4 MiB by default.
	maxUnreadBytes = 8 << 20
	// minClockRecheck is the minimum time between two looks at a clock that was paused meanwhile.
	minClockRecheck = 10 * time.Millisecond
)

// requestClock measures the time that a request has left. A client's time limit counts from the last byte of its request.
// While the node does not read, that byte may already lie in a socket buffer unseen. So the clock runs from the request's
// header on, and is paused only while the last byte can't have been written: while the node waits for bytes of the body,
// or more of the body is missing than socket buffers hold.
type requestClock struct {
	limit time.Duration

	mu        sync.Mutex
	used      time.Duration // time used until runningAt, or until the pause
	runningAt time.Time     // time from which the clock runs; zero while it is paused
}

// newRequestClock returns a running clock.
func newRequestClock(limit time.Duration) *requestClock {
	return &requestClock{limit: limit, runningAt: time.Now()}
}

// add counts time that the request has used before the clock began.
func (c *requestClock) add(used time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used += used
}

// pause stops the clock until resume is called.
func (c *requestClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningAt.IsZero() {
		return
	}
	c.used += time.Since(c.runningAt)
	c.runningAt = time.Time{}
}

// resume lets a paused clock run.
func (c *requestClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningAt.IsZero() {
		c.runningAt = time.Now()
	}
}

// remaining returns the time left; it is negative once the limit is exceeded.
func (c *requestClock) remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningAt.IsZero() {
		return c.limit - c.used
	}
	return c.limit - c.used - time.Since(c.runningAt)
}

// afterFunc calls f in a goroutine of its own once the clock has exceeded its limit by grace.
func (c *requestClock) afterFunc(grace time.Duration, f func()) *clockTimer {
	t := &clockTimer{clock: c, grace: grace, f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(c.remaining()+grace, t.fire)
	return t
}

// clockTimer is a pending call of requestClock.afterFunc.
type clockTimer struct {
	clock *requestClock
	grace time.Duration
	f     func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// fire calls the function, or waits on if the clock was paused meanwhile.
func (t *clockTimer) fire() {
	t.mu.Lock()
	if t.stopped {
		t.mu.Unlock()
		return
	}
	if left := t.clock.remaining() + t.grace; left > 0 {
		t.timer = time.AfterFunc(max(left, minClockRecheck), t.fire)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.f()
}

// stop keeps the function from being called, unless it is being called already.
func (t *clockTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
