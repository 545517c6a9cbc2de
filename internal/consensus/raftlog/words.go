package raftlog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const wordsEach = time.Second // a line of the library's at most; others are counted

// Logger gives the library's words of trouble to the node's log.
func Logger(prefix string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: &words{prefix: prefix}, DisableTime: true})
}

type words struct {
	prefix  string
	mu      sync.Mutex
	last    time.Time
	skipped int
}

var _ io.Writer = (*words)(nil)

// Write takes a line "[WARN]  text".
func (w *words) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.last) >= wordsEach {
		_, text, _ := bytes.Cut(b, []byte("]"))
		slog.Warn(w.prefix+string(bytes.TrimSpace(text)), "skipped", w.skipped)
		w.last, w.skipped = now, 0
	} else {
		w.skipped++
	}
	return len(b), nil
}
