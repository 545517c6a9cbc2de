package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	maxBufferedBytes  = 64 << 10 // of a message that is held whole; a longer one is streamed
	maxMessageBytes   = 33 << 20 // of any body or answer: 32 MB, however counted
	streamBufferBytes = 32 << 10 // held of a message that is streamed
	unbudgetedBytes   = 4 << 10  // of a message that is held without being counted, as connections' buffers are

	budgetMemoryFraction = 1.0 / 4 // of the memory limit that held messages may use
	minBudgetBytes       = 4 << 20
)

// budget bounds the bytes that the bodies and answers of all requests hold together. Each kind has a half, so that bodies
// can't take the room that the answers to them need.
type budget struct{ requestBodies, responses *semaphore.Weighted }

func newBudget(memoryMB int) *budget {
	half := int64(max(budgetMemoryFraction*float64(memoryMB<<20), minBudgetBytes)) / 2
	return &budget{requestBodies: semaphore.NewWeighted(half), responses: semaphore.NewWeighted(half)}
}

// reserve reserves n bytes as soon as there is room, or until ctx ends.
func reserve(ctx context.Context, pool *semaphore.Weighted, n int64) (*reservation, error) {
	if n <= unbudgetedBytes {
		return &reservation{}, nil
	}
	if err := pool.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return &reservation{pool: pool, bytes: n}, nil
}

// reservation is a reserved part of a budget. A nil one holds nothing.
type reservation struct {
	mu    sync.Mutex
	pool  *semaphore.Weighted
	bytes int64
}

// shrinkTo releases all but n bytes.
func (r *reservation) shrinkTo(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes > n {
		r.pool.Release(r.bytes - n)
		r.bytes = n
	}
}

// streamBuffers are the buffers through which streams are passed on.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}
