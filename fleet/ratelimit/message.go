package ratelimit

import (
	"errors"
	"fmt"
	"math"

	"sloestile/internal/canonical"
)

const (
	// MaxMessageBytes is the maximum size of a message: it fits a datagram that no link fragments.
	MaxMessageBytes = 1300

	maxConsumptions = 25     // consumptions and transfers in a message
	maxAckLevels    = 12     // levels in a message with an acknowledgement
	maxLevels       = 28     // levels in a message that also holds maxOwners owner reports
	maxOwners       = 36     // owner reports in a message
	maxTokens       = 1e6    // tokens of a consumption or a level
	maxAgeMillis    = 60_000 // age of any entry, in ms
)

// Message is a message from one node to another. It holds consumptions and transfers, each of which the receiver
// applies once, and reports on levels, owners and slow servers. It is encoded as CBOR with the numbers in its tags as
// keys, which must not change; unknown fields are skipped.
type Message struct {
	Sender      int    `cbor:"1,keyasint"` // index in the fleet
	Incarnation uint64 `cbor:"2,keyasint"` // incarnation of the sender's process
	Number      uint32 `cbor:"3,keyasint"` // number of the message from this sender to this receiver

	// Echo is the highest message number that the sender has received from the receiver's process EchoIncarnation,
	// and EchoDelay the time since then in microseconds. This message was therefore sent no earlier than EchoDelay
	// after the receiver sent that one. Echo 0 means that no message has been received.
	Echo            uint32 `cbor:"4,keyasint,omitempty"`
	EchoIncarnation uint32 `cbor:"5,keyasint,omitempty"`
	EchoDelay       uint32 `cbor:"6,keyasint,omitempty"`

	// Sequence is the number of the batch of Consumptions and Transfers; 0 means that there are none.
	Sequence     uint32        `cbor:"7,keyasint,omitempty"`
	Acknowledged uint32        `cbor:"8,keyasint,omitempty"` // Sequence of the receiver's message that was applied last
	Consumptions []Consumption `cbor:"9,keyasint,omitempty"`
	Transfers    []Transfer    `cbor:"10,keyasint,omitempty"`
	// Hop is the number of the hop on which Levels, Owners and OutlierReports are sent, from 1 to lastHop; 0 means that
	// the owner sends them to this receiver only.
	Hop            int             `cbor:"11,keyasint,omitempty"`
	Levels         []LevelReport   `cbor:"12,keyasint,omitempty"`
	Owners         []OwnerReport   `cbor:"13,keyasint,omitempty"`
	OutlierReports []OutlierReport `cbor:"14,keyasint,omitempty"`

	ConsumptionAge uint32 `cbor:"15,keyasint,omitempty"` // age of the oldest of Consumptions, in ms
	TransferAge    uint32 `cbor:"16,keyasint,omitempty"` // age of the oldest provisional bucket of Transfers, in ms
}

// Consumption is the number of tokens of a tenant's quota that one node has consumed since its last notification of the
// owner. It is negative if the node had reported too many.
type Consumption struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	Plan   uint32
	First  int // NodeRange.First of the tenant
	Count  int // NodeRange.Count of the tenant
	Tokens float32
}

// Transfer is a bucket that an owner transfers to the next one.
type Transfer struct {
	_           struct{} `cbor:",toarray"`
	Tenant      uint64
	Plan        uint32
	First       int     // NodeRange.First of the tenant
	Count       int     // NodeRange.Count of the tenant
	Level       float32 // tokens in the bucket
	Consumed    float32 // tokens consumed since the sender created the bucket
	Provisional bool    // created with an estimated level, because the owner before was unreachable
}

// LevelReport is the level of a tenant's bucket.
type LevelReport struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	First  int // NodeRange.First of the tenant
	Count  int // NodeRange.Count of the tenant
	Tokens float32
	Age    uint32 // age in ms
}

// OwnerReport states that an owner has reported the levels of all its low buckets, so that its other buckets are not
// low.
type OwnerReport struct {
	_           struct{} `cbor:",toarray"`
	Node        int      // the owner
	MaxDistance int      // upper bound of the index distance from the owner to the nodes of its tenants
	Age         uint32   // age in ms
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{MaxArrayElements: 256, MaxMapPairs: 64, MaxNestedLevels: 8}.Decoder()
)

// Encode returns the canonical CBOR encoding of a message. It fails if that exceeds MaxMessageBytes.
func (m *Message) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	if err == nil && len(raw) > MaxMessageBytes {
		err = fmt.Errorf("message of %d bytes, over %d", len(raw), MaxMessageBytes)
	}
	return raw, err
}

// Decode decodes a message between nodes of a fleet of the given size. It returns an error if any part of the message
// is out of range.
func Decode(raw []byte, fleetSize int) (*Message, error) {
	if len(raw) > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes, over %d", len(raw), MaxMessageBytes)
	}
	m := &Message{}
	if err := decoder.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	return m, m.check(fleetSize)
}

// Errors of Message.check.
var (
	errHeader        = errors.New("message header out of range")
	errAge           = errors.New("message age out of range")
	errCount         = errors.New("message with too many entries")
	errConsumption   = errors.New("consumption out of range")
	errTransfer      = errors.New("transferred bucket out of range")
	errLevel         = errors.New("level report out of range")
	errOutlierReport = errors.New("outlier report out of range")
	errOwner         = errors.New("owner report out of range")
)

// check returns an error if any part of a message is out of range in a fleet of the given size.
func (m *Message) check(fleetSize int) error {
	validNode := func(i int) bool { return i >= 0 && i < fleetSize }
	unsequenced := m.Sequence == 0 && len(m.Consumptions)+len(m.Transfers) > 0
	if !validNode(m.Sender) || m.Number == 0 || m.Hop < 0 || m.Hop > lastHop || unsequenced {
		return errHeader
	}
	if m.ConsumptionAge > maxAgeMillis || m.TransferAge > maxAgeMillis {
		return errAge
	}
	if len(m.Consumptions) > maxConsumptions || len(m.Transfers) > maxConsumptions || len(m.Levels) > maxLevels ||
		len(m.Owners) > maxOwners || len(m.OutlierReports) > maxOutlierReports {
		return errCount
	}
	if err := m.checkBuckets(fleetSize); err != nil {
		return err
	}
	for _, r := range m.OutlierReports {
		if !validNode(r.Reporter) || r.Age > maxAgeMillis {
			return errOutlierReport
		}
	}
	for _, o := range m.Owners {
		if !validNode(o.Node) || !validNode(o.MaxDistance) || o.Age > maxAgeMillis {
			return errOwner
		}
	}
	return nil
}

// checkBuckets checks the consumptions, transfers and levels of a message.
func (m *Message) checkBuckets(fleetSize int) error {
	validRange := func(first, count int) bool {
		return first >= 0 && first < fleetSize && count >= 1 && count <= fleetSize
	}
	validTokens := func(tokens float32) bool { return math.Abs(float64(tokens)) <= maxTokens } // false for a NaN
	for _, c := range m.Consumptions {
		if !validRange(c.First, c.Count) || !validTokens(c.Tokens) {
			return errConsumption
		}
	}
	for _, t := range m.Transfers {
		if !validRange(t.First, t.Count) || !validTokens(t.Level) || !validTokens(t.Consumed) {
			return errTransfer
		}
	}
	for _, l := range m.Levels {
		if !validRange(l.First, l.Count) || !validTokens(l.Tokens) || l.Age > maxAgeMillis {
			return errLevel
		}
	}
	return nil
}
