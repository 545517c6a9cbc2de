package faultlink

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// HeldMost is the bytes of one direction of a stream that are under way, or kept while it stalls;
	// with more its sender waits.
	HeldMost = 4 << 20

	readMost   = 16 << 10
	chunksMost = 4096
)

func (f *Forwarder) streams() {
	defer f.done.Done()
	for {
		c, err := f.tcp.Accept()
		if err != nil {
			return
		}
		f.done.Add(1)
		go f.stream(c.(*Conn))
	}
}

func (f *Forwarder) stream(near *Conn) {
	defer f.done.Done()
	ctx, cancel := context.WithTimeout(f.ctx, dialWait)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.to)
	if err != nil {
		near.Abort()
		return
	}
	far := c.(*net.TCPConn)
	defer func() { _ = far.Close() }()
	defer func() { _ = near.Close() }()
	var both sync.WaitGroup
	// What ends with an error ends both ways at once; an end of what is sent ends one.
	abort := func() {
		_ = far.SetLinger(0)
		_ = far.Close()
		near.Abort()
	}
	tcp := near.Conn.(*net.TCPConn)
	both.Go(func() { f.oneWay(near, true, tcp, far, abort) })
	both.Go(func() { f.oneWay(near, false, far, tcp, abort) })
	both.Wait()
}

// chunk is some bytes of a stream and when they are through.
type chunk struct {
	bytes []byte
	due   time.Time
}

// oneWay carries one direction of a stream. What comes is taken at once, as long as there is room,
// and goes on in order after its delay, when the path lets it.
func (f *Forwarder) oneWay(near *Conn, up bool, from, to *net.TCPConn, abort func()) {
	room, chunks := semaphore.NewWeighted(HeldMost), make(chan chunk, chunksMost)
	ctx, cancel := context.WithCancel(f.ctx)
	var reading sync.WaitGroup
	defer reading.Wait()
	defer cancel()
	var failed error // of the reading; written before chunks is closed
	reading.Go(func() {
		defer close(chunks)
		for b := make([]byte, readMost); ; {
			n, err := from.Read(b)
			if n > 0 {
				if room.Acquire(ctx, int64(n)) != nil {
					return
				}
				select {
				case chunks <- chunk{append([]byte(nil), b[:n]...), time.Now().Add(near.Path.now.Load().takes())}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					failed = err
				}
				return
			}
		}
	})
	for c := range chunks {
		if err := f.send(near, up, to, c); err != nil {
			abort()
			return
		}
		room.Release(int64(len(c.bytes)))
	}
	// Also an end or a reset has to come through, unless the path itself made it.
	if errors.Is(failed, net.ErrClosed) || !near.opens(up) || failed != nil {
		abort()
		return
	}
	_ = to.CloseWrite()
}

// send writes a chunk when it is through, bit by bit where the path trickles.
func (f *Forwarder) send(near *Conn, up bool, to *net.TCPConn, c chunk) error {
	pause(time.Until(c.due), near.done)
	for b := c.bytes; len(b) > 0; {
		n := near.trickle(up, len(b))
		if !near.opens(up) {
			return net.ErrClosed
		}
		n, err := to.Write(b[:n])
		near.count(up, n)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
