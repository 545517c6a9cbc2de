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
	handoverSocket     = "handover.sock"
	handoverTimeout    = 1500 * time.Millisecond // of the whole exchange
	maxHandoverBytes   = 8 << 20                 // bytes of a message
	handoverVersion    = 1                       // of handoverState; the decision module's state has its own
	listConfirmTimeout = 3 * time.Second         // after which a list that was handed over is used without confirmation
	maxOverlap         = 12 * time.Second        // for which two processes run side by side
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
func writeMessage(w io.Writer, message []byte) error {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	header = binary.BigEndian.AppendUint32(header, crc32.ChecksumIEEE(message))
	_, err := w.Write(append(header, message...))
	return err
}

// readMessage reads what writeMessage sent.
func readMessage(r io.Reader) ([]byte, error) {
	var header [8]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > maxHandoverBytes {
		return nil, fmt.Errorf("a message of %d bytes", size)
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(r, message); err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(message) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errors.New("a corrupt message")
	}
	return message, nil
}

// takeOver takes the state of the process that runs beside this one, if one does. It returns the connection to that
// process, which stays open for as long as both run, or nil.
func (n *Node) receiveHandover(dir string) net.Conn {
	conn, err := net.DialTimeout("unix", filepath.Join(dir, handoverSocket), handoverTimeout)
	if err != nil {
		return nil // none, or one that has gone
	}
	_ = conn.SetDeadline(time.Now().Add(handoverTimeout))
	state, size, err := n.readHandover(conn)
	if err != nil {
		slog.Warn("handover: starting without the state of the previous process", "error", err)
		_ = conn.Close()
		// The other process still uses its descriptors for a while.
		n.upstream.sockets.share(true)
		time.AfterFunc(maxOverlap, func() { n.upstream.sockets.share(false) })
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	n.adoptList(state, true)
	n.upstream.sockets.share(true)
	slog.Info("handover: state taken over", "bytes", size, "endpoints", len(state.List.Targets))
	return conn
}

// readHandover reads the state that another process hands over and has the decision module adopt its part.
func (n *Node) readHandover(conn net.Conn) (state handoverState, size int, err error) {
	message, err := readMessage(conn)
	if err != nil {
		return state, 0, err
	}
	if err := json.Unmarshal(message, &state); err != nil {
		return state, 0, err
	}
	if state.Version != handoverVersion {
		return state, 0, fmt.Errorf("version %d, not %d", state.Version, handoverVersion)
	}
	if err := state.List.Check(); err != nil {
		return state, 0, err
	}
	return state, len(message), n.loop.controller.RestoreHandover(n.loop.now(), state.Module)
}

// takeList adopts another process's endpoint list and server IDs. current reports whether that process held the list
// until now, so that its revision counts.
func (n *Node) adoptList(state handoverState, current bool) {
	for uid, id := range state.IDs {
		n.loop.serverIDs[uid] = id
		n.loop.lastServerID = max(n.loop.lastServerID, id)
	}
	n.loop.lastServerID = max(n.loop.lastServerID, state.LastID)
	if len(state.List.Targets) > 0 {
		state.List.NodesPerServer = state.NodesPerServer
		n.knownServers = n.discovery.Adopt(state.List, current && state.Discovery == n.discoveryAddress)
	}
}

// awaitPredecessor waits for the end of the process that this one replaces, and takes the remainder of its state.
func (n *Node) awaitPredecessor(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	remainder, err := readMessage(conn)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		slog.Warn("handover: receiving the remainder of the previous process failed", "error", err)
		remainder = nil
	}
	n.loop.post(func() { n.endSharing(remainder) })
}

// endSharing has the node go on without the other process, with the remainder of its state; nil is none.
func (n *Node) endSharing(remainder []byte) {
	if err := n.loop.controller.EndSharing(n.loop.now(), remainder); err != nil {
		slog.Warn("handover: using the remainder of the previous process failed", "error", err)
	}
	n.upstream.sockets.share(false)
}

// serveHandover hands the state over to a process that starts beside this one, until ctx ends; and, when the loop has
// ended, the remainder.
func (n *Node) serveHandover(ctx context.Context, dir string) {
	// The rename replaces the old listener at once, so that the name is never without one.
	ownPath := filepath.Join(dir, handoverSocket+"."+strconv.Itoa(os.Getpid()))
	listener, err := net.Listen("unix", ownPath)
	if err == nil {
		listener.(*net.UnixListener).SetUnlinkOnClose(false)
		if err = os.Rename(ownPath, filepath.Join(dir, handoverSocket)); err != nil {
			_ = listener.Close()
		}
	}
	if err != nil {
		slog.Warn("handover: listening for a successor failed", "error", err)
		return
	}
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.serveSuccessor(conn)
	}
}

// handOver serves one process that takes over, until either ends.
func (n *Node) serveSuccessor(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	encoded := make(chan []byte, 1)
	if !n.loop.post(func() {
		state, err := n.loop.handoverMessage(n.discovery.Address())
		if err != nil {
			slog.Warn("handover: encoding the state failed", "error", err)
		}
		n.upstream.sockets.share(true)
		encoded <- state
	}) {
		return
	}
	var message []byte
	select {
	case message = <-encoded:
	case <-n.loop.ended:
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(handoverTimeout))
	if message == nil || writeMessage(conn, message) != nil {
		n.loop.post(func() { n.endSharing(nil) })
		return
	}
	slog.Info("handover: state handed over", "bytes", len(message))
	successorGone := make(chan struct{})
	go func() {
		defer close(successorGone)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-successorGone:
		slog.Warn("handover: the successor has ended")
		n.loop.post(func() { n.endSharing(nil) })
	case <-n.loop.ended: // the remainder is used by the other process only
		if remainder, err := n.loop.controller.RemainingTokens(n.loop.now()); err == nil && n.loop.failure == nil {
			_ = conn.SetWriteDeadline(time.Now().Add(handoverTimeout))
			_ = writeMessage(conn, remainder)
		}
		_ = conn.Close()
		<-successorGone
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
	state := handoverState{Version: handoverVersion, Discovery: address, LastID: l.lastServerID, IDs: l.serverIDs,
		List: discovery.Update{Rev: l.listRevision, All: true}, NodesPerServer: l.nodesPerServer, Module: module}
	if l.nodesPerServer > 0 {
		state.Discovery = "" // the list is a subset: the next process, also of an older version, must fetch the whole
	}
	for _, t := range l.endpoints {
		state.List.Targets = append(state.List.Targets, t)
	}
	return state
}

// rememberEndpoints keeps the endpoint list for a process that takes over.
func (l *loop) recordEndpoints(kind control.UpdateKind, update discovery.Update) {
	if kind != control.Delta {
		clear(l.endpoints)
	}
	for _, t := range update.Targets {
		if t.Status() == discovery.Removed {
			delete(l.endpoints, t.UID)
		} else {
			l.endpoints[t.UID] = t
		}
	}
	l.listRevision, l.nodesPerServer = update.Rev, update.NodesPerServer
}
