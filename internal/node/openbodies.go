package node

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	bodyEvictionDelay    = 250 * time.Millisecond // minimum delay of a client behind minBytesPerSecond for which its body is given up
	memoryReliefInterval = 10 * time.Millisecond  // time between two evictions while a request waits for memory
)

var errBodyEvicted = errors.New("reading the request body: given up for other requests, as the client was too slow")

// openBodies holds the request bodies that are being read. Under pressure, the body whose client is furthest behind is
// given up: its request is not complete, so it has not been accepted.
type openBodies struct {
	mu     sync.Mutex
	bodies map[*clientBody]struct{}
}

func newOpenBodies() *openBodies { return &openBodies{bodies: make(map[*clientBody]struct{})} }

func (o *openBodies) add(b *clientBody) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies[b] = struct{}{}
}

func (o *openBodies) remove(b *clientBody) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, b)
}

// evict gives up the body whose client is furthest behind, of those for which matches returns true. It returns nil if no
// client is behind by bodyEvictionDelay.
func (o *openBodies) evict(matches func(*clientBody) bool) *clientBody {
	o.mu.Lock()
	defer o.mu.Unlock()
	var slowest *clientBody
	longest := bodyEvictionDelay
	for b := range o.bodies {
		if delay := b.delay(); delay >= longest && matches(b) {
			slowest, longest = b, delay
		}
	}
	if slowest == nil || !slowest.evict() {
		return nil
	}
	delete(o.bodies, slowest)
	return slowest
}

// reserveBody reserves memory for a body, waiting while the request has time left and the process does not end. Meanwhile bodies that hold memory and
// whose clients are too slow are given up.
func (f *frontend) reserveBody(ctx context.Context, x *exchange, stream *clientBody, bytes int64) error {
	ctx, cancel := context.WithTimeout(ctx, min(x.clock.remaining(), bodyIdleTimeout))
	defer cancel()
	reserved := make(chan error, 1)
	go func() { // ends when ctx ends at the latest
		var err error
		x.bodyReservation, err = reserve(ctx, f.budget.requestBodies, bytes)
		reserved <- err
	}()
	relief := time.NewTicker(memoryReliefInterval)
	defer relief.Stop()
	for stopped := f.stopped; ; {
		select {
		case err := <-reserved:
			stream.holdsMemory.Store(err == nil)
			return err
		case <-stopped:
			cancel()
			stopped = nil
		case <-relief.C:
			f.openBodies.evict(func(b *clientBody) bool { return b.holdsMemory.Load() })
		}
	}
}
