package node

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// maxLoggedStreams is the number of streams that get a log line of their own when a drain waits for them, and when it ends them.
const maxLoggedStreams = 20

// openStream is a streamed response that is being written to its client.
type openStream struct {
	exchange  *exchange
	conn      *clientConn // nil if the client's connection is not known
	response  *responseStream
	startedAt time.Time   // time at which the response began to be written
	cutOff    atomic.Bool // the end of the process has ended the response
}

// abort ends the response and its connection. The connection is reset, so that the client can tell in each form of a body
// that the response is not whole.
func (s *openStream) abort() {
	s.cutOff.Store(true)
	if s.conn != nil {
		s.conn.abort()
	}
	s.response.leave(errShutdown)
}

// logAttributes returns what is known of the stream as attributes of a log line.
func (s *openStream) logAttributes() []any {
	attributes := []any{"id", s.exchange.req.ID, "class", s.exchange.req.Class, "streamed_for", time.Since(s.startedAt).Round(time.Millisecond)}
	if receivedAt := s.exchange.receivedAt.Load(); receivedAt != nil {
		attributes = append(attributes, "open_for", time.Since(*receivedAt).Round(time.Millisecond))
	}
	return attributes
}

// openStreams holds the streamed responses that are being written to clients.
type openStreams struct {
	shutdown *shutdown
	cutOffs  *atomic.Int64 // counts the responses that endLate has ended

	mu        sync.Mutex
	open      map[*openStream]struct{}
	lateEnded bool // whether endLate was called
}

func newOpenStreams(s *shutdown, cutOffs *atomic.Int64) *openStreams {
	return &openStreams{shutdown: s, cutOffs: cutOffs, open: make(map[*openStream]struct{})}
}

// begin adds a stream. The returned function removes it. ok is false, and the response must not begin, if its request is late
// and late streams have been ended.
func (o *openStreams) begin(s *openStream) (end func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lateEnded && o.shutdown.isLate(s.exchange) {
		return nil, false
	}
	o.open[s] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, s)
	}, true
}

// endLate ends the streams of late requests, and lets none begin any more.
func (o *openStreams) endLate() {
	o.mu.Lock()
	o.lateEnded = true
	var late []*openStream
	for s := range o.open {
		if o.shutdown.isLate(s.exchange) {
			late = append(late, s)
		}
	}
	o.mu.Unlock()
	for _, s := range late {
		s.abort()
	}
	total := o.cutOffs.Add(int64(len(late)))
	for _, s := range late[:min(len(late), maxLoggedStreams)] {
		slog.Warn("response cut off: its request came late in the shutdown", append(s.logAttributes(), "total", total)...)
	}
}

// count returns the number of open streams.
func (o *openStreams) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// conns returns the connections of the open streams.
func (o *openStreams) conns() map[*clientConn]struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	conns := make(map[*clientConn]struct{}, len(o.open))
	for s := range o.open {
		conns[s.conn] = struct{}{}
	}
	return conns
}

// log writes a log line for each open stream, maxLoggedStreams at most.
func (o *openStreams) log(message string) {
	o.mu.Lock()
	var streams []*openStream
	for s := range o.open {
		if len(streams) == maxLoggedStreams {
			break
		}
		streams = append(streams, s)
	}
	o.mu.Unlock()
	for _, s := range streams {
		slog.Info(message, s.logAttributes()...)
	}
}
