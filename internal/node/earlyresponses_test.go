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

// An app server begins its work with a request's last byte. A good answer that comes before is of
// another request, such as a second one to the one before on its connection, and is passed on to
// nobody; one that turns the request away is.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	const short = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	for name, tc := range map[string]struct {
		response string
		want     int
	}{
		"good":        {short, http.StatusBadGateway},
		"good, long":  {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedBytes, patternBytes(2*maxBufferedBytes)), http.StatusBadGateway},
		"endless":     {"HTTP/1.1 200 OK\r\n\r\nevil", http.StatusBadGateway},
		"failed":      {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"turned away": {"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
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
			go func() { _, _ = io.WriteString(serverEnd, tc.response) }() // the node does not take all of each
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			assert.Equal(t, tc.want, resp.StatusCode)
			assert.True(t, resp.Close)
			n, err := io.Copy(io.Discard, q.Body)
			assert.Error(t, err, "%d more bytes: the request became whole", n)
			assert.Empty(t, accepted, "sent again")
			r.waitForMetric("node_backend_calls_total", 0)
		})
	}
}
