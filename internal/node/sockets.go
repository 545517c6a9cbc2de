package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloestile/internal/config"
)

const (
	ownDescriptors          = 24                    // for listener, discovery, log, poller and what the runtime opens
	maxServerReserve        = 64                    // left to connections to servers when clients use the rest
	descriptorRetryInterval = 20 * time.Millisecond // while a client waits for a place
)

// sockets keeps the connections to clients and servers together under the limit on descriptors. At the limit, idle
// connections are closed for new ones.
type sockets struct {
	openConns atomic.Int64
	limit     atomic.Int64
	fullLimit int64       // of a process that runs alone
	reserved  int64       // descriptors for other uses
	shared    atomic.Bool // another process uses half of the descriptors

	waits atomic.Int64 // how often a client had to wait for a place, for the log

	// Each closes one idle connection, if there is one. That of the servers keeps some.
	evictClient func() bool
	evictServer func(keep int) bool
}

// listen listens for clients at the address of the configuration, or on the inherited socket where one is named. That one
// is never shut down: closing a copy leaves it to the other processes. Its error is a *ListenError.
func listen(cfg config.Config) (l net.Listener, inherited bool, err error) {
	if cfg.SocketFD == 0 {
		if l, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, false, &ListenError{"clients", cfg.Listen, err}
		}
		return l, false, nil
	}
	fd := cfg.SocketFD
	fail := func(err error) error { return &ListenError{"clients", fmt.Sprintf("descriptor %d", fd), err} }
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, true, fail(fmt.Errorf("no listening socket (%w)", err))
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer func() { _ = f.Close() }()
	if l, err = net.FileListener(f); err != nil {
		return nil, true, fail(err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close()
		return nil, true, fail(errors.New("no TCP socket"))
	}
	return l, true, nil
}

// newSockets returns sockets for a limit on descriptors, of which some are reserved for other uses.
func newSockets(limit, reserved int) *sockets {
	limit -= reserved
	s := &sockets{reserved: int64(reserved), evictClient: func() bool { return false }, evictServer: func(int) bool { return false }}
	s.fullLimit = int64(max(limit, 2*maxServerReserve))
	s.limit.Store(s.fullLimit)
	return s
}

// share leaves half of the places to another process, or takes them back. Idle connections beyond the half are closed.
func (s *sockets) setShared(shared bool) {
	if s.shared.Swap(shared) == shared {
		return
	}
	if !shared {
		s.limit.Store(s.fullLimit)
		return
	}
	s.limit.Store(s.fullLimit/2 - s.reserved/2) // the other process reserves as many
	for s.openConns.Load() > s.limit.Load() && (s.evictServer(0) || s.evictClient()) {
	}
}

// reservePlace reserves a place for one more connection and leaves some free.
func (s *sockets) acquire(spare int64) bool {
	for s.openConns.Add(1) > s.limit.Load()-spare {
		s.openConns.Add(-1)
		// An idle client's place goes first, so that silent clients do not cost handshakes with servers; and for a client
		// some idle connections to servers stay.
		if !s.evictClient() && !s.evictServer(int(spare)) {
			return false
		}
	}
	return true
}

// reservedForServers returns how many places clients leave free for connections to servers.
func (s *sockets) serverReserve() int64 { return min(maxServerReserve, s.limit.Load()/3) }

// awaitPlace reserves a place as soon as there is one.
func (s *sockets) awaitDescriptor(ctx context.Context, spare func() int64) error {
	for !s.acquire(spare()) {
		s.waits.Add(1)
		select {
		case <-ctx.Done():
			return net.ErrClosed
		case <-time.After(descriptorRetryInterval):
		}
	}
	return nil
}

// countedConn is a connection that frees its place when it is closed.
type countedConn struct {
	net.Conn
	sockets *sockets
	once    sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.sockets.openConns.Add(-1) })
	return c.Conn.Close()
}

// countedListener accepts connections only while there are places for them.
type countedListener struct {
	net.Listener
	ctx     context.Context // ends the waiting for a place
	sockets *sockets
}

func (l *countedListener) Accept() (net.Conn, error) {
	if err := l.sockets.awaitDescriptor(l.ctx, l.sockets.serverReserve); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.sockets.openConns.Add(-1)
		return nil, err
	}
	setSocketBuffers(c)
	client, err := newClientConn(c.(*net.TCPConn), l.sockets)
	if err != nil {
		l.sockets.openConns.Add(-1)
		_ = c.Close()
		return nil, err
	}
	return client, nil
}
