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
	maxMessageBytes = 4 << 20                // size of one message
	messageTimeout  = 500 * time.Millisecond // maximum time from the first byte of a message to its last
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
	reader := &messageReader{body: resp.Body, bytesLeft: maxMessageBytes, heartbeat: func() { emit(event{}) },
		timer: time.AfterFunc(messageTimeout, func() { cancel(errStalled) })}
	reader.timer.Stop()
	defer reader.timer.Stop()
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
	body      io.Reader
	heartbeat func()
	timer     *time.Timer // runs while a message is incomplete
	inMessage bool        // a message has begun and is incomplete
	connEnded bool        // the connection has ended
	bytesLeft int         // bytes that the message may still take
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
	default:
		m.heartbeat()
	}
	return n, err
}

// beginMessage records the first n bytes of a message and starts its timer.
func (m *messageReader) beginMessage(n int) {
	m.inMessage, m.bytesLeft = true, maxMessageBytes-n
	m.timer.Reset(messageTimeout)
}

// messageCompleted records the end of a message. rest holds the bytes that were read after it.
func (m *messageReader) messageCompleted(rest []byte) {
	m.timer.Stop()
	m.inMessage = false
	if len(bytes.TrimSpace(rest)) > 0 {
		m.beginMessage(len(rest))
	}
}
