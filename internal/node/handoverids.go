package node

import (
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"
)

// maxQueuedIDs is the number of IDs that wait to be sent to the other process of a handover; further ones are not sent.
const maxQueuedIDs = 256

// idMessage is a message between the two processes of a handover: requests that are not idempotent and may have run at the
// sender, with the time for which their IDs are remembered. The first one says that the sender understands such messages.
type idMessage struct{ RecentIDs map[string]time.Duration }

// idExchange sends the IDs that this process remembers to the other process of a handover, and receives that process's.
// Only a process that has announced that it understands them gets any.
type idExchange struct {
	loop    *loop
	conn    net.Conn
	mu      sync.Mutex // held while a message is written
	queue   chan idMessage
	sending sync.Once
	done    chan struct{} // closed when the handover has ended
}

// newIDExchange returns an exchange over a connection, which begins with the IDs that this process remembers. The caller must
// run on the loop's goroutine, or before the loop runs.
func newIDExchange(l *loop, conn net.Conn) *idExchange {
	e := &idExchange{loop: l, conn: conn, queue: make(chan idMessage, maxQueuedIDs), done: make(chan struct{})}
	e.queue <- idMessage{l.recentIDs.remaining(time.Now())}
	l.shareID = func(id string, memory time.Duration) {
		select {
		case e.queue <- idMessage{map[string]time.Duration{id: memory}}:
		default:
		}
	}
	return e
}

// send writes a message.
func (e *idExchange) send(message []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.conn.SetWriteDeadline(time.Now().Add(handoverTimeout))
	return writeMessage(e.conn, message)
}

// startSending starts to send the queued IDs, once.
func (e *idExchange) startSending() {
	e.sending.Do(func() { go e.sendIDs() }) // ends with the handover
}

// sendIDs writes the queued messages until the handover has ended.
func (e *idExchange) sendIDs() {
	for {
		select {
		case <-e.done:
			return
		case m := <-e.queue:
			if encoded, err := json.Marshal(m); err != nil || e.send(encoded) != nil {
				return
			}
		}
	}
}

// receive reads messages until the connection ends or a message has no IDs, which it returns.
func (e *idExchange) receive() ([]byte, error) {
	for {
		message, err := readMessage(e.conn)
		if err != nil {
			return nil, err
		}
		ids, ok := decodeIDs(message)
		if !ok {
			return message, nil
		}
		e.startSending()
		e.loop.post(func() { e.loop.addRecentIDs(ids.RecentIDs) })
	}
}

// decodeIDs decodes a message with IDs. ok is false for any other message.
func decodeIDs(message []byte) (ids idMessage, ok bool) {
	err := json.Unmarshal(message, &ids)
	return ids, err == nil && ids.RecentIDs != nil
}

// receiveAll is receive for the predecessor, which gets IDs only: it discards what it does not understand.
func (e *idExchange) receiveAll() {
	if _, err := e.receive(); err == nil {
		_, _ = io.Copy(io.Discard, e.conn)
	}
}

// addRecentIDs remembers requests of the other process.
func (l *loop) addRecentIDs(ids map[string]time.Duration) {
	now := time.Now()
	for id, memory := range ids {
		l.recentIDs.add(id, now, memory)
	}
}

// rememberID remembers that a request that is not idempotent is sent to a server, here and at the other process of a
// handover.
func (l *loop) rememberID(x *exchange) {
	if x.idMemory == 0 {
		return
	}
	l.recentIDs.add(x.req.ID, time.Now(), x.idMemory)
	if l.shareID != nil {
		l.shareID(x.req.ID, x.idMemory)
	}
}

// isRepeated reports whether a request has the ID of an open one, or of one that may have run and must not run again.
func (l *loop) isRepeated(x *exchange) bool {
	return l.exchanges[x.req.ID] != nil || (x.idMemory > 0 && l.recentIDs.contains(x.req.ID, time.Now()))
}
