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

func open(t *testing.T, self string, via map[string]string) *Transport {
	l, err := Open(Config{Label: "f", Name: self, ListenAddress: "127.0.0.1:0", DialAddresses: via,
		HandleCall: func(from string, body []byte) []byte { return append([]byte(from+" "), body...) }})
	require.NoError(t, err)
	l.config.ListenAddress = l.listener.Addr().String()
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Whoever sends nothing, something else, or another fleet's head is closed within 3 s, also when
// many come; and calls are answered meanwhile.
func TestStrangersAreClosed(t *testing.T) {
	a := open(t, "a", nil)
	var conns []net.Conn
	for i := range 3 * maxUnidentified {
		c, err := net.Dial("tcp", a.config.ListenAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		if i%3 == 1 {
			_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		}
		conns = append(conns, c)
	}
	b := open(t, "b", nil)
	body := bytes.Repeat([]byte{1}, MaxBodyBytes-2)
	out, err := b.Call(context.Background(), "a", a.config.ListenAddress, body)
	require.NoError(t, err)
	require.Equal(t, append([]byte("b "), body...), out)
	_, err = b.Call(context.Background(), "other", a.config.ListenAddress, nil)
	require.ErrorAs(t, err, new(*UnreachableError))
	for _, c := range conns {
		_ = c.SetDeadline(time.Now().Add(headerTimeout + time.Second))
		_, err := c.Read(make([]byte, 1))
		var late net.Error
		require.False(t, err == nil || errorsAs(err, &late) && late.Timeout(), "%v", err)
	}
	require.GreaterOrEqual(t, a.RejectedStreams(), uint64(len(conns)))
}

func errorsAs(err error, to *net.Error) bool {
	return errors.As(err, to)
}

// A stream for an identity goes there and nowhere else, by the address that this node has.
func TestStreamsAreForAnIdentity(t *testing.T) {
	a := open(t, "a", nil)
	b := open(t, "b", map[string]string{"192.0.2.1:1": a.config.ListenAddress})
	to, from := a.NewStreamLayer("a#1"), b.NewStreamLayer("b#1")
	defer func() { _ = to.Close() }()
	c, err := from.Dial(Address("a#1", "192.0.2.1:1"), time.Second)
	require.NoError(t, err)
	_, _ = c.Write([]byte("x"))
	got, err := to.Accept()
	require.NoError(t, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(got, one)
	require.NoError(t, err)
	other, err := from.Dial(Address("a#0", "192.0.2.1:1"), time.Second)
	require.NoError(t, err)
	_ = other.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = other.Read(one)
	require.NotErrorIs(t, err, net.ErrClosed)
	require.Error(t, err)
	a.SetStalled(true)
	_, err = to.Dial(Address("b#1", b.config.ListenAddress), time.Second)
	require.ErrorIs(t, err, errStalled)
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = c.Read(one)
	require.Error(t, err)
	require.NoError(t, from.Close())
}
