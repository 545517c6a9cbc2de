package discovery

import (
	"bytes"
	"context"
	"io"
	"time"
)

// Progress requirements for a message that is read entry by entry: at least 32 KiB/s, for at most ten minutes. The
// rate is this low because many nodes may share discovery's bandwidth: with a deadline that they can't all meet,
// every transfer would be canceled before its last byte, again and again.
const (
	MinProgressBytes = 16 << 10               // bytes required within each ProgressInterval of an incomplete message
	ProgressInterval = 500 * time.Millisecond // progress deadline within a message
	TransferTimeout  = 10 * time.Minute       // maximum time from the first byte of a message to its last
)

// bulkReader reads the response body of a watch, like messageReader, but for lists of any length. Instead of the size
// of a message it bounds the time without progress and the bytes read ahead of the decoder. Empty lines between
// messages are heartbeats; it reports them and does not return them to the decoder.
type bulkReader struct {
	body          io.Reader
	emit          func(event) bool
	progressTimer *time.Timer // runs until the next MinProgressBytes have arrived
	transferTimer *time.Timer // runs until the message is complete
	inMessage     bool        // a message has begun and is incomplete
	connEnded     bool        // the connection has ended
	sinceProgress int         // bytes of the message since the progress timer was last reset
	bytesRead     int64       // bytes returned to the decoder since the start of the watch
	readLimit     int64       // maximum of bytesRead; the decoder raises it as it consumes input
}

// newBulkReader returns a reader of body. It calls cancel with errStalled when a message misses a deadline, and emit
// for each heartbeat and each progress within a message.
func newBulkReader(body io.Reader, cancel context.CancelCauseFunc, emit func(event) bool) *bulkReader {
	stalled := func() { cancel(errStalled) }
	b := &bulkReader{body: body, emit: emit, progressTimer: time.AfterFunc(ProgressInterval, stalled), transferTimer: time.AfterFunc(TransferTimeout, stalled)}
	b.stopTimers()
	return b
}

func (b *bulkReader) stopTimers() {
	b.progressTimer.Stop()
	b.transferTimer.Stop()
}

// Read reads from the body and skips heartbeats. It returns an *EntrySizeError at the read limit.
func (b *bulkReader) Read(p []byte) (int, error) {
	if b.bytesRead >= b.readLimit {
		return 0, &EntrySizeError{MaxBytes: maxEntryBytes}
	}
	p = p[:min(int64(len(p)), b.readLimit-b.bytesRead)]
	for {
		n, err := b.body.Read(p)
		b.connEnded = err != nil
		if !b.inMessage && len(bytes.TrimSpace(p[:n])) == 0 {
			if n > 0 {
				b.emit(event{})
			}
			if err != nil {
				return 0, err
			}
			continue
		}
		b.bytesRead += int64(n)
		b.countBytes(n)
		return n, err
	}
}

// countBytes counts n bytes of a message, including its first ones, and resets the progress timer when enough of them
// have arrived.
func (b *bulkReader) countBytes(n int) {
	if !b.inMessage {
		b.inMessage, b.sinceProgress = true, n
		b.progressTimer.Reset(ProgressInterval)
		b.transferTimer.Reset(TransferTimeout)
		return
	}
	b.sinceProgress += n
	if b.sinceProgress < MinProgressBytes {
		return
	}
	b.sinceProgress = 0
	b.progressTimer.Stop() // the time in which the session handles the event does not count
	b.emit(event{progress: true})
	b.progressTimer.Reset(ProgressInterval)
}

// messageCompleted records the end of a message. rest holds the bytes that were read after it.
func (b *bulkReader) messageCompleted(rest []byte) {
	b.stopTimers()
	b.inMessage = false
	if len(bytes.TrimSpace(rest)) > 0 {
		b.countBytes(len(rest))
	}
}
