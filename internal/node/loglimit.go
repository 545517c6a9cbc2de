package node

import (
	"sync/atomic"
	"time"
)

// limitedLogInterval is the minimum time between two log lines of a logLimit.
const limitedLogInterval = time.Second

// logLimit limits the log lines about events that a peer can cause at any rate. Its zero value allows the first line.
type logLimit struct {
	lastAt atomic.Pointer[time.Time] // time of the last line; nil if there was none
}

// allow reports whether a line may be logged now.
func (l *logLimit) allow() bool {
	last, now := l.lastAt.Load(), time.Now()
	if last != nil && now.Sub(*last) < limitedLogInterval {
		return false
	}
	return l.lastAt.CompareAndSwap(last, &now)
}
