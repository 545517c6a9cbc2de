package faultlink

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	datagram  = 64 << 10
	dialWait  = 3 * time.Second // a machine that does not answer
	udpCopies = 256             // datagrams under way or kept at most; more are lost
)

// Forwarder carries a path between two processes of the fleet, TCP and UDP at one address.
type Forwarder struct {
	path   *Path
	tcp    *Listener
	udp    *net.UDPConn
	to     string
	stop   context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup
	flight chan struct{}
	out    *net.UDPConn // that datagrams go on from where none is answered on the way; else nil
	dest   *net.UDPAddr
	mu     sync.Mutex
	free   [2]time.Time            // when a trickle has room again for datagrams, up and down
	backs  map[string]*net.UDPConn // by the sender's address: the socket that its answers come to
}

// Forward listens at an address and passes on to another what comes there. Datagrams go on from out
// where the processes answer to addresses that they are told, so that many paths need few sockets;
// with none, each sender's answers find their way back.
func (p *Path) Forward(listen, to string, out *net.UDPConn) (*Forwarder, error) {
	dest, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	tcp, err := p.Listen(listen)
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", tcp.Addr().String())
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	f := &Forwarder{path: p, tcp: tcp, udp: udp, to: to, out: out, dest: dest, flight: make(chan struct{}, udpCopies), backs: make(map[string]*net.UDPConn)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.done.Add(2)
	go f.streams()
	go f.datagrams()
	return f, nil
}

// Close ends the forwarder and what it carries.
func (f *Forwarder) Close() {
	f.stop()
	f.path.Clear() // what waits on it ends
	_ = f.tcp.Close()
	_ = f.udp.Close()
	f.path.Reset()
	f.mu.Lock()
	for _, c := range f.backs {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
}

// datagrams carries what comes to the address on to the far process, each sender from a socket of
// its own, so that answers find their way back.
func (f *Forwarder) datagrams() {
	defer f.done.Done()
	buf := make([]byte, datagram)
	for {
		n, from, err := f.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f.out != nil {
			f.carry(append([]byte(nil), buf[:n]...), true, func(b []byte) { _, _ = f.out.WriteToUDP(b, f.dest) })
		} else if back := f.back(from); back != nil {
			f.carry(append([]byte(nil), buf[:n]...), true, func(b []byte) { _, _ = back.Write(b) })
		}
	}
}

// carry sends a datagram on when it is through, or loses it. More than udpCopies wait for nothing.
func (f *Forwarder) carry(b []byte, up bool, send func([]byte)) {
	m := f.path.now.Load()
	if m.loss > 0 && rand.Float64() < m.loss || m.drops(up) {
		return
	}
	if up {
		f.path.Up.Add(int64(len(b)))
	} else {
		f.path.Down.Add(int64(len(b)))
	}
	wait := m.delay
	if rate := m.rate(up); rate > 0 {
		wait += f.behind(up, time.Duration(float64(len(b))/rate*float64(time.Second)))
	}
	if wait < delayLeast && !m.stalls(up) {
		send(b)
		return
	}
	select {
	case f.flight <- struct{}{}:
	default:
		return
	}
	time.AfterFunc(wait, func() {
		defer func() { <-f.flight }()
		if f.path.until(f.ctx.Done(), func(m *moment) bool { return !m.stalls(up) }) {
			send(b)
		}
	})
}

// behind gives how long a datagram of a trickle waits for those before it and itself.
func (f *Forwarder) behind(up bool, takes time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, now := &f.free[0], time.Now()
	if !up {
		last = &f.free[1]
	}
	if last.Before(now) {
		*last = now
	}
	*last = last.Add(takes)
	return last.Sub(now)
}

func (f *Forwarder) back(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.backs[from.String()]; c != nil {
		return c
	}
	if f.ctx.Err() != nil {
		return nil
	}
	c, err := net.DialUDP("udp", nil, f.dest)
	if err != nil {
		return nil
	}
	f.backs[from.String()] = c
	f.done.Go(func() {
		buf := make([]byte, datagram)
		for {
			n, err := c.Read(buf)
			if f.ctx.Err() != nil {
				return
			}
			if err != nil { // refused: nobody listens there now
				time.Sleep(time.Millisecond)
				continue
			}
			f.carry(append([]byte(nil), buf[:n]...), false, func(b []byte) { _, _ = f.udp.WriteToUDP(b, from) })
		}
	})
	return c
}

// Address is where the forwarder listens.
func (f *Forwarder) Address() string { return f.tcp.Addr().String() }
