package raftlog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// minLogInterval is the minimum time between two lines of the library that are logged.
const minLogInterval = time.Second

// NewLogger returns a logger for the raft library that writes its warnings and errors to the node's log, each text
// after a prefix. It drops lines that come within minLogInterval of the last logged one.
func NewLogger(prefix string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: &rateLimitedOutput{prefix: prefix}, DisableTime: true})
}

// rateLimitedOutput is the output of the logger.
type rateLimitedOutput struct {
	prefix  string
	mu      sync.Mutex
	lastAt  time.Time // time of the last logged line
	skipped int       // number of lines dropped since then
}

var _ io.Writer = (*rateLimitedOutput)(nil)

// Write logs or drops a line of the form "[WARN]  text".
func (w *rateLimitedOutput) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.lastAt) < minLogInterval {
		w.skipped++
		return len(b), nil
	}
	_, text, _ := bytes.Cut(b, []byte("]"))
	slog.Warn(w.prefix+string(bytes.TrimSpace(text)), "skipped", w.skipped)
	w.lastAt = now
	w.skipped = 0
	return len(b), nil
}
