package ratelimit

import (
	"errors"
	"fmt"
	"math"

	"sloestile/internal/canonical"
)

const (
	// MaxMessageBytes is the size of a message at most: a datagram that no link splits.
	MaxMessageBytes = 1300

	maxConsumptions = 25     // and transfers, in a message
	maxAckLevels    = 12     // levels beside an acknowledgement
	maxLevels       = 28     // in a message, beside maxOwners
	maxOwners       = 36     // in a message
	maxTokens       = 1e6    // of a consumption or a level
	maxAgeMillis    = 60_000 // of all that a message holds
)

// Message is what one node sends another: consumptions and transfers, each to be applied once, and reports of levels,
// owners and slow servers. It is encoded as CBOR by the numbers in its tags, which may not change; unknown fields are
// skipped.
type Message struct {
	Sender      int    `cbor:"1,keyasint"` // index in the fleet
	Incarnation uint64 `cbor:"2,keyasint"` // of the sender's process
	Number      uint32 `cbor:"3,keyasint"` // counts its messages to this receiver

	// Echo is the latest message number that has come of the receiver's process EchoIncarnation, EchoDelay the time
	// since in microseconds: this message was sent no earlier than EchoDelay after the receiver sent that one.
	Echo            uint32 `cbor:"4,keyasint,omitempty"`
	EchoIncarnation uint32 `cbor:"5,keyasint,omitempty"`
	EchoDelay       uint32 `cbor:"6,keyasint,omitempty"`

	Sequence     uint32        `cbor:"7,keyasint,omitempty"` // of Consumptions and Transfers; 0 is none
	Acknowledged uint32        `cbor:"8,keyasint,omitempty"` // the receiver's Sequence that was applied last
	Consumptions []Consumption `cbor:"9,keyasint,omitempty"`
	Transfers    []Transfer    `cbor:"10,keyasint,omitempty"`
	// Hop counts how often Levels, Owners and SlowReports were forwarded; 0 is by the owner for its receiver alone.
	Hop         int           `cbor:"11,keyasint,omitempty"`
	Levels      []LevelReport `cbor:"12,keyasint,omitempty"`
	Owners      []OwnerReport `cbor:"13,keyasint,omitempty"`
	SlowReports []SlowReport  `cbor:"14,keyasint,omitempty"`

	ConsumptionAge uint32 `cbor:"15,keyasint,omitempty"` // ms that the oldest of Consumptions has waited
	TransferAge    uint32 `cbor:"16,keyasint,omitempty"` // ms since the oldest inherited bucket of Transfers was made
}

// Consumption is the tokens that one node has consumed of a tenant's quota since its last report to the owner; below
// zero, tokens that it had counted too many.
type Consumption struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	Plan   uint32
	First  int // of the tenant's nodes
	Count  int
	Tokens float32
}

// Transfer is a bucket that an owner hands to the next one.
type Transfer struct {
	_         struct{} `cbor:",toarray"`
	Tenant    uint64
	Plan      uint32
	First     int // of the tenant's nodes
	Count     int
	Level     float32
	Consumed  float32 // since it was made
	Inherited bool    // made to follow an owner that was not heard
}

// LevelReport is the level of a tenant's bucket.
type LevelReport struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	First  int // of the tenant's nodes
	Count  int
	Tokens float32
	Age    uint32 // ms
}

// OwnerReport says that an owner has reported all its low buckets.
type OwnerReport struct {
	_        struct{} `cbor:",toarray"`
	Node     int
	MaxRange int    // how far from it, by index, its tenants' nodes are
	Age      uint32 // ms
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{MaxArrayElements: 256, MaxMapPairs: 64, MaxNestedLevels: 8}.Decoder()
)

// Encode returns a message's bytes, in canonical form.
func (m *Message) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	if err == nil && len(raw) > MaxMessageBytes {
		err = fmt.Errorf("message of %d bytes, over %d", len(raw), MaxMessageBytes)
	}
	return raw, err
}

// Decode reads a message of a node of a fleet. A message with anything that is out of range is dropped whole.
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

// Errors of a message that holds what is out of range.
var (
	errHeader      = errors.New("message header out of range")
	errAge         = errors.New("message age out of range")
	errCount       = errors.New("message with too many entries")
	errConsumption = errors.New("consumption out of range")
	errTransfer    = errors.New("transferred bucket out of range")
	errLevel       = errors.New("level report out of range")
	errSlowReport  = errors.New("slow report out of range")
	errOwner       = errors.New("owner report out of range")
)

// check reports what of a message is out of range in a fleet of some size.
func (m *Message) check(fleetSize int) error {
	isNode := func(i int) bool { return i >= 0 && i < fleetSize }
	unsequenced := m.Sequence == 0 && len(m.Consumptions)+len(m.Transfers) > 0
	if !isNode(m.Sender) || m.Number == 0 || m.Hop < 0 || m.Hop > lastHop || unsequenced {
		return errHeader
	}
	if m.ConsumptionAge > maxAgeMillis || m.TransferAge > maxAgeMillis {
		return errAge
	}
	if len(m.Consumptions) > maxConsumptions || len(m.Transfers) > maxConsumptions || len(m.Levels) > maxLevels ||
		len(m.Owners) > maxOwners || len(m.SlowReports) > maxSlowReports {
		return errCount
	}
	if err := m.checkBuckets(fleetSize); err != nil {
		return err
	}
	for _, r := range m.SlowReports {
		if !isNode(r.Node) || r.Age > maxAgeMillis {
			return errSlowReport
		}
	}
	for _, o := range m.Owners {
		if !isNode(o.Node) || !isNode(o.MaxRange) || o.Age > maxAgeMillis {
			return errOwner
		}
	}
	return nil
}

// checkBuckets checks what a message says of tenants' buckets.
func (m *Message) checkBuckets(fleetSize int) error {
	isRange := func(first, count int) bool {
		return first >= 0 && first < fleetSize && count >= 1 && count <= fleetSize
	}
	inRange := func(tokens float32) bool { return math.Abs(float64(tokens)) <= maxTokens } // false for a NaN
	for _, c := range m.Consumptions {
		if !isRange(c.First, c.Count) || !inRange(c.Tokens) {
			return errConsumption
		}
	}
	for _, t := range m.Transfers {
		if !isRange(t.First, t.Count) || !inRange(t.Level) || !inRange(t.Consumed) {
			return errTransfer
		}
	}
	for _, l := range m.Levels {
		if !isRange(l.First, l.Count) || !inRange(l.Tokens) || l.Age > maxAgeMillis {
			return errLevel
		}
	}
	return nil
}
