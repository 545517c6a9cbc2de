package exchange

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	meshPort    = 7946
	meshPackets = 256 // that wait at a member; one beyond is lost, as at a full socket
	meshStreams = 16
)

// Types of the membership library's packets, by their first byte after label and checksum.
const (
	packetPing         = 0
	packetIndirectPing = 1
	packetAck          = 2
	packetNack         = 11
	packetChecked      = 12 // a checksum comes before another packet's type
)

const (
	labelBytes = 2 + len(netLabel)
	checkBytes = 5
)

// mesh is a network in memory between members. It carries packets and streams at once and counts them.
type mesh struct {
	mu   sync.RWMutex
	ends map[string]*meshEnd
	lost atomic.Int64 // packets, as their receiver's queue was full
}

func newMesh() *mesh { return &mesh{ends: make(map[string]*meshEnd)} }

// meshEnd is one member's transport.
type meshEnd struct {
	mesh    *mesh
	address *net.UDPAddr
	packets chan *memberlist.Packet
	streams chan net.Conn
	counts  meshCounts
}

// meshCounts are what a member has sent, in all. Packets are counted with their headers.
type meshCounts struct {
	probePackets, probeBytes   atomic.Int64 // pings and their answers
	gossipPackets, gossipBytes atomic.Int64 // packets with news of members
	streamBytes                atomic.Int64
}

var _ memberlist.NodeAwareTransport = (*meshEnd)(nil)

// meshAddress is where the member of an index is.
func meshAddress(index int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(127, byte(1+index>>16), byte(index>>8), byte(index)).To4(), Port: meshPort}
}

func (m *mesh) open(index int) *meshEnd {
	e := &meshEnd{mesh: m, address: meshAddress(index), packets: make(chan *memberlist.Packet, meshPackets), streams: make(chan net.Conn, meshStreams)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[e.address.String()] = e
	return e
}

func (m *mesh) at(address string) *meshEnd {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ends[address]
}

// FinalAdvertiseAddr gives the member's address in the mesh.
func (e *meshEnd) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return e.address.IP, e.address.Port, nil
}

// WriteTo sends a packet. One to a member that is gone is lost, as by UDP.
func (e *meshEnd) WriteTo(b []byte, address string) (time.Time, error) {
	now := time.Now()
	e.count(b)
	to := e.mesh.at(address)
	if to == nil {
		return now, nil
	}
	select {
	case to.packets <- &memberlist.Packet{Buf: append([]byte{}, b...), From: e.address, Timestamp: now}:
	default:
		e.mesh.lost.Add(1)
	}
	return now, nil
}

// count counts a packet by what it is for.
func (e *meshEnd) count(b []byte) {
	packets, bytes := &e.counts.gossipPackets, &e.counts.gossipBytes
	switch packetKind(b) {
	case packetPing, packetIndirectPing, packetAck, packetNack:
		packets, bytes = &e.counts.probePackets, &e.counts.probeBytes
	}
	packets.Add(1)
	bytes.Add(int64(len(b) + udpHeader))
}

// packetKind gives the type of a packet, behind its label and its checksum where it has one.
func packetKind(b []byte) byte {
	at := labelBytes
	if len(b) > at+checkBytes && b[at] == packetChecked {
		at += checkBytes
	}
	if len(b) <= at {
		return packetChecked
	}
	return b[at]
}

// WriteToAddress is WriteTo.
func (e *meshEnd) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return e.WriteTo(b, a.Addr)
}

// PacketCh gives the packets that have come.
func (e *meshEnd) PacketCh() <-chan *memberlist.Packet { return e.packets }

// DialTimeout opens a stream, whose two ends count what they write.
func (e *meshEnd) DialTimeout(address string, _ time.Duration) (net.Conn, error) {
	e.mesh.mu.RLock() // until the stream is in the queue, so that Shutdown finds it there
	defer e.mesh.mu.RUnlock()
	to := e.mesh.ends[address]
	if to == nil {
		return nil, &net.OpError{Op: "dial", Net: "mesh", Addr: e.address, Err: fmt.Errorf("nobody is at %s", address)}
	}
	here, there := net.Pipe()
	select {
	case to.streams <- &countedConn{there, &to.counts}:
		return &countedConn{here, &e.counts}, nil
	default:
		return nil, &net.OpError{Op: "dial", Net: "mesh", Addr: e.address, Err: fmt.Errorf("%s has no room for a stream", address)}
	}
}

// DialAddressTimeout is DialTimeout.
func (e *meshEnd) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return e.DialTimeout(a.Addr, within)
}

// StreamCh gives the streams that others have opened.
func (e *meshEnd) StreamCh() <-chan net.Conn { return e.streams }

// Shutdown takes the member out of the mesh, and ends the streams that it has not taken up.
func (e *meshEnd) Shutdown() error {
	e.mesh.mu.Lock()
	defer e.mesh.mu.Unlock()
	delete(e.mesh.ends, e.address.String())
	for {
		select {
		case c := <-e.streams:
			_ = c.Close()
		default:
			return nil
		}
	}
}

// countedConn is an end of a stream that counts what it writes.
type countedConn struct {
	net.Conn
	counts *meshCounts
}

// Write writes to the other end.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.streamBytes.Add(int64(n))
	return n, err
}

// SetDeadline does nothing, nor do the others: the timer of a pipe's deadline holds the pipe and what was
// written until it rings, long after both ends are closed, and would count as state. Streams here end with
// their members.
func (c *countedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *countedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *countedConn) SetWriteDeadline(time.Time) error { return nil }
