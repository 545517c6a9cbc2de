package learner

import (
	"log/slog"

	"sloestile/fleet/rules"
	"sloestile/internal/canonical"
)

// Kinds of messages, by their first byte. None is the first byte of a CBOR map, with which other messages begin.
const (
	kindRules       = 1
	kindPartRequest = 2
	kindPart        = 3
	kindStatus      = 4

	maxMessageBytes = 1300
)

// partRequest asks a neighbour for parts of a text. Messages are encoded as CBOR arrays in the order of their fields.
type partRequest struct {
	_      struct{} `cbor:",toarray"`
	Sender int
	Digest rules.Digest
	First  int
	Count  int
}

// textPart is one part of a text.
type textPart struct {
	_      struct{} `cbor:",toarray"`
	Digest rules.Digest
	Known  bool // else the neighbour does not have the text
	Size   int  // of the text
	Index  int  // of the part
	Bytes  []byte
}

// statusReport is what a node reports to the one from which it requests leases.
type statusReport struct {
	_           struct{} `cbor:",toarray"`
	Sender      int
	Incarnation uint64
	Status      FleetStatus
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{ArrayElements: 64, MapPairs: 16, NestedLevels: 4}.Decoder()
)

// decode reads a message; nil is that it is corrupt.
func decode[T any](raw []byte) *T {
	v := new(T)
	if len(raw) > maxMessageBytes || decoder.Unmarshal(raw, v) != nil {
		return nil
	}
	return v
}

func (l *Learner) send(to int, kind byte, raw []byte) {
	l.Counts.Sent.Add(1)
	if err := l.config.Send(to, append([]byte{kind}, raw...)); err != nil {
		l.Counts.Unsent.Add(1)
		slog.Debug("rules: sending a message failed", "to", to, "error", err)
	}
}

// Receive takes a message of another node; the bytes are the caller's after it.
func (l *Learner) Receive(raw []byte) {
	task := l.read(raw)
	if task == nil {
		l.Counts.Corrupt.Add(1)
		return
	}
	select {
	case l.tasks <- task:
	default:
		l.Counts.Dropped.Add(1)
	}
}

// read returns the task that a message asks for; nil is that it is corrupt.
func (l *Learner) read(raw []byte) func() {
	if len(raw) < 2 {
		return nil
	}
	isNode := func(index int) bool { return index >= 0 && index < l.config.FleetSize }
	switch raw[0] {
	case kindRules:
		m, err := rules.DecodeMessage(raw[1:], l.config.FleetSize)
		if err != nil {
			slog.Debug("rules: message dropped", "error", err)
			return nil
		}
		return func() { l.receiveRules(m) }
	case kindPartRequest:
		if request := decode[partRequest](raw[1:]); request != nil && isNode(request.Sender) {
			return func() { l.sendParts(request) }
		}
	case kindPart:
		if part := decode[textPart](raw[1:]); part != nil {
			return func() { l.receivePart(part) }
		}
	case kindStatus:
		if report := decode[statusReport](raw[1:]); report != nil && isNode(report.Sender) {
			return func() { l.reports.receive(Clock(), report) }
		}
	}
	return nil
}

func (l *Learner) receiveRules(m *rules.Message) {
	l.receivedAt = Clock()
	l.introducePause = introduceAfter
	l.node.Receive(l.receivedAt, m)
}
