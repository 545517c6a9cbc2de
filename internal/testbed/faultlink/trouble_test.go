package faultlink

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// ends is both ends of connections and datagrams that cross a forwarder.
type ends struct {
	t    *testing.T
	path *Path
	f    *Forwarder
	tcp  net.Listener
	udp  *net.UDPConn
}

func forwarder(t *testing.T) *ends {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	e := &ends{t: t, path: NewPath(0, 1, 0)}
	var err error
	e.tcp, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.tcp.Close() })
	at, err := net.ResolveUDPAddr("udp", e.tcp.Addr().String())
	require.NoError(t, err)
	e.udp, err = net.ListenUDP("udp", at)
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.udp.Close() })
	e.f, err = e.path.Forward("127.0.0.1:0", e.tcp.Addr().String(), nil)
	require.NoError(t, err)
	t.Cleanup(e.f.Close)
	return e
}

// stream gives both ends of a connection that has come up.
func (e *ends) stream() (near, far net.Conn) {
	e.t.Helper()
	near, err := net.Dial("tcp", e.f.Address())
	require.NoError(e.t, err)
	e.t.Cleanup(func() { _ = near.Close() })
	far, err = e.tcp.Accept()
	require.NoError(e.t, err)
	e.t.Cleanup(func() { _ = far.Close() })
	return near, far
}

// datagrams gives the near end of datagrams, with one that has come to the far end.
func (e *ends) datagrams() net.Conn {
	e.t.Helper()
	c, err := net.Dial("udp", e.f.Address())
	require.NoError(e.t, err)
	e.t.Cleanup(func() { _ = c.Close() })
	return c
}

// heard tells what comes within a while; nothing is nil.
func heard(t *testing.T, c net.Conn, within time.Duration) []byte {
	t.Helper()
	b := make([]byte, 64)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	n, err := c.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	require.NoError(t, err)
	return b[:n]
}

const enough = 5 * time.Second

// Of connections some are reset, open ones at once and new ones as they come; the others go on.
func TestPartOfTheConnectionsIsReset(t *testing.T) {
	e := forwarder(t)
	const n = 100
	var near, far [n]net.Conn
	for i := range n {
		near[i], far[i] = e.stream()
	}
	end := e.path.Begin(Trouble{Reset: true, Part: 0.5})
	reset := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(enough))
		_, err := c.Read(make([]byte, 1))
		require.True(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
		return err != nil
	}
	open := 0
	for i := range n {
		_, _ = far[i].Write([]byte("x"))
		if !reset(near[i]) {
			open++
		}
	}
	require.InDelta(t, n/2, open, n/4)
	go func() {
		for {
			c, err := e.tcp.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("x"))
			defer func() { _ = c.Close() }()
		}
	}()
	open = 0
	for range n {
		c, err := net.Dial("tcp", e.f.Address())
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		if !reset(c) {
			open++
		}
	}
	require.InDelta(t, n/2, open, n/4)
	end()
	c, err := net.Dial("tcp", e.f.Address())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.False(t, reset(c))
	_ = e.tcp.Close()
}

// What drops in one direction is silent in that one alone: open connections stay open, and packets
// of the other direction come. Where two troubles hold, the end of one leaves the other.
func TestOneDirectionDrops(t *testing.T) {
	e := forwarder(t)
	near, far := e.stream()
	udp := e.datagrams()
	_, _ = udp.Write([]byte("first"))
	b := make([]byte, 64)
	_, back, err := e.udp.ReadFrom(b)
	require.NoError(t, err)
	one, other := e.path.Begin(Trouble{Drop: true, Up: true}), e.path.Begin(Trouble{Drop: true, Up: true})
	_, _ = near.Write([]byte("up"))
	_, _ = udp.Write([]byte("lost"))
	_, _ = far.Write([]byte("down"))
	_, _ = e.udp.WriteTo([]byte("answer"), back)
	require.Equal(t, "down", string(heard(t, near, enough)))
	require.Equal(t, "answer", string(heard(t, udp, enough)))
	one()
	require.Nil(t, heard(t, far, soon))
	other()
	require.Equal(t, "up", string(heard(t, far, enough)))
	_, _ = udp.Write([]byte("after"))
	_ = e.udp.SetReadDeadline(time.Now().Add(enough))
	k, _, err := e.udp.ReadFrom(b)
	require.NoError(t, err)
	require.Equal(t, "after", string(b[:k]), "what dropped is lost, not late")
}

