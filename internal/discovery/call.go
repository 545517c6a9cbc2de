package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sloestile/fleet/subset"
)

const (
	maxMessageBytes = 4 << 20 // size of one message
	// A message must bring MinProgressBytes in each ProgressInterval until it is complete, so that a long list has the
	// time that it takes on a slow link or core, and must be complete within messageTimeout. By then the session has
	// opened another call beside it.
	messageTimeout = stallTimeout
)

// errStalled is the cause with which a call is canceled whose message was not completed in time.
var errStalled = errors.New("a message was not completed in time")

// unusableError reports a response without a usable update: discovery is reachable and may have newer data.
type unusableError struct{ error }

func (e unusableError) Unwrap() error { return e.error }

// call is one open watch request.
type call struct {
	startedAt time.Time
	received  bool // an update or a heartbeat has arrived
	cancel    context.CancelCauseFunc
}

// event is a report of a call: an update, progress within an update, or the end of the call. One with none of these
// is a heartbeat.
type event struct {
	call     *call
	update   *Update
	list     *subset.List // staged entries of a complete list, if a subset is used; else nil
	entries  int          // number of entries in the update, if a subset is used
	progress bool
	err      error // reason for the end of the call; nil while it is open
}

// followWatch makes a watch request and emits each update and heartbeat until the call ends. emit returns false once
// the call has been canceled. cancel cancels ctx.
func followWatch(ctx context.Context, client *http.Client, url string, cancel context.CancelCauseFunc, emit func(event) bool) error {
	resp, err := openWatch(ctx, client, url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := newMessageReader(resp.Body, func() { emit(event{}) }, func() { cancel(errStalled) })
	defer reader.stopTimers()
	for dec := json.NewDecoder(reader); ; {
		var u Update
		if err := dec.Decode(&u); err != nil {
			return readError(ctx, reader.connEnded, err)
		}
		rest, err := io.ReadAll(dec.Buffered())
		if err != nil {
			return err
		}
		reader.messageCompleted(rest)
		if !emit(event{update: &u}) {
			return context.Cause(ctx)
		}
	}
}

// openWatch makes a watch request. It returns an unusableError for any response status but 200.
func openWatch(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, unusableError{fmt.Errorf("discovery answered %s", resp.Status)}
	}
	return resp, nil
}

// readError classifies an error from reading a message. It returns an unusableError if the message stalled or if the
// error occurred while the connection was still open, as connEnded reports.
func readError(ctx context.Context, connEnded bool, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return unusableError{cause}
	}
	if !connEnded {
		return unusableError{err}
	}
	return err
}

// messageReader reads the response body of a watch: JSON objects, on one line or indented, with empty lines between
// them as heartbeats. It bounds the size of a message and the time that it takes.
type messageReader struct {
	body          io.Reader
	heartbeat     func()
	progressTimer *time.Timer // runs until the next MinProgressBytes of an incomplete message have arrived
	messageTimer  *time.Timer // runs while a message is incomplete
	inMessage     bool        // a message has begun and is incomplete
	connEnded     bool        // the connection has ended
	bytesLeft     int         // bytes that the message may still take
	sinceProgress int         // bytes of the message since the progress timer was last reset
}

// newMessageReader returns a reader of body that calls stalled when a message misses a deadline.
func newMessageReader(body io.Reader, heartbeat, stalled func()) *messageReader {
	m := &messageReader{body: body, heartbeat: heartbeat, bytesLeft: maxMessageBytes,
		progressTimer: time.AfterFunc(ProgressInterval, stalled), messageTimer: time.AfterFunc(messageTimeout, stalled)}
	m.stopTimers()
	return m
}

func (m *messageReader) stopTimers() {
	m.progressTimer.Stop()
	m.messageTimer.Stop()
}

// Read reads from the body and calls heartbeat for empty lines between messages. An empty line within a message is
// not a heartbeat.
func (m *messageReader) Read(b []byte) (int, error) {
	n, err := m.body.Read(b)
	m.connEnded = err != nil
	switch blank := len(bytes.TrimSpace(b[:n])) == 0; {
	case n == 0:
	case !blank && !m.inMessage:
		m.beginMessage(n)
	case m.inMessage:
		m.bytesLeft -= n
		if m.bytesLeft < 0 {
			return 0, fmt.Errorf("a message exceeds %d bytes", maxMessageBytes)
		}
		m.countProgress(n)
	default:
		m.heartbeat()
	}
	return n, err
}

// beginMessage records the first n bytes of a message and starts its timers.
func (m *messageReader) beginMessage(n int) {
	m.inMessage, m.bytesLeft, m.sinceProgress = true, maxMessageBytes-n, n
	m.progressTimer.Reset(ProgressInterval)
	m.messageTimer.Reset(messageTimeout)
}

// countProgress counts n further bytes of a message, and resets the progress timer when enough of them have arrived.
func (m *messageReader) countProgress(n int) {
	m.sinceProgress += n
	if m.sinceProgress >= MinProgressBytes {
		m.sinceProgress = 0
		m.progressTimer.Reset(ProgressInterval)
	}
}

// messageCompleted records the end of a message. rest holds the bytes that were read after it.
func (m *messageReader) messageCompleted(rest []byte) {
	m.stopTimers()
	m.inMessage = false
	if len(bytes.TrimSpace(rest)) > 0 {
		m.beginMessage(len(rest))
	}
}
