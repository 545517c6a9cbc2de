// Package client is the clients of a play and the front through which they reach the edge nodes.
package client

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martennotch/internal/lab/link"
)

const (
	askEvery  = 200 * time.Millisecond // of each node's /healthz
	askWait   = time.Second
	noAfter   = 200 * time.Millisecond // a node that says no gets no new connections from then on
	idleKept  = 64                     // connections to a node that a client side keeps
	dialLimit = 2 * time.Second
)

// Node is an edge node as the front sees it.
type Node struct {
	Index   int
	Address string
	Path    *link.Path
	Notice  time.Duration // by which the front is late to see a death
	up      atomic.Bool
	mu      sync.Mutex
	idle    []*conn
}

// Up tells whether the front sends to the node.
func (n *Node) Up() bool { return n.up.Load() }

// Watch follows a node's /healthz until ctx ends: a node is taken in at its first yes, left soon
// after a no, and after its notice when it is silent or dead.
func (n *Node) Watch(ctx context.Context) {
	c := &http.Client{Timeout: askWait, Transport: &http.Transport{MaxIdleConns: 1, IdleConnTimeout: askWait,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return n.Path.Dial(ctx, n.Address) }}}
	defer c.CloseIdleConnections()
	good := time.Now()
	t := time.NewTicker(askEvery)
	defer t.Stop()
	for {
		switch yes, err := ask(ctx, c, n.Address); {
		case yes:
			good = time.Now()
			n.up.Store(true)
		case err == nil && time.Since(good) > noAfter, time.Since(good) > n.Notice:
			n.up.Store(false)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func ask(ctx context.Context, c *http.Client, address string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return false, err
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

// conn is a connection that carries one request at a time.
type conn struct {
	*link.Conn
	in     *bufio.Reader
	reused bool
}

// get gives an idle connection or opens one.
func (n *Node) get(ctx context.Context, fresh bool) (*conn, error) {
	n.mu.Lock()
	for !fresh && len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if c.closed() {
			c.Close()
			continue
		}
		n.mu.Unlock()
		c.reused = true
		return c, nil
	}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	c, err := n.Path.Dial(ctx, n.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReader(c)}, nil
}

// closed tells whether the node has ended an idle connection, as a client that reads would know.
func (c *conn) closed() bool {
	c.Conn.Conn.SetReadDeadline(time.Now().Add(10 * time.Microsecond))
	defer c.Conn.Conn.SetReadDeadline(time.Time{})
	var b [1]byte
	_, err := c.Conn.Conn.Read(b[:])
	var timeout net.Error
	return !(errors.As(err, &timeout) && timeout.Timeout())
}

func (n *Node) put(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.idle) >= idleKept {
		c.Close()
		return
	}
	n.idle = append(n.idle, c)
}

// Close ends the idle connections.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.idle {
		c.Close()
	}
	n.idle = nil
}
