package raftlog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// libraryLogInterval is the time between two lines of the library; others are counted.
const libraryLogInterval = time.Second

// NewLogger returns a logger that passes the library's warnings on to the node's log.
func NewLogger(prefix string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: &libraryLog{prefix: prefix}, DisableTime: true})
}

// libraryLog is the logger's output.
type libraryLog struct {
	prefix  string
	mu      sync.Mutex
	last    time.Time
	skipped int
}

var _ io.Writer = (*libraryLog)(nil)

// Write takes a line of the form "[WARN]  text".
func (w *libraryLog) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.last) < libraryLogInterval {
		w.skipped++
		return len(b), nil
	}
	_, text, _ := bytes.Cut(b, []byte("]"))
	slog.Warn(w.prefix+string(bytes.TrimSpace(text)), "skipped", w.skipped)
	w.last = now
	w.skipped = 0
	return len(b), nil
}
