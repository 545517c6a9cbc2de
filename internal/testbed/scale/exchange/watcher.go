package exchange

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// knownWithin is for how long a membership is waited for at most.
const knownWithin = 30 * time.Second

// watcher counts the live members that a hollow member knows, itself among them, and lets others wait for
// a number of them. The library calls it under its own lock.
type watcher struct {
	next    memberlist.EventDelegate // nil is nobody
	mu      sync.Mutex
	live    int
	want    int
	reached chan struct{} // closed when live is want; nil is that nobody waits
}

// NotifyJoin counts a member.
func (w *watcher) NotifyJoin(n *memberlist.Node) {
	w.add(1)
	if w.next != nil {
		w.next.NotifyJoin(n)
	}
}

// NotifyLeave counts that one is gone.
func (w *watcher) NotifyLeave(n *memberlist.Node) {
	w.add(-1)
	if w.next != nil {
		w.next.NotifyLeave(n)
	}
}

// NotifyUpdate changes no count.
func (w *watcher) NotifyUpdate(n *memberlist.Node) {
	if w.next != nil {
		w.next.NotifyUpdate(n)
	}
}

func (w *watcher) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live += n
	w.look()
}

func (w *watcher) look() {
	if w.reached != nil && w.live == w.want {
		close(w.reached)
		w.reached = nil
	}
}

// expect gives a channel that is closed when so many are live. One waits at a time.
func (w *watcher) expect(live int) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := make(chan struct{})
	w.want, w.reached = live, reached
	w.look()
	return reached
}

// wait waits until so many are live.
func (w *watcher) wait(ctx context.Context, live int) error {
	ctx, end := context.WithTimeout(ctx, knownWithin)
	defer end()
	select {
	case <-w.expect(live):
		return nil
	case <-ctx.Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		return fmt.Errorf("%d members known of %d: %w", w.live, live, ctx.Err())
	}
}
