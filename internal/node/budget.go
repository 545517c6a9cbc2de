package node

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	maxBufferedBytes  = 64 << 10 // size of a message that is buffered whole; a longer one is streamed
	maxMessageBytes   = 33 << 20 // size of any body; above 32 MB, decimal or binary
	streamBufferBytes = 32 << 10 // size of a long buffer of a streamed message
	unbudgetedBytes   = 4 << 10  // size that is buffered without a reservation, like the buffers of connections

	budgetMemoryFraction = 1.0 / 4 // fraction of the memory limit that buffered messages may use
	minBudgetBytes       = 4 << 20 // size of the budget at a small memory limit

	headerMemoryFraction = 1.0 / 32 // fraction of the memory limit that long request headers may use
	minHeaderBudgetBytes = 1 << 20  // size of the budget for headers at a small memory limit; the longest header takes less

	streamMemoryFraction = 1.0 / 32 // fraction of the memory limit that long buffers of streamed messages may use
)

// budget limits the memory in which the bodies and responses of all requests are buffered, that of long request headers,
// and that of the long buffers of streams. Bodies and responses get one half each, so that request bodies can't use up
// the memory that their responses need.
type budget struct{ requestHeaders, requestBodies, responses, streams *semaphore.Weighted }

func newBudget(memoryMB int) *budget {
	memory := float64(memoryMB << 20)
	half := int64(max(budgetMemoryFraction*memory, minBudgetBytes)) / 2
	headers := int64(max(headerMemoryFraction*memory, minHeaderBudgetBytes))
	return &budget{requestHeaders: semaphore.NewWeighted(headers), requestBodies: semaphore.NewWeighted(half),
		responses: semaphore.NewWeighted(half), streams: semaphore.NewWeighted(int64(streamMemoryFraction * memory))}
}

// reserve reserves n bytes, waiting until they are free or ctx ends. Up to unbudgetedBytes are not counted.
func reserve(ctx context.Context, pool *semaphore.Weighted, n int64) (*reservation, error) {
	if n <= unbudgetedBytes {
		return &reservation{}, nil
	}
	if err := pool.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return &reservation{pool: pool, bytes: n}, nil
}

// reservation is a reserved part of a budget. A nil reservation is empty.
type reservation struct {
	mu    sync.Mutex
	pool  *semaphore.Weighted
	bytes int64
}

// growTo reserves more bytes, up to n in all, and reports whether they were free.
func (r *reservation) growTo(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes >= n {
		return true
	}
	if !r.pool.TryAcquire(n - r.bytes) {
		return false
	}
	r.bytes = n
	return true
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

// streamBuffer is the buffer through which a message is copied. It is long while there is memory for long ones. A short
// one is part of what a connection takes without a reservation, so copying never waits for memory.
type streamBuffer struct {
	bytes []byte
	free  func() // returns the buffer, which must not be used any more
}

// newStreamBuffer returns a buffer for a message of the given length in bytes; below 0 means unknown.
func (b *budget) newStreamBuffer(length int64) streamBuffer {
	if (length >= 0 && length <= unbudgetedBytes) || !b.streams.TryAcquire(streamBufferBytes) {
		short := shortBuffers.Get().(*[unbudgetedBytes]byte)
		return streamBuffer{short[:], func() { shortBuffers.Put(short) }}
	}
	long := longBuffers.Get().(*[streamBufferBytes]byte)
	return streamBuffer{long[:], func() {
		longBuffers.Put(long)
		b.streams.Release(streamBufferBytes)
	}}
}

// shortBuffers holds buffers for copying streams without a reservation, and for discarding data: peers that are refused can
// make the node discard data of all their connections at once.
var shortBuffers = sync.Pool{New: func() any { return new([unbudgetedBytes]byte) }}

// longBuffers holds buffers for copying streams.
var longBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}
