package rules

import (
	"errors"
	"fmt"
	"time"
)

// MaxMessageBytes is the size of a message at most.
const MaxMessageBytes = 256

const (
	maxNodes       = 1 << 20
	maxLeaseMicros = uint32(time.Hour / time.Microsecond)
)

// LeaseParams are the times and limits of the leases, the same at all nodes of a fleet.
type LeaseParams struct {
	LeaseDuration time.Duration // length of a lease
	MaxOverlap    time.Duration // for which two versions are acted by side by side at most
	RenewInterval time.Duration // between two requests
	RetryInterval time.Duration // until a request or a notification without an answer is sent again
	MaxClockDrift float64       // fraction by which the rates of two nodes' clocks differ at most
	MaxHolders    int           // of one grantor
}

// DefaultLeaseParams are the terms of a fleet where nothing else is said. A leader that dies is followed within 2 s, so a lease
// has 3 s left where it is renewed each second. A clock is slewed by 500 parts in a million and its crystal is off by less
// than 100; MaxClockDrift is ten times what two such can do.
var DefaultLeaseParams = LeaseParams{
	LeaseDuration: 4 * time.Second,
	MaxOverlap:    time.Second,
	RenewInterval: time.Second,
	RetryInterval: 100 * time.Millisecond,
	MaxClockDrift: 0.01,
	MaxHolders:    160,
}

// withDriftMargin returns the time on one node's clock in which a span on any other's has passed for sure.
func (t *LeaseParams) withDriftMargin(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*t.MaxClockDrift)
}

// maxLeaseDuration returns the length of the leases that may be granted in a state.
func (t *LeaseParams) maxLeaseDuration(s *VersionState) time.Duration {
	switch {
	case s.Active.Number == 0:
		return 0
	case s.Prepared.Number == 0:
		return t.LeaseDuration
	case s.Kind == Overlap:
		return min(t.LeaseDuration, time.Duration(float64(t.MaxOverlap)/(1+t.MaxClockDrift)))
	}
	return 0
}

// Message is what one node sends another about leases. It has any of its parts. It is encoded as CBOR by the numbers in
// its tags; unknown fields are skipped.
type Message struct {
	Sender        int           `cbor:"1,keyasint"` // index in the fleet
	Incarnation   uint64        `cbor:"2,keyasint"` // of the sender's process
	Request       *LeaseRequest `cbor:"3,keyasint,omitempty"`
	Grant         *LeaseGrant   `cbor:"4,keyasint,omitempty"`
	State         *VersionState `cbor:"5,keyasint,omitempty"` // of a grantor: to be acknowledged where a version is prepared
	AckedRevision uint64        `cbor:"6,keyasint,omitempty"` // revision to which all leases at and from the sender are trimmed
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32   // counts the requests of a process
	Revision uint64   // of the state that the sender has
	Fresh    bool     // only a lease that the leader granted after the request will do
}

// LeaseGrant answers a request, with a lease or without.
type LeaseGrant struct {
	_           struct{}      `cbor:",toarray"`
	Incarnation uint64        // of the requesting process
	Sequence    uint32        // of the request
	Revision    uint64        // of the state in which it was granted
	Length      uint32        // us, from before the request was sent; 0 is no lease
	Full        bool          // this grantor has as many holders as it can: request from another one
	State       *VersionState // where the requester had another revision
}

// Encode returns a message's bytes, in canonical form.
func (m *Message) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	if err == nil && len(raw) > MaxMessageBytes {
		err = &TooLargeError{"bytes of a message", len(raw), MaxMessageBytes}
	}
	return raw, err
}

// DecodeMessage reads a message of a node of a fleet. A message with anything that is out of range is dropped whole.
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

// Errors of a message that holds what is out of range.
var (
	errNoSequence      = errors.New("lease request without a sequence number")
	errGrantOutOfRange = errors.New("lease grant out of range")
	errImpossibleState = errors.New("version state that no registry has")
)

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

func (g *LeaseGrant) valid() bool {
	if g.Sequence == 0 || g.Length > maxLeaseMicros {
		return false
	}
	return g.State == nil || g.State.Revision == g.Revision
}

func (m *Message) grantedState() *VersionState {
	if m.Grant == nil {
		return nil
	}
	return m.Grant.State
}

// valid reports whether a registry can have the state.
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
