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
	maxMessageBytes = 4 << 20                // bytes of one message
	messageTimeout  = 500 * time.Millisecond // from the first byte of a message to its last
)

// errStalled ends a call whose message was begun and not completed in time.
var errStalled = errors.New("a message was begun and not ended")

// unusableError is an answer without a usable update: discovery is reachable and may have newer data.
type unusableError struct{ error }

func (e unusableError) Unwrap() error { return e.error }

// call is one watch request that is open.
type call struct {
	startedAt time.Time
	received  bool // it has brought an update or a heartbeat
	cancel    context.CancelCauseFunc
}

// event is what a call reports: an update, progress within one, its end, or else a heartbeat.
type event struct {
	call     *call
	update   *Update
	list     *subset.List // of a whole list, staged, where a subset is used
	entries  int          // of the update, where a subset is used
	progress bool
	err      error // the end of the call
}

// follow makes a watch request and emits each update and heartbeat until the call ends. emit returns false
// once nobody receives. end cancels ctx.
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

// open makes the request of a watch. An answer that is not 200 is an unusableError.
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

// readError classifies an error of reading a message. ended reports that the connection has ended.
func readError(ctx context.Context, connEnded bool, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return unusableError{cause}
	}
	if !connEnded {
		return unusableError{err}
	}
	return err
}

// messages reads the body of a watch: JSON objects, on one line or indented, with empty lines between
// them as heartbeats. It bounds the size and the duration of a message.
type messageReader struct {
	body      io.Reader
	heartbeat func()
	timer     *time.Timer // runs while a message is incomplete
	inMessage bool        // a message is incomplete
	connEnded bool        // the connection has ended
	bytesLeft int         // bytes that the message may still have
}

// Read passes bytes on. An empty line within a message is no heartbeat.
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
			return 0, fmt.Errorf("a message has over %d bytes", maxMessageBytes)
		}
	default:
		m.heartbeat()
	}
	return n, err
}

func (m *messageReader) beginMessage(n int) {
	m.inMessage, m.bytesLeft = true, maxMessageBytes-n
	m.timer.Reset(messageTimeout)
}

// completed takes the end of a message; rest is what was read after it.
func (m *messageReader) messageCompleted(rest []byte) {
	m.timer.Stop()
	m.inMessage = false
	if len(bytes.TrimSpace(rest)) > 0 {
		m.beginMessage(len(rest))
	}
}
