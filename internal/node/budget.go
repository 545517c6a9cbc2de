package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	maxHeldBytes      = 64 << 10 // of a message that is held whole
	maxMessageBytes   = 33 << 20 // of any message: 32 MB, however counted
	streamBufferBytes = 32 << 10 // what a stream holds at once
	uncountedBytes    = 4 << 10  // held without being counted, as the buffers of a connection are

	budgetMemoryFraction = 1.0 / 4 // of the memory limit that held messages may come to
	minBudgetBytes       = 4 << 20
)

// budget bounds the bytes that the messages of all requests hold together. Bodies and answers
// have a half each. Guards against bodies that wait for room which answers to them need.
type budget struct{ bodies, answers *semaphore.Weighted }

func newBudget(memoryMB int) *budget {
	half := int64(max(budgetMemoryFraction*float64(memoryMB<<20), minBudgetBytes)) / 2
	return &budget{bodies: semaphore.NewWeighted(half), answers: semaphore.NewWeighted(half)}
}

// hold counts the bytes of a message as held, as soon as there is room.
func reserve(ctx context.Context, of *semaphore.Weighted, n int64) (*reservation, error) {
	if n <= uncountedBytes {
		return &reservation{}, nil
	}
	if err := of.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return &reservation{pool: of, bytes: n}, nil
}

// holding is a part of a budget.
type reservation struct {
	mu    sync.Mutex
	pool  *semaphore.Weighted
	bytes int64
}

// shrink gives back all but n bytes.
func (h *reservation) shrink(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes > n {
		h.pool.Release(h.bytes - n)
		h.bytes = n
	}
}

// pieces are the buffers that streams pass on.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}
