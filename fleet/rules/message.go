package rules

import (
	"errors"
	"fmt"
	"time"
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 256

const (
	maxNodes       = 1 << 20                              // largest size of a fleet
	maxLeaseMicros = uint32(time.Hour / time.Microsecond) // longest lease that a message may grant
)

// LeaseParams are the durations and limits of leases. They are the same at all nodes of a fleet.
type LeaseParams struct {
	LeaseDuration time.Duration // length of a lease while no activation is prepared
	MaxOverlap    time.Duration // longest time for which two versions are in effect side by side in the fleet
	RenewInterval time.Duration // interval between two requests of a holder
	RetryInterval time.Duration // initial delay before an unanswered request or notification is sent again
	MaxClockDrift float64       // maximum difference of the rates of two nodes' clocks, as a fraction
	MaxHolders    int           // maximum number of holders of one grantor
}

// DefaultLeaseParams are the default parameters. A lease that is renewed every second has at least 3 s left when the
// leader fails, and a new leader is elected within 2 s, so that a failover leaves no gap. A clock is slewed by up to
// 500 ppm and its crystal is off by less than 100 ppm; MaxClockDrift is about eight times the difference that two such
// clocks can have.
var DefaultLeaseParams = LeaseParams{
	LeaseDuration: 4 * time.Second,
	MaxOverlap:    time.Second,
	RenewInterval: time.Second,
	RetryInterval: 100 * time.Millisecond,
	MaxClockDrift: 0.01,
	MaxHolders:    160,
}

// withDriftMargin returns how far one node's clock has to advance until the span has certainly passed by any other's
// clock.
func (p *LeaseParams) withDriftMargin(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*p.MaxClockDrift)
}

// maxLeaseDuration returns the maximum length of the leases that may be granted in a state; 0 means none.
func (p *LeaseParams) maxLeaseDuration(s *VersionState) time.Duration {
	switch {
	case s.Active.Number == 0:
		return 0
	case s.Prepared.Number == 0:
		return p.LeaseDuration
	case s.Kind == Overlap:
		return min(p.LeaseDuration, time.Duration(float64(p.MaxOverlap)/(1+p.MaxClockDrift)))
	}
	return 0
}

// Message is what one node sends to another about leases. Any of the optional fields may be set together. It is encoded
// as a CBOR map with the integer keys of its tags; unknown fields are skipped.
type Message struct {
	Sender      int           `cbor:"1,keyasint"` // index of the sending node in the fleet
	Incarnation uint64        `cbor:"2,keyasint"` // incarnation of the sender's process
	Request     *LeaseRequest `cbor:"3,keyasint,omitempty"`
	Grant       *LeaseGrant   `cbor:"4,keyasint,omitempty"`
	// State is the sender's state. The receiver acknowledges it if a version is prepared in it.
	State *VersionState `cbor:"5,keyasint,omitempty"`
	// AckedRevision acknowledges the preparation with this revision: the sender's own leases and all leases that it has
	// granted are trimmed for it. 0 means no acknowledgement.
	AckedRevision uint64 `cbor:"6,keyasint,omitempty"`
}

// LeaseRequest requests a lease on the active version.
type LeaseRequest struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32   // counts the requests of a process, from 1
	Revision uint64   // revision of the sender's state
	Fresh    bool     // accept only a lease that the leader granted after this request
}

// LeaseGrant answers a request, with a lease or without one.
type LeaseGrant struct {
	_           struct{}      `cbor:",toarray"`
	Incarnation uint64        // incarnation of the requesting process
	Sequence    uint32        // sequence number of the request
	Revision    uint64        // revision of the state in which it was granted
	Length      uint32        // in microseconds, counted from the sending of the request; 0 means no lease
	Full        bool          // the grantor has MaxHolders holders already; request from another one
	State       *VersionState // state of the grantor; nil if the requester had the same revision
}

// Encode returns the canonical encoding of a message.
func (m *Message) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	if err == nil && len(raw) > MaxMessageBytes {
		err = &TooLargeError{"bytes of a message", len(raw), MaxMessageBytes}
	}
	return raw, err
}

// DecodeMessage decodes a message from a node of a fleet with this many nodes. It rejects a message that has any value
// out of range.
func DecodeMessage(raw []byte, fleetSize int) (*Message, error) {
	if len(raw) > MaxMessageBytes {
		return nil, &CorruptError{"message", &TooLargeError{"bytes of a message", len(raw), MaxMessageBytes}}
	}
	m := &Message{}
	if err := lenientDecoder.Unmarshal(raw, m); err != nil {
		return nil, &CorruptError{"message", err}
	}
	if err := m.check(fleetSize); err != nil {
		return nil, &CorruptError{"message", err}
	}
	return m, nil
}

// Errors for messages with values out of range.
var (
	errNoSequence      = errors.New("lease request without a sequence number")
	errGrantOutOfRange = errors.New("lease grant out of range")
	errImpossibleState = errors.New("version state that no registry can be in")
)

// check returns an error if a value of the message is out of range.
func (m *Message) check(fleetSize int) error {
	if m.Sender < 0 || m.Sender >= min(fleetSize, maxNodes) || m.Incarnation == 0 {
		return fmt.Errorf("node %d, incarnation %d in a fleet of %d", m.Sender, m.Incarnation, fleetSize)
	}
	if m.Request != nil && m.Request.Sequence == 0 {
		return errNoSequence
	}
	if m.Grant != nil && !m.Grant.valid() {
		return errGrantOutOfRange
	}
	for _, s := range []*VersionState{m.State, m.grantedState()} {
		if s != nil && !s.valid() {
			return errImpossibleState
		}
	}
	return nil
}

// valid reports whether the values of a grant are in range and its revision is that of its state.
func (g *LeaseGrant) valid() bool {
	if g.Sequence == 0 || g.Length > maxLeaseMicros {
		return false
	}
	return g.State == nil || g.State.Revision == g.Revision
}

// grantedState returns the state within the message's grant, or nil.
func (m *Message) grantedState() *VersionState {
	if m.Grant == nil {
		return nil
	}
	return m.Grant.State
}

// valid reports whether a registry can be in the state.
func (s *VersionState) valid() bool {
	if s.Prepared.Number != 0 {
		known := s.Kind == Overlap || s.Kind == Exclusive
		return s.Revision > 0 && s.Prepared.Number > s.Active.Number && known
	}
	if s.Kind != 0 {
		return false
	}
	return s.Active.Number == 0 || s.Revision > 0
}
