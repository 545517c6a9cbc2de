// Package logging writes a program's log so that no caller waits for whoever reads it: a pipe that nobody empties, or a disk that
// does not respond, must not stop the program.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxBufferedBytes limits the lines that wait to be written; further ones are dropped.
const maxBufferedBytes = 64 << 10

// Writer passes lines on to another writer in a goroutine of its own.
type Writer struct {
	out io.Writer

	mu       sync.Mutex
	buffered []byte
	dropped  int           // lines dropped since the last line that was taken
	pending  chan struct{} // holds a value while buffered may have lines
	idle     *sync.Cond    // signals that all lines are written; uses mu
	writing  bool          // whether lines are being written to out
}

// NewWriter returns a writer that passes lines on to out. Its goroutine runs until the program ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, pending: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write takes a line, or drops it if too many bytes wait already. It does not block and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.buffered = fmt.Appendf(w.buffered, "log: %d lines dropped, as they were not read in time\n", w.dropped)
		w.dropped = 0
	}
	w.buffered = append(w.buffered, line...)
	select {
	case w.pending <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes the lines. An error of out is ignored: there is nowhere to report it.
func (w *Writer) run() {
	for range w.pending {
		w.mu.Lock()
		lines := w.buffered
		w.buffered, w.writing = nil, true
		w.mu.Unlock()
		_, _ = w.out.Write(lines)
		w.mu.Lock()
		w.writing = false
		w.idle.Broadcast()
		w.mu.Unlock()
	}
}

// Flush waits until the lines taken so far are written, at most for the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	written := make(chan struct{})
	go func() { // ends when out takes the lines, or with the program
		defer close(written)
		w.mu.Lock()
		defer w.mu.Unlock()
		for w.writing || len(w.buffered) > 0 {
			w.idle.Wait()
		}
	}()
	select {
	case <-written:
	case <-time.After(timeout):
	}
}
