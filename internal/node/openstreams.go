package node

import (
	"log/slog"
	"sync"
	"time"
)

// maxLoggedStreams is the number of streams of which a log line of their own is written when a drain waits for them.
const maxLoggedStreams = 20

// openStream is a streamed response that is being written to its client.
type openStream struct {
	exchange  *exchange
	conn      *clientConn // nil if the client's connection is not known
	response  *responseStream
	startedAt time.Time // time at which the response began to be written
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
	mu   sync.Mutex
	open map[*openStream]struct{}
}

func newOpenStreams() *openStreams { return &openStreams{open: make(map[*openStream]struct{})} }

// begin adds a stream. The returned function removes it.
func (o *openStreams) begin(s *openStream) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[s] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, s)
	}
}

// count returns the number of open streams.
func (o *openStreams) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
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
