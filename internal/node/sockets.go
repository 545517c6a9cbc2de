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
	ownDescriptors          = 24                    // descriptors for the listener, discovery, log, poller and Go runtime
	maxServerReserve        = 64                    // descriptors that clients leave free for connections to servers
	connMemoryBytes         = 21 << 10              // memory of a connection: goroutines, buffers, and what a request takes without a reservation
	connMemoryFraction      = 0.5                   // fraction of the memory limit that connections may use
	descriptorRetryInterval = 20 * time.Millisecond // time between two attempts to get a descriptor for a client
)

// sockets keeps the number of connections to clients and servers within the limit on descriptors. At the limit, idle
// connections are closed to make room for new ones.
type sockets struct {
	openConns atomic.Int64
	limit     atomic.Int64
	fullLimit int64       // limit of a process that does not share the descriptors
	reserved  int64       // descriptors for other uses
	shared    atomic.Bool // another process uses half of the descriptors

	discarded    atomic.Int64 // connections closed over bytes that came after their end, for the log
	discardedLog logLimit     // log lines about them

	waits atomic.Int64 // times that accepting a client had to wait for a descriptor, for the log

	leftUnaccepted atomic.Int64 // clients that closed their connection before it was accepted, for the log

	headersRefused atomic.Int64 // requests refused because long headers had used up their memory, for the log

	// evictClient and evictServer close one idle connection and report whether they did. evictServer does so only if
	// more than keep connections to servers are idle.
	evictClient func() bool
	evictServer func(keep int) bool

	// clientLeft counts a client that has sent something and closed its connection before it was accepted.
	clientLeft func()
}

// listen listens for clients at the configured address, or on the inherited socket if one is configured. An inherited
// socket is never shut down: closing this process's copy leaves it open for the other processes. The error is a
// *ListenError.
func listen(cfg config.Config) (l net.Listener, inherited bool, err error) {
	if cfg.SocketFD == 0 {
		if l, err = listenRetrying(cfg.Listen); err != nil {
			return nil, false, &ListenError{"clients", cfg.Listen, err}
		}
		return l, false, nil
	}
	fd := cfg.SocketFD
	fail := func(err error) error { return &ListenError{"clients", fmt.Sprintf("descriptor %d", fd), err} }
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, true, fail(fmt.Errorf("not a listening socket (%w)", err))
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer func() { _ = f.Close() }()
	if l, err = net.FileListener(f); err != nil {
		return nil, true, fail(err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close()
		return nil, true, fail(errors.New("not a TCP socket"))
	}
	return l, true, nil
}

// maxSockets returns how many descriptors a process may use by its limits on descriptors and on memory. A memory limit of
// 0 means none.
func maxSockets(limit, memoryMB int) int {
	if memoryMB <= 0 {
		return limit
	}
	return min(limit, int(connMemoryFraction*float64(memoryMB<<20))/connMemoryBytes)
}

// newSockets returns the accounting for a limit on descriptors, of which reserved are for other uses.
func newSockets(limit, reserved int) *sockets {
	limit -= reserved
	s := &sockets{reserved: int64(reserved), evictClient: func() bool { return false }, evictServer: func(int) bool { return false },
		clientLeft: func() {}}
	s.fullLimit = int64(max(limit, 2*maxServerReserve))
	s.limit.Store(s.fullLimit)
	return s
}

// setShared leaves half of the descriptors to another process, or takes them back. Idle connections beyond the half are
// closed.
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

// acquire reserves a descriptor for one more connection if at least spare ones stay free, and reports whether it did.
// At the limit it closes idle connections.
func (s *sockets) acquire(spare int64) bool {
	for s.openConns.Add(1) > s.limit.Load()-spare {
		s.openConns.Add(-1)
		// Idle clients are closed first, so that silent clients do not cost handshakes with servers. When a
		// client is accepted, up to spare idle connections to servers stay open.
		if !s.evictClient() && !s.evictServer(int(spare)) {
			return false
		}
	}
	return true
}

// serverReserve returns how many descriptors clients leave free for connections to servers.
func (s *sockets) serverReserve() int64 { return min(maxServerReserve, s.limit.Load()/3) }

// awaitDescriptor reserves a descriptor, waiting until there is one or ctx ends.
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

// countedConn is a connection that frees its descriptor in sockets when it is closed.
type countedConn struct {
	net.Conn
	sockets *sockets
	once    sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.sockets.openConns.Add(-1) })
	return c.Conn.Close()
}

// countedListener accepts connections only while there are descriptors for them.
type countedListener struct {
	net.Listener
	ctx     context.Context // context of waiting for a descriptor
	sockets *sockets
	budget  *budget
	retry   acceptRetry
	backlog acceptBacklog
}

// Accept accepts a connection. An error other than the end of the listener concerns one connection, or a shortage that
// passes (accept(2)): the listener waits and goes on, as net/http would end the server after some of them. A connection that
// its client has closed meanwhile is closed at once: clients that connect and leave at full speed must not hold up others.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		if err := l.sockets.awaitDescriptor(l.ctx, l.sockets.serverReserve); err != nil {
			return nil, err
		}
		client, err := l.acceptClient()
		switch {
		case err == nil && client.hasDisconnected():
			l.sockets.leftUnaccepted.Add(1)
			if client.hasUnreadBytes() {
				l.sockets.clientLeft()
			}
			_ = client.countedConn.Close()
			continue
		case err == nil:
			client.pendingSince = l.backlog.emptyAt
			return client, nil
		}
		l.sockets.openConns.Add(-1)
		if errors.Is(err, net.ErrClosed) || !l.retry.wait(l.ctx, err) {
			return nil, err
		}
	}
}

// acceptClient accepts one connection, for which a descriptor is reserved.
func (l *countedListener) acceptClient() (*clientConn, error) {
	c, err := l.backlog.accept(l.Listener)
	if err != nil {
		return nil, err
	}
	setSocketBuffers(c)
	client, err := newClientConn(c.(*net.TCPConn), l.sockets, l.budget.requestHeaders)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return client, nil
}