// A stalled link takes what its buffer and the kernel's hold, then its sender waits; a new connection
// comes up. When it is over all comes, in order, and so does its end.
func TestStalledLinkKeepsAllWithinBounds(t *testing.T) {
	e := forwarder(t)
	end := e.path.Begin(Trouble{Stall: true})
	near, far := e.stream()
	udp := e.datagrams()
	for range 2 * udpCopies {
		_, _ = udp.Write([]byte("kept"))
	}
	sum, sent := sha256.New(), 0
	for block := []byte(nil); ; block = bytes.Repeat([]byte{byte(sent >> 16)}, 64<<10) {
		_ = near.SetWriteDeadline(time.Now().Add(soon))
		n, err := near.Write(block)
		sum.Write(block[:n])
		sent += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		require.NoError(t, err)
		require.Less(t, sent, HeldMost+16<<20, "there is no backpressure")
	}
	require.Greater(t, sent, HeldMost-readMost)
	require.Nil(t, heard(t, far, soon))
	_ = e.udp.SetReadDeadline(time.Now().Add(soon))
	_, _, err := e.udp.ReadFrom(make([]byte, 64))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	end()
	_ = near.(*net.TCPConn).CloseWrite()
	_ = far.SetReadDeadline(time.Now().Add(enough))
	got := sha256.New()
	n, err := io.Copy(got, far)
	require.NoError(t, err)
	require.EqualValues(t, sent, n)
	require.Equal(t, sum.Sum(nil), got.Sum(nil))
	count := 0
	for b := make([]byte, 64); ; count++ {
		_ = e.udp.SetReadDeadline(time.Now().Add(soon))
		if _, _, err := e.udp.ReadFrom(b); err != nil {
			break
		}
	}
	require.Equal(t, udpCopies, count)
}

// A trickle lets its bytes a second through, on both kinds of connections and for datagrams.
func TestTrickle(t *testing.T) {
	e := forwarder(t)
	near, far := e.stream()
	udp := e.datagrams()
	p, _, dialed, taken := pair(t)
	const rate, size = 4000, 1600
	e.path.Begin(Trouble{TricklePS: rate})
	p.Begin(Trouble{TricklePS: rate})
	least := time.Duration(float64(size) / rate * float64(time.Second))
	for name, way := range map[string][2]net.Conn{"forwarded": {near, far}, "back": {far, near}, "read": {dialed, taken}, "written": {taken, dialed}} {
		from := time.Now()
		go func() { _, _ = way[0].Write(make([]byte, size)) }()
		_ = way[1].SetReadDeadline(time.Now().Add(enough))
		_, err := io.ReadFull(way[1], make([]byte, size))
		require.NoError(t, err, name)
		took := time.Since(from)
		require.True(t, took >= least*9/10 && took < 3*least, "%s took %v", name, took)
	}
	from := time.Now()
	for range 4 {
		_, _ = udp.Write(make([]byte, size/4))
	}
	_ = e.udp.SetReadDeadline(time.Now().Add(enough))
	for range 4 {
		_, _, err := e.udp.ReadFrom(make([]byte, size))
		require.NoError(t, err)
	}
	took := time.Since(from)
	require.True(t, took >= least*9/10 && took < 3*least, "datagrams took %v", took)
}

// With a latency of seconds bytes are under way side by side: each piece comes that much later than
// it was sent, however many are sent meanwhile.
func TestLatencyIsNoBoundOfThroughput(t *testing.T) {
	e := forwarder(t)
	near, far := e.stream()
	const lag, pieces = 600 * time.Millisecond, 10
	e.path.Begin(Trouble{Delay: lag})
	sent := make(chan time.Time, pieces)
	go func() {
		for range pieces {
			sent <- time.Now()
			_, _ = near.Write([]byte("x"))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	for range pieces {
		require.Equal(t, "x", string(heard(t, far, enough)))
		took := time.Since(<-sent)
		require.GreaterOrEqual(t, took, lag)
		require.Less(t, took, pieces/2*lag)
	}
}
