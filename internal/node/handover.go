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

// This file implements the handover of a process's state to the process that replaces it, over a Unix socket in a
// folder that both share. The handover is optional: a process that finds no predecessor, or receives a state that it
// can't use, starts without that state.

const (
	handoverSocket     = "handover.sock"
	handoverTimeout    = 1500 * time.Millisecond // timeout for connecting, and for sending or receiving a message
	maxHandoverBytes   = 8 << 20                 // maximum size of a message
	handoverVersion    = 1                       // version of handoverState; the decision module's state has its own
	listConfirmTimeout = 3 * time.Second         // time after which a handed-over list is used without confirmation
	maxOverlap         = 12 * time.Second        // assumed maximum time for which two processes run at once
)

// handoverState is the state for the next process, encoded as JSON by its field names and tags: the decision module's
// state, the UIDs of its server IDs, and the endpoint list.
type handoverState struct {
	Version        int
	Discovery      string            // address of the discovery that List and its revision come from
	LastID         uint32            // highest assigned server ID
	IDs            map[string]uint32 // server IDs by UID
	List           discovery.Update
	NodesPerServer float64 `json:"Sharers,omitempty"` // NodesPerServer of List; 0 unless List is a subset
	Module         json.RawMessage
}

// writeMessage writes a message with its length and checksum, so that the receiver never uses an incomplete one.
func writeMessage(w io.Writer, message []byte) error {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	header = binary.BigEndian.AppendUint32(header, crc32.ChecksumIEEE(message))
	_, err := w.Write(append(header, message...))
	return err
}

// readMessage reads a message that writeMessage wrote.
func readMessage(r io.Reader) ([]byte, error) {
	var header [8]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > maxHandoverBytes {
		return nil, fmt.Errorf("message of %d bytes is too large", size)
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(r, message); err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(message) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errors.New("message is corrupt")
	}
	return message, nil
}

// receiveHandover receives and applies the state of the process that this one replaces. It returns the connection to
// that process, which stays open while both processes run, or nil if there is no such process, its state can't be used, or ctx
// ends.
func (n *Node) receiveHandover(ctx context.Context, dir string) net.Conn {
	dialer := net.Dialer{Timeout: handoverTimeout}
	conn, err := dialer.DialContext(ctx, "unix", filepath.Join(dir, handoverSocket))
	if err != nil {
		return nil // there is no previous process, or it has ended
	}
	_ = conn.SetDeadline(time.Now().Add(handoverTimeout))
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(pastDeadline) })()
	state, size, err := n.readHandover(conn)
	if err != nil {
		slog.Warn("handover: starting without the state of the previous process", "error", err)
		_ = conn.Close()
		// The other process still uses descriptors until it ends.
		n.upstream.sockets.setShared(true)
		time.AfterFunc(maxOverlap, func() { n.upstream.sockets.setShared(false) })
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	n.adoptList(state, true)
	n.handoverIDs = newIDExchange(n.loop, conn)
	n.announceIDs()
	n.upstream.sockets.setShared(true)
	slog.Info("handover: state taken over", "bytes", size, "endpoints", len(state.List.Targets))
	return conn
}

// readHandover reads the state of the previous process and restores the decision module's state from it. size is the
// message's size in bytes.
func (n *Node) readHandover(conn net.Conn) (state handoverState, size int, err error) {
	message, err := readMessage(conn)
	if err != nil {
		return state, 0, err
	}
	if err := json.Unmarshal(message, &state); err != nil {
		return state, 0, err
	}
	if state.Version != handoverVersion {
		return state, 0, fmt.Errorf("state has version %d, want %d", state.Version, handoverVersion)
	}
	if err := state.List.Check(); err != nil {
		return state, 0, err
	}
	return state, len(message), n.loop.controller.RestoreHandover(n.loop.now(), state.Module)
}

// adoptList adopts another process's endpoint list and server IDs. current reports whether the list is up to date, as
// that process still runs, so that its revision can be used.
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

