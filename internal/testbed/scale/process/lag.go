package process

import (
	"context"
	"sync"
	"time"
)

const lagEach = 20 * time.Millisecond

// lagMeter measures how late this process is scheduled while a point is measured.
type lagMeter struct {
	mu    sync.Mutex
	worst time.Duration
}

// startLag measures until ctx ends.
func startLag(ctx context.Context) *lagMeter {
	m := &lagMeter{}
	go func() {
		for {
			due := time.Now().Add(lagEach)
			if wait(ctx, lagEach) != nil {
				return
			}
			m.note(time.Since(due))
		}
	}()
	return m
}

func (m *lagMeter) note(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worst = max(m.worst, lag)
}

// most is the worst lag so far.
func (m *lagMeter) most() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worst
}
