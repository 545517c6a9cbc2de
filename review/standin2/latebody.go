package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	lateBodyBytes = 100_000 // over 64 KiB: the body is passed on as it comes
	latePause     = 1500 * time.Millisecond
	lateGrace     = 500 * time.Millisecond // as in the settings of the other customer
	lateSlack     = 50 * time.Millisecond  // every time limit on sockets is longer by this
	lateHeldUp    = 150 * time.Millisecond // an edge node may be held up for this
	lateRequests  = 8
)

// latePlay holds when connections to rating servers brought their first byte.
type latePlay struct {
	record *record
	mu     sync.Mutex
	first  map[string]time.Time // by uid, first byte since the server was told to drain
	opened chan string          // uids to which a connection was opened
}

// watched is a listener that notes the first byte of each of its connections.
type watched struct {
	net.Listener
	onByte func()
}

// watchedConn is a connection of a watched listener.
type watchedConn struct {
	net.Conn
	onByte func()
}

// Accept accepts a connection.
func (l *watched) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{c, l.onByte}, nil
}

// Read reads and notes that bytes have come.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onByte()
	}
	return n, err
}

// playLateBody lets rating servers begin to drain while a client that has sent the head of a long request pauses before
// its body. Without trouble no rating server drains.
func playLateBody(r *record, trouble bool) (res result) {
	p := &latePlay{record: r, first: make(map[string]time.Time), opened: make(chan string, 100)}
	list, err := p.startServers(9)
	if err != nil {
		return result{cannot: err}
	}
	d, err := startDiscovery(r, list)
	if err != nil {
		return result{cannot: err}
	}
	grace := float64(lateGrace.Milliseconds())
	e, err := startEdge(r, d, edgeOptions{memoryMB: 64, sockets: 384, drainGraceMS: grace, classes: muscatClasses()})
	if err != nil {
		return result{cannot: err}
	}
	defer e.stop()
	time.Sleep(500 * time.Millisecond)
	served := 0
	for i := range lateRequests {
		uid, status, err := p.lateRequest(e, d, i, trouble)
		if err != nil {
			r.line("request %d: %v", i, err)
			continue
		}
		if status == http.StatusOK {
			served++
		}
		told, ok := d.toldAt(uid, "draining")
		p.mu.Lock()
		first, sent := p.first[uid]
		p.mu.Unlock()
		if late := first.Sub(told); ok && sent && late > lateGrace+lateSlack+lateHeldUp {
			res.broken = append(res.broken, fmt.Sprintf("%s got the first byte of a new request %.2f s after the edge node was told that it drains",
				uid, late.Seconds()))
		}
	}
	if served == 0 && len(res.broken) == 0 {
		res.cannot = errors.New("no request was served")
	}
	return res
}

// startServers starts rating servers that note the first byte that comes to them, and returns their list.
func (p *latePlay) startServers(count int) ([]target, error) {
	var list []target
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		uid := fmt.Sprintf("s-%02d", i)
		list = append(list, target{UID: uid, Endpoint: l.Addr().String(), Zone: []string{"hall-a", "hall-b", "hall-c"}[i%3], Model: "std-3core",
			Group: i % 3, State: "up", Capacity: 1})
		onByte := func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if _, ok := p.first[uid]; !ok {
				p.first[uid] = time.Now()
				p.record.line("%s has got a first byte", uid)
			}
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			p.record.line("%s got %d bytes of the body of %s: %v", uid, n, r.Header.Get("X-Correlation-Id"), err)
			meter(w)
			_, _ = io.WriteString(w, "posted")
		}), ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				p.opened <- uid
			}
		}}
		go func() { _ = server.Serve(&watched{l, onByte}) }()
	}
	return list, nil
}

// lateRequest sends a head, lets the rating server that got the connection drain, pauses and sends the body.
func (p *latePlay) lateRequest(e *edge, d *discovery, number int, trouble bool) (uid string, status int, err error) {
	c, err := dialClient(e.address)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = c.conn.Close() }()
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	id := fmt.Sprintf("d%015x", number)
	if _, err := io.WriteString(c.conn, post(id, 100+number, lateBodyBytes)); err != nil {
		return "", 0, err
	}
	p.record.line("client has sent the head of %s", id)
	select {
	case uid = <-p.opened:
		p.record.line("%s has a new connection", uid)
		if trouble {
			time.Sleep(50 * time.Millisecond)
			d.change(uid, "draining")
		}
	case <-time.After(time.Second): // a connection was used again
	}
	time.Sleep(latePause)
	if _, err := c.conn.Write(make([]byte, lateBodyBytes)); err != nil {
		return uid, 0, err
	}
	p.record.line("client has sent the body of %s", id)
	status, body, err := c.answer()
	p.record.line("client got %d %q %v for %s", status, body, err, id)
	return uid, status, err
}
