package discovery

import (
	"bytes"
	"context"
	"io"
	"time"
)

// The budget of a message that is read entry by entry: 32 KiB a second at least, for ten minutes at most. It
// is that low because many nodes may share discovery's bandwidth: a deadline that they can't keep together
// would end every transfer before its last byte, again and again.
const (
	MinProgressBytes = 16 << 10               // that a message brings at least in each ProgressEach, until it is complete
	ProgressInterval = 500 * time.Millisecond // the progress deadline within a message
	TransferTimeout  = 10 * time.Minute       // from the first byte of a message to its last
)

// bulkReader reads the body of a watch, as messages does, for lists of any length: a message has to make
// progress, and what is read ahead of its decoder is bounded. Empty lines between messages are heartbeats
// and are not passed on.
type bulkReader struct {
	body          io.Reader
	emit          func(event) bool
	progressTimer *time.Timer // for the next ProgressBytes
	transferTimer *time.Timer // for the whole message
	inMessage     bool        // a message is incomplete
	connEnded     bool        // the connection has ended
	sinceProgress int         // bytes since the last progress
	bytesRead     int64       // bytes passed on in all
	readLimit     int64       // that may be passed on until the decoder has used more of them
}

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

// Read passes bytes on.
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

// progress counts bytes of a message, its first ones too.
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
	b.progressTimer.Stop() // while the session is busy
	b.emit(event{progress: true})
	b.progressTimer.Reset(ProgressInterval)
}

// completed takes the end of a message; rest is what was read after it.
func (b *bulkReader) messageCompleted(rest []byte) {
	b.stopTimers()
	b.inMessage = false
	if len(bytes.TrimSpace(rest)) > 0 {
		b.countBytes(len(rest))
	}
}
