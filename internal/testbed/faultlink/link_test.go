package faultlink

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const soon = 300 * time.Millisecond

// pair is a path with one connection across it.
func pair(t *testing.T) (p *Path, l *Listener, dialed net.Conn, taken *Conn) {
	t.Helper()
	p = NewPath(0, 1, 0)
	l, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	dialed, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return p, l, dialed, c.(*Conn)
}

// While a path is silent a new connection never comes up, as to a machine that vanished; after it,
// connections come up again.
func TestSilentPathTakesNoConnection(t *testing.T) {
	p, l, _, _ := pair(t)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	end := p.Begin(Trouble{Drop: true})
	// The first to come may still find the queue open; it is silent then.
	var err error
	for range 3 {
		var c net.Conn
		if c, err = net.DialTimeout("tcp", l.Addr().String(), soon); err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("a connection to a silent machine: %v, wanted a time-out", err)
	}
	end()
	c, err := net.DialTimeout("tcp", l.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for {
		select {
		case a := <-accepted:
			if a.RemoteAddr().String() == c.LocalAddr().String() {
				return
			}
			_ = a.Close()
		case <-time.After(5 * time.Second):
			t.Fatal("the connection after the silence is not accepted")
		}
	}
}

// A listener that is closed while nothing passes ends its accepting.
func TestListenerClosesWhileSilent(t *testing.T) {
	p, l, _, _ := pair(t)
	p.Begin(Trouble{Drop: true})
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	_ = l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("accepting goes on after the close")
	}
}

// An open connection stays open and silent, in the directions that are held, and goes on after.
func TestHeldDirectionIsSilent(t *testing.T) {
	p, _, dialed, taken := pair(t)
	end := p.Begin(Trouble{Drop: true, Down: true})
	if _, err := dialed.Write([]byte("up")); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 8)
	if n, err := taken.Read(b); err != nil || string(b[:n]) != "up" {
		t.Fatalf("upwards: %q, %v", b[:n], err)
	}
	go func() { _, _ = taken.Write([]byte("down")) }()
	_ = dialed.SetReadDeadline(time.Now().Add(soon))
	if n, err := dialed.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("downwards came %q, %v while held", b[:n], err)
	}
	end()
	_ = dialed.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := dialed.Read(b); err != nil || string(b[:n]) != "down" {
		t.Fatalf("downwards: %q, %v after the hold", b[:n], err)
	}
}

func TestResetIsSeenAsReset(t *testing.T) {
	p, _, dialed, _ := pair(t)
	p.Reset()
	_ = dialed.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := dialed.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read %v, wanted a reset", err)
	}
}

func TestDelayIsKept(t *testing.T) {
	p, _, dialed, taken := pair(t)
	const delay = 50 * time.Millisecond
	p.Begin(Trouble{Delay: delay})
	from := time.Now()
	_, _ = dialed.Write([]byte("x"))
	if _, err := taken.Read(make([]byte, 1)); err != nil || time.Since(from) < delay {
		t.Fatalf("came after %v, %v; the path takes %v", time.Since(from), err, delay)
	}
}

// A forwarder carries both protocols, loses datagrams as it is told, and leaves nothing behind.
func TestForwarderCarriesBothProtocols(t *testing.T) {
	defer goleak.VerifyNone(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}
	}()
	addr := echo.Addr().String()
	udpAddr, _ := net.ResolveUDPAddr("udp", addr)
	udp, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = udp.Close() }()
	go func() {
		b := make([]byte, 64)
		for {
			n, from, err := udp.ReadFromUDP(b)
			if err != nil {
				return
			}
			_, _ = udp.WriteToUDP(b[:n], from)
		}
	}()
	p := NewPath(0, 1, time.Millisecond)
	f, err := p.Forward("127.0.0.1:0", addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, network := range []string{"tcp", "udp"} {
		c, err := net.Dial(network, f.tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("there and back"))
		b := make([]byte, 64)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := c.Read(b); err != nil || string(b[:n]) != "there and back" {
			t.Errorf("%s: %q, %v", network, b[:n], err)
		}
		if network == "udp" {
			p.Begin(Trouble{Loss: 1})
			_, _ = c.Write([]byte("lost"))
			_ = c.SetReadDeadline(time.Now().Add(soon))
			if n, err := c.Read(b); err == nil {
				t.Errorf("a lost datagram came back as %q", b[:n])
			}
		}
		_ = c.Close()
	}
}

// A dial across a silent path waits until it passes or the caller's time is up.
func TestDialAcrossSilence(t *testing.T) {
	p, l, _, _ := pair(t)
	p.Begin(Trouble{Drop: true})
	ctx, cancel := context.WithTimeout(t.Context(), soon)
	defer cancel()
	if _, err := p.Dial(ctx, l.Addr().String()); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("dial: %v, wanted the end of the caller's time", err)
	}
}
