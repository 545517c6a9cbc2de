package node

import (
	"errors"
	"sync/atomic"
	"time"
)

// lateRequestDelay is the time after the signal to shut down from which a request is late. By the protocol SIGKILL may not
// find a request unanswered that came more than 0.7 s after SIGTERM; either may be noticed some time after it came.
const lateRequestDelay = 500 * time.Millisecond

// errShutdown is the error of a response that the end of the process cuts off.
var errShutdown = errors.New("client connection: the process ends")

// shutdown is what requests depend on of the process's shutdown.
type shutdown struct {
	signaledAt atomic.Pointer[time.Time] // time of the signal; nil before
}

// begin records the time of the signal. Further calls have no effect.
func (s *shutdown) begin(signaledAt time.Time) { s.signaledAt.CompareAndSwap(nil, &signaledAt) }

// isLate reports whether a request came so late that it must end before the process may be killed. An earlier one may go
// on while the process is not killed.
func (s *shutdown) isLate(x *exchange) bool {
	signaledAt, receivedAt := s.signaledAt.Load(), x.receivedAt.Load()
	if signaledAt == nil {
		return false
	}
	return receivedAt == nil || receivedAt.Sub(*signaledAt) >= lateRequestDelay
}
