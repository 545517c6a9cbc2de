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

// Bounds of a message that is read entry by entry.
const (
	maxEntryBytes = 4 << 10 // bytes of an entry, with what is before it
	yieldInterval = 64      // entries after which the processor is offered to others
)

// stream reads the messages of one watch entry by entry into a selection.
type stream struct {
	selection *selection
	reader    *bulkReader
	dec       *json.Decoder
	entries   int // of the message that is read
}

// staged is a message that was read. Of a whole list that is long, update has no targets.
type staged struct {
	update Update
	list   *subset.List    // the entries of a whole list
	seen   map[string]bool // the fields that were read
}

// follow makes a watch request, as the function follow does, and reads lists of any length.
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

// failed classifies an error of reading a message. Between two messages the end of the connection is none.
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

// message reads one message. The order of its fields is free.
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

// finish stages the entries of a whole list that did not say so before them.
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

// field reads the name of a field and its value. Unknown ones are passed over.
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
		return &MalformedError{fmt.Errorf("the field %s is there twice", fields[i])}
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

// targets reads the entries of a message; null is none.
func (r *stream) readTargets(m *staged) error {
	t, err := r.readToken()
	if err != nil || t == nil {
		return err
	}
	if t != json.Delim('[') {
		return &MalformedError{fmt.Errorf("targets: %v is no array", t)}
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

// entry reads one target.
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
		return &subset.TooManyError{What: "entries", Have: r.entries, Most: r.selection.maxListed}
	}
	if r.entries%yieldInterval == 0 {
		runtime.Gosched() // a long list would hold up requests on a machine of few cores
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

// open reads the beginning of an object.
func (r *stream) openObject() error {
	t, err := r.readToken()
	if err == nil && t != json.Delim('{') {
		err = &MalformedError{fmt.Errorf("%v is no object", t)}
	}
	return err
}

// token, more and decode read on, each at most maxEntryBytes.
func (r *stream) readToken() (json.Token, error) {
	r.extendReadLimit()
	t, err := r.dec.Token()
	return t, r.wrapMalformed(err)
}

func (r *stream) more() bool {
	r.extendReadLimit()
	return r.dec.More()
}

func (r *stream) decode(v any) error {
	r.extendReadLimit()
	return r.wrapMalformed(r.dec.Decode(v))
}

func (r *stream) extendReadLimit() { r.reader.readLimit = r.dec.InputOffset() + maxEntryBytes }

// malformed tells errors of a message's form from those of reading it.
func (r *stream) wrapMalformed(err error) error {
	_, isSyntaxError := errors.AsType[*json.SyntaxError](err)
	_, isTypeError := errors.AsType[*json.UnmarshalTypeError](err)
	if isSyntaxError || isTypeError {
		return &MalformedError{err}
	}
	return err
}
