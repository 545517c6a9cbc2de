package learner

import (
	"log/slog"

	"sloestile/fleet/rules"
	"sloestile/internal/canonical"
)

// Kinds of messages between learners: the first byte of a message. They differ from the first byte of a CBOR map, with
// which all other messages between nodes begin.
const (
	kindRules       = 1
	kindPartRequest = 2
	kindPart        = 3
	kindStatus      = 4

	maxMessageBytes = 1300
)

// partRequest requests parts of a text. Like the other messages, it is encoded as a CBOR array in the order of its
// fields.
type partRequest struct {
	_      struct{} `cbor:",toarray"`
	Sender int      // index of the sending node
	Digest rules.Digest
	First  int // index of the first part
	Count  int // number of parts
}

// textPart is one part of a text, or the answer that the sender does not have the text.
type textPart struct {
	_      struct{} `cbor:",toarray"`
	Digest rules.Digest
	Known  bool // false if the sender does not have the text
	Size   int  // bytes of the whole text
	Index  int  // index of the part
	Bytes  []byte
}

// statusReport is the status that a node reports to its first grantor: its own and that of the nodes that report to it.
type statusReport struct {
	_           struct{} `cbor:",toarray"`
	Sender      int      // index of the sending node
	Incarnation uint64
	Status      FleetStatus
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{MaxArrayElements: 64, MaxMapPairs: 16, MaxNestedLevels: 4}.Decoder()
)

// decode decodes a message; nil means that it is corrupt.
func decode[T any](raw []byte) *T {
	v := new(T)
	if len(raw) > maxMessageBytes || decoder.Unmarshal(raw, v) != nil {
		return nil
	}
	return v
}

// send sends a message to the node with an index. A lost message is not sent again here: its sender retries.
func (l *Learner) send(to int, kind byte, raw []byte) {
	l.Counts.MessagesSent.Add(1)
	if err := l.config.Send(to, append([]byte{kind}, raw...)); err != nil {
		l.Counts.SendErrors.Add(1)
		slog.Debug("rules: sending a message failed", "to", to, "error", err)
	}
}

// Receive queues a message of another node for Run, and drops it if the queue is full. It does not block and does not
// keep raw. It is safe for concurrent use.
func (l *Learner) Receive(raw []byte) {
	task := l.taskOf(raw)
	if task == nil {
		l.Counts.MessagesCorrupt.Add(1)
		return
	}
	select {
	case l.tasks <- task:
	default:
		l.Counts.MessagesDropped.Add(1)
	}
}

// taskOf decodes a message and returns the task that handles it; nil means that the message is corrupt.
func (l *Learner) taskOf(raw []byte) func() {
	if len(raw) < 2 {
		return nil
	}
	isNodeIndex := func(index int) bool { return index >= 0 && index < l.config.FleetSize }
	switch raw[0] {
	case kindRules:
		m, err := rules.DecodeMessage(raw[1:], l.config.FleetSize)
		if err != nil {
			slog.Debug("rules: message is corrupt", "error", err)
			return nil
		}
		return func() { l.receiveRules(m) }
	case kindPartRequest:
		if request := decode[partRequest](raw[1:]); request != nil && isNodeIndex(request.Sender) {
			return func() { l.sendParts(request) }
		}
	case kindPart:
		if part := decode[textPart](raw[1:]); part != nil {
			return func() { l.receivePart(part) }
		}
	case kindStatus:
		if report := decode[statusReport](raw[1:]); report != nil && isNodeIndex(report.Sender) {
			return func() { l.reports.add(Clock(), report) }
		}
	}
	return nil
}

// receiveRules handles a message about leases. As a node has answered, the introduction interval starts over.
func (l *Learner) receiveRules(m *rules.Message) {
	l.receivedAt = Clock()
	l.introduceInterval = minIntroduceInterval
	l.node.Receive(l.receivedAt, m)
}
