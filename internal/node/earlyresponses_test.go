package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/discovery"
)

// A server starts processing with the last byte of a request. A response with status 200 before that belongs to another
// request, for example as a second response to the previous one on the connection: it must not reach the client. An
// early response that rejects the request must.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	const short = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	for name, tc := range map[string]struct {
		response string
		want     int
	}{
		"status 200":            {short, http.StatusBadGateway},
		"status 200, streamed":  {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedBytes, patternBytes(2*maxBufferedBytes)), http.StatusBadGateway},
		"status 200, no length": {"HTTP/1.1 200 OK\r\n\r\nevil", http.StatusBadGateway},
		"status 500":            {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"rejected":              {"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			accepted := make(chan net.Conn, 10)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted <- c
				}
			}()
			r := newTestNode(t)
			r.updateList(discovery.Target{UID: "s-1", Endpoint: l.Addr().String(), Zone: "z1", State: "up"})
			c := r.dial()
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", postHeaders, mebibyte, patternBytes(mebibyte/2))
			serverEnd := receive(t, accepted)
			defer func() { _ = serverEnd.Close() }()
			_ = serverEnd.SetDeadline(time.Now().Add(testTimeout))
			q, err := http.ReadRequest(bufio.NewReader(serverEnd))
			require.NoError(t, err)
			_, err = io.CopyN(io.Discard, q.Body, mebibyte/4)
			require.NoError(t, err)
			go func() { _, _ = io.WriteString(serverEnd, tc.response) }() // the node does not read all of each response
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			assert.Equal(t, tc.want, resp.StatusCode)
			assert.True(t, resp.Close)
			n, err := io.Copy(io.Discard, q.Body)
			assert.Error(t, err, "%d more bytes: the node sent the rest of the request", n)
			assert.Empty(t, accepted, "the request was retried")
			r.waitForMetric("node_backend_calls_total", 0)
		})
	}
}
