// Package client is the clients of a play and the front through which they reach the edge nodes.
package client

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloestile/internal/testbed/faultlink"
)

const (
	askEvery  = 200 * time.Millisecond // of each node's /healthz
	askWait   = time.Second
	noAfter   = 200 * time.Millisecond // a node that says no gets no new connections from then on
	idleKept  = 64                     // connections to a node that a client side keeps
	dialLimit = 2 * time.Second
	resetWait = 20 * time.Millisecond // for a reset that follows an end: a busy kernel delivers it late
)

// Node is an edge node as the front sees it.
type Node struct {
	Index   int
	Address string
	Path    *faultlink.Path
	Notice  time.Duration         // by which the front is late to see a death
	Ready   func(asked time.Time) // hears each yes, and when it was asked for
	up      atomic.Bool
	leaves  atomic.Bool // it has said no since it was last up, as after SIGTERM
	mu      sync.Mutex
	idle    []*conn
}

// Up tells whether the front sends to the node.
func (n *Node) Up() bool { return n.up.Load() }

// Takes tells whether clients send to the node: the front does, or a connection is kept that stays
// open at a node that has said no.
func (n *Node) Takes() bool {
	if n.Up() {
		return true
	}
	if !n.leaves.Load() {
		return false
	}
	c := n.kept()
	if c == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle = append([]*conn{c}, n.idle...)
	return true
}

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
		asked := time.Now()
		switch yes, err := ask(ctx, c, n.Address); {
		case yes:
			n.Ready(asked)
			good = time.Now()
			n.leaves.Store(false)
			n.up.Store(true)
		case err == nil && time.Since(good) > noAfter:
			n.leaves.Store(true)
			n.up.Store(false)
		case time.Since(good) > n.Notice:
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
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

// conn is a connection that carries one request at a time.
type conn struct {
	*faultlink.Conn
	in     *bufio.Reader
	reused bool
}

// kept gives an idle connection that is open, or nil. At a node that leaves it is the one idle for
// longest, so that each that stays open is sent on.
func (n *Node) kept() *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.idle) > 0 {
		last := len(n.idle) - 1
		if n.leaves.Load() {
			last = 0
		}
		c := n.idle[last]
		n.idle = slices.Delete(n.idle, last, last+1)
		if !c.closed() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	return nil
}

// dial opens a connection.
func (n *Node) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	c, err := n.Path.Dial(ctx, n.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReader(c)}, nil
}

// unread tells, of a connection that ended with no byte of an answer, that the node had not read
// the request: a close over unread bytes is a reset, and what comes after a close is answered by
// one, which the socket keeps as its error behind the end that was read. A node that has read all
// and closes sends an end alone.
func (c *conn) unread(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) { // the last is the link's
		return true
	}
	tcp, ok := c.Conn.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	for until := time.Now().Add(resetWait); ; time.Sleep(time.Millisecond) {
		kept := 0
		err = raw.Control(func(fd uintptr) { kept, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
		if err != nil || kept != 0 || time.Now().After(until) {
			return err == nil && kept != 0
		}
	}
}

// closed tells whether the node has ended an idle connection, as a client that reads would know.
func (c *conn) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Microsecond))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var b [1]byte
	_, err := c.Read(b[:])
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

func (n *Node) put(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.idle) >= idleKept {
		_ = c.Close()
		return
	}
	n.idle = append(n.idle, c)
}

// Close ends the idle connections.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.idle {
		_ = c.Close()
	}
	n.idle = nil
}
