package node

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	headMost   = 16 << 10
	clientIdle = 10 * time.Second
	headWithin = 2600 * time.Millisecond // of a request's head
	silentMost = 250 * time.Millisecond  // of a new connection where others want its place
)

// server is the HTTP server of the clients. An answer or a close is owed to each soon after it
// has connected, so a head has to come whole in time; a body has to move.
func (f *front) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: headMost, IdleTimeout: clientIdle, ConnState: f.state,
		ReadHeaderTimeout: headWithin, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// state keeps track of the client connections on which no request is open.
func (f *front) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.idle, c)
	delete(f.fresh, c)
	switch s {
	case http.StateIdle:
		f.idle[c] = time.Now()
		if k, ok := c.(*clientConn); ok {
			k.next()
		}
	case http.StateNew:
		f.fresh[c] = time.Now()
		f.accepted.Add(1)
		f.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	}
}

// closeIdle closes the client connections on which nothing is open, also new ones that have said
// nothing for a while. Guards against closing on a request that has come and is not read yet.
func (f *front) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range []map[net.Conn]time.Time{f.idle, f.fresh} {
		for c, since := range conns {
			if time.Since(since) >= idleLook && silent(c) {
				delete(conns, c)
				c.Close()
			}
		}
	}
}

// evict closes a client connection that has said nothing for too long, else the one that
// has been idle for the longest time.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, since := oldest(f.fresh)
	if c == nil || time.Since(since) < silentMost {
		if c, _ = oldest(f.idle); c == nil {
			return false
		}
	}
	delete(f.idle, c)
	delete(f.fresh, c)
	c.Close()
	f.evicted.Add(1)
	return true
}

func oldest(conns map[net.Conn]time.Time) (first net.Conn, since time.Time) {
	for c, t := range conns {
		if first == nil || t.Before(since) {
			first, since = c, t
		}
	}
	return first, since
}
