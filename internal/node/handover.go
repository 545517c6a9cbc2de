package node

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
)

// This file hands the state of a process over to the one that replaces it, on a Unix socket in the folder that both
// share. Nothing depends on it: a process that finds no other, or gets what it can't use, starts without that state.

const (
	handoverName       = "handover.sock"
	handoverTimeout    = 1500 * time.Millisecond // of the whole exchange
	maxHandoverBytes   = 8 << 20                 // bytes of a message
	handoverVersion    = 1                       // of handoverState; the decision module's state has its own
	listConfirmTimeout = 3 * time.Second         // after which a list that was handed over is used without confirmation
	maxSideBySide      = 12 * time.Second        // for which two processes run side by side
)

// handoverState is what goes to the next process, as JSON by its field names and tags: the decision module's state, the
// UIDs behind its server IDs, and the endpoint list.
type handoverState struct {
	Version        int
	Discovery      string            // address of the discovery whose revision List has
	LastID         uint32            // highest server ID given
	IDs            map[string]uint32 // of servers by UID
	List           discovery.Update
	NodesPerServer float64 `json:"Sharers,omitempty"` // of List, where it is a subset; see discovery.Update
	Module         json.RawMessage
}

// writeMessage sends a message with its length and checksum, so that a part of one is never used.
func writeMessage(w io.Writer, m []byte) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(m)))
	head = binary.BigEndian.AppendUint32(head, crc32.ChecksumIEEE(m))
	_, err := w.Write(append(head, m...))
	return err
}

// readMessage reads what writeMessage sent.
func readMessage(r io.Reader) ([]byte, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n > maxHandoverBytes {
		return nil, fmt.Errorf("a message of %d bytes", n)
	}
	m := make([]byte, n)
	if _, err := io.ReadFull(r, m); err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(m) != binary.BigEndian.Uint32(head[4:]) {
		return nil, errors.New("a corrupt message")
	}
	return m, nil
}

// takeOver takes the state of the process that runs beside this one, if one does. It returns the connection to that
// process, which stays open for as long as both run, or nil.
func (n *Node) takeOver(dir string) net.Conn {
	c, err := net.DialTimeout("unix", filepath.Join(dir, handoverName), handoverTimeout)
	if err != nil {
		return nil // none, or one that has gone
	}
	_ = c.SetDeadline(time.Now().Add(handoverTimeout))
	from, size, err := n.readHandover(c)
	if err != nil {
		slog.Warn("handover: starting without the state of the previous process", "error", err)
		_ = c.Close()
		// The other process still uses its descriptors for a while.
		n.upstream.sockets.setShared(true)
		time.AfterFunc(maxSideBySide, func() { n.upstream.sockets.setShared(false) })
		return nil
	}
	_ = c.SetDeadline(time.Time{})
	n.takeList(from, true)
	n.upstream.sockets.setShared(true)
	slog.Info("handover: state taken over", "bytes", size, "endpoints", len(from.List.Targets))
	return c
}

// readHandover reads the state that another process hands over and has the decision module adopt its part.
func (n *Node) readHandover(c net.Conn) (from handoverState, size int, err error) {
	m, err := readMessage(c)
	if err != nil {
		return from, 0, err
	}
	if err := json.Unmarshal(m, &from); err != nil {
		return from, 0, err
	}
	if from.Version != handoverVersion {
		return from, 0, fmt.Errorf("version %d, not %d", from.Version, handoverVersion)
	}
	if err := from.List.Check(); err != nil {
		return from, 0, err
	}
	return from, len(m), n.loop.controller.RestoreHandover(n.loop.now(), from.Module)
}

// takeList adopts another process's endpoint list and server IDs. current reports whether that process held the list
// until now, so that its revision counts.
func (n *Node) takeList(from handoverState, current bool) {
	for uid, id := range from.IDs {
		n.loop.serverIDs[uid] = id
		n.loop.lastServerID = max(n.loop.lastServerID, id)
	}
	n.loop.lastServerID = max(n.loop.lastServerID, from.LastID)
	if len(from.List.Targets) > 0 {
		from.List.NodesPerServer = from.NodesPerServer
		n.knownServers = n.discovery.Adopt(from.List, current && from.Discovery == n.discoveryAddress)
	}
}

