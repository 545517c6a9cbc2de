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
	from     io.Reader
	emit     func(event) bool
	deadline *time.Timer // for the next ProgressBytes
	within   *time.Timer // for the whole message
	begun    bool        // a message is incomplete
	ended    bool        // the connection has ended
	got      int         // bytes since the last progress
	passed   int64       // bytes passed on in all
	most     int64       // that may be passed on until the decoder has used more of them
}

func newBulkReader(from io.Reader, end context.CancelCauseFunc, emit func(event) bool) *bulkReader {
	stalled := func() { end(errStalled) }
	b := &bulkReader{from: from, emit: emit, deadline: time.AfterFunc(ProgressInterval, stalled), within: time.AfterFunc(TransferTimeout, stalled)}
	b.stop()
	return b
}

func (b *bulkReader) stop() {
	b.deadline.Stop()
	b.within.Stop()
}

// Read passes bytes on.
func (b *bulkReader) Read(to []byte) (int, error) {
	if b.passed >= b.most {
		return 0, &EntrySizeError{Most: maxEntryBytes}
	}
	to = to[:min(int64(len(to)), b.most-b.passed)]
	for {
		n, err := b.from.Read(to)
		b.ended = err != nil
		if !b.begun && len(bytes.TrimSpace(to[:n])) == 0 {
			if n > 0 {
				b.emit(event{})
			}
			if err != nil {
				return 0, err
			}
			continue
		}
		b.passed += int64(n)
		b.progress(n)
		return n, err
	}
}

// progress counts bytes of a message, its first ones too.
func (b *bulkReader) progress(n int) {
	if !b.begun {
		b.begun, b.got = true, n
		b.deadline.Reset(ProgressInterval)
		b.within.Reset(TransferTimeout)
		return
	}
	b.got += n
	if b.got < MinProgressBytes {
		return
	}
	b.got = 0
	b.deadline.Stop() // while the session is busy
	b.emit(event{progress: true})
	b.deadline.Reset(ProgressInterval)
}

// completed takes the end of a message; rest is what was read after it.
func (b *bulkReader) completed(rest []byte) {
	b.stop()
	b.begun = false
	if len(bytes.TrimSpace(rest)) > 0 {
		b.progress(len(rest))
	}
}
