package client

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/faultlink"
)

// A close over a request that the node has read is told from one that the request crosses, whichever
// came first, by what the kernel says.
func TestUnreadRequestsAreToldFromDropped(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	for _, x := range []struct {
		name   string
		node   func(c net.Conn, wrote, closed chan struct{})
		unread bool
	}{
		{"read, then closed", func(c net.Conn, _, closed chan struct{}) {
			_, _ = io.ReadFull(c, make([]byte, len(request)))
			_ = c.Close()
			close(closed)
		}, false},
		{"closed over it", func(c net.Conn, wrote, closed chan struct{}) {
			<-wrote
			_ = c.Close()
			close(closed)
		}, true},
		{"closed before it", func(c net.Conn, _, closed chan struct{}) {
			_ = c.Close()
			close(closed)
		}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			wrote, closed := make(chan struct{}), make(chan struct{})
			go func() {
				if c, err := l.Accept(); err == nil {
					x.node(c, wrote, closed)
				}
			}()
			n := &Node{Address: l.Addr().String(), Path: faultlink.NewPath(0, 0, 0)}
			c, err := n.dial(t.Context())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			if x.name == "closed before it" {
				<-closed
			}
			_, err = io.WriteString(c, request)
			require.NoError(t, err)
			close(wrote)
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = c.in.Peek(1)
			require.Error(t, err)
			assert.Equal(t, x.unread, c.unread(err), "%v", err)
		})
	}
}