// awaitPredecessor waits for the end of the process that this one replaces, and takes the remainder of its state.
func (n *Node) awaitPredecessor(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	rest, err := readMessage(c)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		slog.Warn("handover: receiving the remainder of the previous process failed", "error", err)
		rest = nil
	}
	n.loop.post(func() { n.endSharing(rest) })
}

// endSharing has the node go on without the other process, with the remainder of its state; nil is none.
func (n *Node) endSharing(rest []byte) {
	if err := n.loop.controller.EndSharing(n.loop.now(), rest); err != nil {
		slog.Warn("handover: using the remainder of the previous process failed", "error", err)
	}
	n.upstream.sockets.setShared(false)
}

// serveHandover hands the state over to a process that starts beside this one, until ctx ends; and, when the loop has
// ended, the remainder.
func (n *Node) serveHandover(ctx context.Context, dir string) {
	// The rename replaces the old listener at once, so that the name is never without one.
	own := filepath.Join(dir, handoverName+"."+strconv.Itoa(os.Getpid()))
	l, err := net.Listen("unix", own)
	if err == nil {
		l.(*net.UnixListener).SetUnlinkOnClose(false)
		if err = os.Rename(own, filepath.Join(dir, handoverName)); err != nil {
			_ = l.Close()
		}
	}
	if err != nil {
		slog.Warn("handover: listening for a successor failed", "error", err)
		return
	}
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.handOver(c)
	}
}

// handOver serves one process that takes over, until either ends.
func (n *Node) handOver(c net.Conn) {
	defer func() { _ = c.Close() }()
	got := make(chan []byte, 1)
	if !n.loop.post(func() {
		m, err := n.loop.handoverMessage(n.discovery.Address())
		if err != nil {
			slog.Warn("handover: encoding the state failed", "error", err)
		}
		n.upstream.sockets.setShared(true)
		got <- m
	}) {
		return
	}
	var m []byte
	select {
	case m = <-got:
	case <-n.loop.ended:
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(handoverTimeout))
	if m == nil || writeMessage(c, m) != nil {
		n.loop.post(func() { n.endSharing(nil) })
		return
	}
	slog.Info("handover: state handed over", "bytes", len(m))
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	select {
	case <-gone:
		slog.Warn("handover: the successor has ended")
		n.loop.post(func() { n.endSharing(nil) })
	case <-n.loop.ended: // the remainder is used by the other process only
		if m, err := n.loop.controller.RemainingTokens(n.loop.now()); err == nil && n.loop.failure == nil {
			_ = c.SetWriteDeadline(time.Now().Add(handoverTimeout))
			_ = writeMessage(c, m)
		}
		_ = c.Close()
		<-gone
	}
}

// handoverMessage returns the encoded state. From now on the decision module uses half of its quotas.
func (l *loop) handoverMessage(address string) ([]byte, error) {
	module, err := l.controller.Handover(l.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(l.handoverState(address, module))
}

// handoverState returns the state of the loop with that of the decision module.
func (l *loop) handoverState(address string, module []byte) handoverState {
	b := handoverState{Version: handoverVersion, Discovery: address, LastID: l.lastServerID, IDs: l.serverIDs,
		List: discovery.Update{Rev: l.listRevision, All: true}, NodesPerServer: l.nodesPerServer, Module: module}
	if l.nodesPerServer > 0 {
		b.Discovery = "" // the list is a subset: the next process, also of an older version, must fetch the whole
	}
	for _, t := range l.endpoints {
		b.List.Targets = append(b.List.Targets, t)
	}
	return b
}

// rememberEndpoints keeps the endpoint list for a process that takes over.
func (l *loop) rememberEndpoints(kind control.UpdateKind, news discovery.Update) {
	if kind != control.Delta {
		clear(l.endpoints)
	}
	for _, t := range news.Targets {
		if t.Status() == discovery.Removed {
			delete(l.endpoints, t.UID)
		} else {
			l.endpoints[t.UID] = t
		}
	}
	l.listRevision, l.nodesPerServer = news.Rev, news.NodesPerServer
}
