package node

import "sync"

// completion decides the race for the final response of a request: between the event loop, the attempt that has a
// response, the request's deadline, its client's disconnect and the end of the process. The first caller of complete
// wins, and from then on no attempt of the request starts. None of the callers waits for another one.
type completion struct {
	mu       sync.Mutex
	complete bool
	starts   []*startState // of the attempts that were handed to upstream
}

// addAttempt adds an attempt whose start end cancels. It returns false if the request is complete.
func (c *completion) addAttempt(start *startState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete {
		return false
	}
	c.starts = append(c.starts, start)
	return true
}

// end completes the request. first reports whether it was not complete yet, and mayHaveRun whether an attempt has
// started.
func (c *completion) end() (first, mayHaveRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = !c.complete
	c.complete = true
	for _, start := range c.starts {
		if !start.cancel() {
			mayHaveRun = true
		}
	}
	return first, mayHaveRun
}

// isComplete reports whether end was called.
func (c *completion) isComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}
