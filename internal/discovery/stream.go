package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"

	"sloestile/fleet/subset"
)

// Limits of a message that is read entry by entry.
const (
	maxEntryBytes = 4 << 10 // maximum size of an entry, with the bytes between it and the one before
	yieldInterval = 64      // number of entries after which the goroutine yields the processor
)

// stream reads the messages of one watch entry by entry into a selection.
type stream struct {
	selection *selection
	reader    *bulkReader
	dec       *json.Decoder
	entries   int // number of entries read of the current message
}

// staged is a message that was read. If it is a long complete list, update has no targets.
type staged struct {
	update Update
	list   *subset.List    // entries of a complete list; nil for a delta
	seen   map[string]bool // names of the fields that were read
}

// follow makes a watch request, like followWatch, and reads lists of any length.
func (s *selection) follow(ctx context.Context, client *http.Client, url string, cancel context.CancelCauseFunc, emit func(event) bool) error {
	resp, err := openWatch(ctx, client, url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := newBulkReader(resp.Body, cancel, emit)
	defer reader.stopTimers()
	r := &stream{selection: s, reader: reader, dec: json.NewDecoder(reader)}
	for {
		m, err := r.readMessage()
		if err != nil {
			return r.classifyError(ctx, resp.Request.URL.Host, err)
		}
		rest, err := io.ReadAll(r.dec.Buffered())
		if err != nil {
			return err
		}
		reader.messageCompleted(rest)
		if !emit(event{update: &m.update, list: m.list, entries: r.entries}) {
			return context.Cause(ctx)
		}
	}
}

// classifyError classifies an error from reading a message. It returns the end of the connection between two messages
// as it is, and wraps any other error in a *ListError.
func (r *stream) classifyError(ctx context.Context, address string, err error) error {
	dropped := func(err error) error { return &ListError{Address: address, Entries: r.entries, Err: err} }
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		return unusableError{dropped(&StalledError{MinBytes: MinProgressBytes, Interval: ProgressInterval, Timeout: TransferTimeout})}
	case r.reader.connEnded && r.reader.inMessage:
		return dropped(&TruncatedError{Err: err})
	case r.reader.connEnded || ctx.Err() != nil:
		return err
	}
	return unusableError{dropped(err)}
}

// readMessage reads one message. Its fields may be in any order.
func (r *stream) readMessage() (*staged, error) {
	r.entries = 0
	m := &staged{seen: make(map[string]bool, len(fields))}
	if err := r.openObject(); err != nil {
		return nil, err
	}
	for r.more() {
		if err := r.readField(m); err != nil {
			return nil, err
		}
	}
	if _, err := r.readToken(); err != nil {
		return nil, err
	}
	return m, r.stageTargets(m)
}

// stageTargets stages the entries of a complete list whose field "all" came after them.
func (r *stream) stageTargets(m *staged) error {
	if !m.update.All || m.list != nil || m.update.Targets == nil {
		return nil
	}
	m.list = r.selection.stage()
	for i := range m.update.Targets {
		if err := r.selection.add(m.list, &m.update.Targets[i]); err != nil {
			return err
		}
	}
	if len(m.update.Targets) > r.selection.maxKeptEntries {
		m.update.Targets = nil
	}
	return nil
}

// The fields of a message.
const (
	fieldRev     = "rev"
	fieldAll     = "all"
	fieldTargets = "targets"
)

var fields = []string{fieldRev, fieldAll, fieldTargets}

// readField reads the name of a field and its value. It skips unknown fields.
func (r *stream) readField(m *staged) error {
	t, err := r.readToken()
	if err != nil {
		return err
	}
	name, _ := t.(string)
	i := slices.IndexFunc(fields, func(known string) bool { return strings.EqualFold(known, name) })
	if i < 0 {
		return r.decode(new(json.RawMessage))
	}
	if m.seen[fields[i]] {
		return &MalformedError{fmt.Errorf("duplicate field %s", fields[i])}
	}
	m.seen[fields[i]] = true
	switch fields[i] {
	case fieldRev:
		return r.decode(&m.update.Rev)
	case fieldAll:
		return r.decode(&m.update.All)
	}
	return r.readTargets(m)
}

// readTargets reads the entries of a message. null is the same as no field.
func (r *stream) readTargets(m *staged) error {
	t, err := r.readToken()
	if err != nil || t == nil {
		return err
	}
	if t != json.Delim('[') {
		return &MalformedError{fmt.Errorf("targets: %v is not an array", t)}
	}
	m.update.Targets = []Target{}
	if m.update.All {
		m.list = r.selection.stage()
	}
	for r.more() {
		if err := r.readEntry(m); err != nil {
			return err
		}
	}
	_, err = r.readToken()
	return err
}

// readEntry reads one target.
func (r *stream) readEntry(m *staged) error {
	var t Target
	if err := r.decode(&t); err != nil {
		return err
	}
	if err := t.check(); err != nil {
		return &MalformedError{err}
	}
	r.entries++
	if r.entries > r.selection.maxListed {
		return &subset.TooManyError{What: "entries", Count: r.entries, Max: r.selection.maxListed}
	}
	if r.entries%yieldInterval == 0 {
		runtime.Gosched() // a long list would delay requests on a machine with few cores
	}
	if m.list == nil {
		m.update.Targets = append(m.update.Targets, t)
		return nil
	}
	if r.entries <= r.selection.maxKeptEntries {
		m.update.Targets = append(m.update.Targets, t)
	} else {
		m.update.Targets = nil
	}
	return r.selection.add(m.list, &t)
}

// openObject reads the beginning of an object.
func (r *stream) openObject() error {
	t, err := r.readToken()
	if err == nil && t != json.Delim('{') {
		err = &MalformedError{fmt.Errorf("%v is not an object", t)}
	}
	return err
}

// readToken reads the next JSON token. Like more and decode it reads at most maxEntryBytes.
func (r *stream) readToken() (json.Token, error) {
	r.extendReadLimit()
	t, err := r.dec.Token()
	return t, r.wrapMalformed(err)
}

// more reports whether the current array or object has another element.
func (r *stream) more() bool {
	r.extendReadLimit()
	return r.dec.More()
}

// decode reads the next JSON value into v.
func (r *stream) decode(v any) error {
	r.extendReadLimit()
	return r.wrapMalformed(r.dec.Decode(v))
}

// extendReadLimit allows maxEntryBytes beyond the input that the decoder has consumed.
func (r *stream) extendReadLimit() { r.reader.readLimit = r.dec.InputOffset() + maxEntryBytes }

// wrapMalformed wraps an error of JSON syntax or type in a *MalformedError and returns any other error as it is.
func (r *stream) wrapMalformed(err error) error {
	_, isSyntaxError := errors.AsType[*json.SyntaxError](err)
	_, isTypeError := errors.AsType[*json.UnmarshalTypeError](err)
	if isSyntaxError || isTypeError {
		return &MalformedError{err}
	}
	return err
}
