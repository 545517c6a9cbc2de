package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// openTransport opens a transport that listens on a free port and answers a call with the caller's name, a space and
// the call's body.
func openTransport(t *testing.T, self string, dialAddresses map[string]string) *Transport {
	transport, err := Open(Config{Label: "f", Name: self, ListenAddress: "127.0.0.1:0", DialAddresses: dialAddresses,
		HandleCall: func(from string, body []byte) []byte { return append([]byte(from+" "), body...) }})
	require.NoError(t, err)
	transport.config.ListenAddress = transport.listener.Addr().String()
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

// Streams that send nothing, or no valid header, are closed within 3 s even if there are many, and calls are answered
// meanwhile. Without a limit, such streams would hold the descriptors and goroutines of the voter. A call to another
// name fails.
func TestStreamsWithoutValidHeaderAreClosed(t *testing.T) {
	a := openTransport(t, "a", nil)
	var conns []net.Conn
	for i := range 3 * maxUnidentifiedStreams {
		c, err := net.Dial("tcp", a.config.ListenAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		if i%3 == 1 {
			_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		}
		conns = append(conns, c)
	}
	b := openTransport(t, "b", nil)
	body := bytes.Repeat([]byte{1}, MaxBodyBytes-2)
	out, err := b.Call(context.Background(), "a", a.config.ListenAddress, body)
	require.NoError(t, err)
	require.Equal(t, append([]byte("b "), body...), out)
	_, err = b.Call(context.Background(), "other", a.config.ListenAddress, nil)
	require.ErrorAs(t, err, new(*UnreachableError))
	for _, c := range conns {
		_ = c.SetDeadline(time.Now().Add(headerTimeout + time.Second))
		_, err := c.Read(make([]byte, 1))
		var netErr net.Error
		require.False(t, err == nil || asNetError(err, &netErr) && netErr.Timeout(), "%v", err)
	}
	require.GreaterOrEqual(t, a.RejectedStreams(), uint64(len(conns)))
}

// asNetError is errors.As for a net.Error.
func asNetError(err error, target *net.Error) bool {
	return errors.As(err, target)
}

// A stream for an identity, opened with the configured dial address, is accepted by that identity. One for another
// identity at the same address is closed: a message for a voter that has lost its disk must not reach its new identity.
// A stalled voter opens no streams and closes those that it has.
func TestStreamReachesOnlyItsIdentity(t *testing.T) {
	a := openTransport(t, "a", nil)
	b := openTransport(t, "b", map[string]string{"192.0.2.1:1": a.config.ListenAddress})
	to, from := a.NewStreamLayer("a#1"), b.NewStreamLayer("b#1")
	defer func() { _ = to.Close() }()
	c, err := from.Dial(Address("a#1", "192.0.2.1:1"), time.Second)
	require.NoError(t, err)
	_, _ = c.Write([]byte("x"))
	accepted, err := to.Accept()
	require.NoError(t, err)
	buf := make([]byte, 1)
	_, err = io.ReadFull(accepted, buf)
	require.NoError(t, err)
	other, err := from.Dial(Address("a#0", "192.0.2.1:1"), time.Second)
	require.NoError(t, err)
	_ = other.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = other.Read(buf)
	require.NotErrorIs(t, err, net.ErrClosed)
	require.Error(t, err)
	a.SetStalled(true)
	_, err = to.Dial(Address("b#1", b.config.ListenAddress), time.Second)
	require.ErrorIs(t, err, errStalled)
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = c.Read(buf)
	require.Error(t, err)
	require.NoError(t, from.Close())
}
