package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	bodyMost  = 64 << 10 // of a message that is held whole
	longMost  = 33 << 20 // of any message: 32 MB, however counted
	pieceSize = 32 << 10 // what a stream holds at once
	freeSize  = 4 << 10  // held without being counted, as the buffers of a connection are

	budgetPart  = 1.0 / 4 // of the memory limit that held messages may come to
	budgetLeast = 4 << 20
)

// budget bounds the bytes that the messages of all requests hold together. Bodies and answers
// have a half each. Guards against bodies that wait for room which answers to them need.
type budget struct{ bodies, answers *semaphore.Weighted }

func newBudget(memoryMB int) *budget {
	half := int64(max(budgetPart*float64(memoryMB<<20), budgetLeast)) / 2
	return &budget{bodies: semaphore.NewWeighted(half), answers: semaphore.NewWeighted(half)}
}

// hold counts the bytes of a message as held, as soon as there is room.
func hold(ctx context.Context, of *semaphore.Weighted, n int64) (*holding, error) {
	if n <= freeSize {
		return &holding{}, nil
	}
	if err := of.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return &holding{of: of, n: n}, nil
}

// holding is a part of a budget.
type holding struct {
	mu sync.Mutex
	of *semaphore.Weighted
	n  int64
}

// shrink gives back all but n bytes.
func (h *holding) shrink(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.n > n {
		h.of.Release(h.n - n)
		h.n = n
	}
}

// pieces are the buffers that streams pass on.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}
