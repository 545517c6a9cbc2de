package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/config"
)

// Bursts of clients send a request with pipelined data and disconnect, by a close or a reset, while the server does not
// respond. They use no more descriptors than the limit, all their state is released after they disconnected, and the
// next client is served.
func TestBurstsOfDisconnects(t *testing.T) {
	r := newTestNodeWith(t, func(c *config.Config) { c.MaxSockets = 256 })
	held := make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) { <-held; serveOK(w, q) })
	release := sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	r.updateList(a.target("s-1", 0))
	f := r.node.front
	for burst := range 3 {
		var conns []net.Conn
		for i := range 60 {
			c := r.dial()
			conns = append(conns, c)
			_, _ = io.WriteString(c, strings.Replace(rawGet, "raw", fmt.Sprintf("id-%d-%d", burst, i), 1)+strings.Repeat("x", maxRequestHeaderBytes/2))
		}
		r.waitUntil("all requests are held", func() bool {
			held := 0
			for _, x := range r.node.loop.exchanges {
				if !x.done {
					held++
				}
			}
			return held == len(conns)
		})
		left := time.Now()
		for i, c := range conns {
			if i%2 == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
		r.waitUntil("all disconnects are detected", func() bool {
			for _, x := range r.node.loop.exchanges {
				if !x.done {
					return false
				}
			}
			return f.openConns.Load() == 0
		})
		assert.Less(t, time.Since(left), 5*time.Second, "the disconnects were not detected before the deadline of 7 s")
		assert.LessOrEqual(t, f.sockets.openConns.Load(), f.sockets.limit.Load())
	}
	assert.Less(t, a.requestCount(), 60, "attempts were started for disconnected clients")
	release()
	r.waitUntil("all requests are removed", func() bool { return len(r.node.loop.exchanges) == 0 })
	f.mu.Lock()
	assert.Empty(t, f.idleSince)
	assert.Empty(t, f.newSince)
	f.mu.Unlock()
	resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "next"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
