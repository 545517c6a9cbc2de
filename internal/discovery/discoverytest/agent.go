// Package discoverytest provides a discovery service for tests.
package discoverytest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Agent is a discovery service that sends what the test writes to Tell.
type Agent struct {
	*httptest.Server
	Asked chan string // request URI of each watch
	Tell  chan string // parts of the response body to send; "" ends the watch
	quit  chan struct{}
}

// NewAgent starts an agent that is closed at the end of the test.
func NewAgent(t *testing.T) *Agent {
	a := &Agent{Asked: make(chan string, 100), Tell: make(chan string, 100), quit: make(chan struct{})}
	a.Server = httptest.NewServer(http.HandlerFunc(a.serve))
	t.Cleanup(func() { close(a.quit); a.Close() })
	return a
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.Asked <- r.URL.RequestURI()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-a.Tell:
			if line == "" {
				return
			}
			_, _ = io.WriteString(w, line)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		case <-a.quit:
			return
		}
	}
}

// Addr returns the host:port of the agent.
func (a *Agent) Addr() string { return a.Listener.Addr().String() }
