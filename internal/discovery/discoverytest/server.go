// Package discoverytest provides a discovery service for tests.
package discoverytest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Server is a discovery service that sends what the test writes to Chunks.
type Server struct {
	*httptest.Server
	Requests chan string // request URI of each watch
	Chunks   chan string // parts of the response body to send; "" ends the watch
	quit     chan struct{}
}

// NewServer starts a server that is closed at the end of the test.
func NewServer(t *testing.T) *Server {
	s := &Server{Requests: make(chan string, 100), Chunks: make(chan string, 100), quit: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(func() { close(s.quit); s.Close() })
	return s
}

// serve answers a watch with the chunks until an empty one, or the end of the watch or of the test.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.Requests <- r.URL.RequestURI()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-s.Chunks:
			if line == "" {
				return
			}
			_, _ = io.WriteString(w, line)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		case <-s.quit:
			return
		}
	}
}

// Addr returns the host:port of the server.
func (s *Server) Addr() string { return s.Listener.Addr().String() }
