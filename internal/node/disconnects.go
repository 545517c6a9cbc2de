package node

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in which the client has closed its side, from linux/include/net/tcp_states.h.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// hasDisconnected reports whether the client has closed the connection, also if something that it sent is left to read.
func (c *clientConn) hasDisconnected() bool {
	n, err := c.peek()
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	if n == 0 {
		return true
	}
	closed := false
	controlErr := c.rawConn.Control(func(fd uintptr) { closed = closedByPeer(fd) })
	return controlErr == nil && closed
}

// closedByPeer reports whether the end of a connection has arrived, also behind unread bytes. Where the system does not tell
// the state of a connection it returns false.
func closedByPeer(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// awaitClose waits until the client closes the connection and reads nothing. Like a read, it ends at the read deadline.
func (c *clientConn) awaitClose() error {
	if err := c.rawConn.Read(closedByPeer); err != nil {
		return err
	}
	return io.EOF
}

// unreadByClient returns how many written bytes the client's machine has not acknowledged. Its socket takes further bytes only
// once a good part of them is, so a client that reads slowly shows here first. Where the system does not tell, it is 0.
func (c *clientConn) unreadByClient() (n int) {
	_ = c.rawConn.Control(func(fd uintptr) {
		var err error
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			n = 0
		}
	})
	return n
}

// peek looks for one received byte and leaves it unread. It returns 0 bytes at the end of the connection.
func (c *clientConn) peek() (n int, err error) {
	controlErr := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, err = ignoringEINTR(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
