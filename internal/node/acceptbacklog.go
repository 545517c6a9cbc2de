package node

import (
	"log/slog"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// acceptBacklog tracks since when connections may be pending: because they come faster than they are accepted, or because
// there was no descriptor for them.
type acceptBacklog struct {
	emptyAt time.Time // last time at which no connection was pending; zero if there was none
}

// accept accepts a connection.
func (b *acceptBacklog) accept(l net.Listener) (net.Conn, error) {
	pending := isPending(l)
	c, err := l.Accept()
	if !pending {
		b.emptyAt = time.Now()
	}
	return c, err
}

// isPending reports whether a connection can be accepted without waiting. Where the system does not tell it returns false.
func isPending(l net.Listener) (pending bool) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// limitBacklog limits the number of connections that wait to be accepted. More than the node can hold would only wait behind
// each other, longer than their clients do. An error leaves the system's limit in force.
func limitBacklog(l net.Listener, limit int) {
	tcp, ok := l.(*net.TCPListener)
	if !ok || limit <= 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), limit) })
	}
	if err != nil {
		slog.Warn("limiting the connections that wait to be accepted failed", "error", err)
	}
}

// takeBacklogAge returns how long the first request of a connection has been there: the time since the client's last byte
// arrived, by the kernel, but no more than since the connection may have been pending. For any other request it returns 0.
func (c *clientConn) takeBacklogAge() time.Duration {
	c.mu.Lock()
	since := c.pendingSince
	c.pendingSince = time.Time{}
	c.mu.Unlock()
	if since.IsZero() {
		return 0
	}
	age := time.Duration(0)
	_ = c.rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return min(age, time.Since(since))
}