// awaitPredecessor waits until the process that this one replaces ends, and applies the remaining tokens that it sends.
func (n *Node) awaitPredecessor(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	remainder, err := n.receiveRemainder()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		slog.Warn("handover: receiving the remaining tokens of the previous process failed", "error", err)
		remainder = nil
	}
	n.loop.post(func() { n.endSharing(remainder) })
}

// announceIDs tells the predecessor that this process understands an idMessage. Without it, the predecessor sends none; one of
// an older version ignores it.
func (n *Node) announceIDs() {
	if hello, err := json.Marshal(idMessage{map[string]time.Duration{}}); err == nil {
		_ = n.handoverIDs.send(hello)
	}
	n.handoverIDs.startSending()
}

// receiveRemainder waits for the remaining tokens of the predecessor, and remembers the IDs that it sends before.
func (n *Node) receiveRemainder() ([]byte, error) {
	defer close(n.handoverIDs.done)
	return n.handoverIDs.receive()
}

// endSharing ends the sharing of quotas and descriptors with the other process. remainder is the encoded remaining
// tokens of that process; nil means that there are none.
func (n *Node) endSharing(remainder []byte) {
	if err := n.loop.controller.EndSharing(n.loop.now(), remainder); err != nil {
		slog.Warn("handover: applying the remaining tokens of the previous process failed", "error", err)
	}
	n.upstream.sockets.setShared(false)
	n.loop.shareID = nil
}

// serveHandover accepts processes that start while this one runs and hands the state over to each, until ctx ends.
func (n *Node) serveHandover(ctx context.Context, dir string) {
	// The rename replaces the old socket atomically, so that the name always leads to a listener.
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

// serveSuccessor sends the state to a process that takes over. It returns once that process has ended or, after the
// loop has ended, the remaining tokens have been sent.
func (n *Node) serveSuccessor(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	encoded := make(chan []byte, 1)
	var ids *idExchange
	if !n.loop.post(func() {
		ids = newIDExchange(n.loop, conn)
		state, err := n.loop.handoverMessage(n.discovery.Address())
		if err != nil {
			slog.Warn("handover: encoding the state failed", "error", err)
		}
		n.upstream.sockets.setShared(true)
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
	defer close(ids.done)
	if message == nil || ids.send(message) != nil {
		n.loop.post(func() { n.endSharing(nil) })
		return
	}
	slog.Info("handover: state handed over", "bytes", len(message))
	successorGone := make(chan struct{})
	go func() {
		defer close(successorGone)
		ids.receiveAll()
	}()
	select {
	case <-successorGone:
		slog.Warn("handover: successor ended")
		n.loop.post(func() { n.endSharing(nil) })
	case <-n.loop.ended: // only the successor uses the remaining tokens
		if remainder, err := n.loop.controller.RemainingTokens(n.loop.now()); err == nil && n.loop.failure == nil {
			_ = ids.send(remainder)
		}
		_ = conn.Close()
		<-successorGone
	}
}

// handoverMessage returns the encoded state. From then on the decision module uses half of its quotas.
func (l *loop) handoverMessage(address string) ([]byte, error) {
	module, err := l.controller.Handover(l.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(l.handoverState(address, module))
}

// handoverState returns the loop's state. module is the encoded state of the decision module, address that of
// discovery.
func (l *loop) handoverState(address string, module []byte) handoverState {
	state := handoverState{Version: handoverVersion, Discovery: address, LastID: l.lastServerID, IDs: l.serverIDs,
		List: discovery.Update{Rev: l.listRevision, All: true}, NodesPerServer: l.nodesPerServer, Module: module}
	if l.nodesPerServer > 0 {
		state.Discovery = "" // the list is a subset: the next process, even of an older version, must fetch the complete list
	}
	for _, t := range l.endpoints {
		state.List.Targets = append(state.List.Targets, t)
	}
	return state
}

// recordEndpoints applies an update to the endpoint list that is handed over and persisted.
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
