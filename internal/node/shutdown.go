package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

// lateRequestDelay is the time after the signal to shut down from which a request is late. By the protocol SIGKILL may not
// find a request unanswered that came more than 0.7 s after SIGTERM; either may be noticed some time after it came.
const lateRequestDelay = 500 * time.Millisecond

// errShutdown is the error of a response that the end of the process cuts off.
var errShutdown = errors.New("client connection: the process ends")

// ShutdownSignal is the cause of the end of Run's context that tells when the process was told to shut down. The times of the
// shutdown count from then.
type ShutdownSignal struct{ At time.Time }

func (s *ShutdownSignal) Error() string { return "told to shut down" }

// signalTime returns the time at which a context that has ended was told to end; without a ShutdownSignal it is now.
func signalTime(ctx context.Context) time.Time {
	if signal, ok := errors.AsType[*ShutdownSignal](context.Cause(ctx)); ok {
		return signal.At
	}
	return time.Now()
}

// shutdown is what requests depend on of the process's shutdown.
type shutdown struct {
	signaledAt atomic.Pointer[time.Time] // time of the signal; nil before
}

// begin records the time of the signal unless it is known, and returns it.
func (s *shutdown) begin(signaledAt time.Time) time.Time {
	s.signaledAt.CompareAndSwap(nil, &signaledAt)
	return *s.signaledAt.Load()
}

// isLate reports whether a request came so late that it must end before the process may be killed. An earlier one may go
// on while the process is not killed.
func (s *shutdown) isLate(x *exchange) bool {
	signaledAt, receivedAt := s.signaledAt.Load(), x.receivedAt.Load()
	if signaledAt == nil {
		return false
	}
	return receivedAt == nil || receivedAt.Sub(*signaledAt) >= lateRequestDelay
}

// scheduleEnd makes open requests and connections end in time after the signal, whatever the start or the drain waits for: a
// disk, another process or the event loop.
func (n *Node) scheduleEnd(ctx context.Context) {
	signaledAt := n.loop.shutdown.begin(signalTime(ctx))
	requestsEnd := time.Until(signaledAt.Add(n.drainTimeout))
	time.AfterFunc(requestsEnd, n.front.stop)
	time.AfterFunc(requestsEnd+drainWriteTimeout, n.endConnections)
}

// endConnections closes the listener and all connections of clients but those of streams that may go on.
func (n *Node) endConnections() {
	n.closeListener()
	closed := n.front.closeAll()
	if closed > 0 {
		slog.Info("drain: closed the remaining connections", "connections", closed, "in_flight", n.stats.inflight.Load(),
			"streams", n.front.openStreams.count())
	}
}

// closeListener makes the node accept no more connections.
func (n *Node) closeListener() {
	n.stopListening()
	if err := n.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("closing the listener for clients failed", "error", err)
	}
}
