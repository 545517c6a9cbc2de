package share

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MessageMost is the bytes of a message at most: a datagram that no link splits.
	MessageMost = 1300
	usesMost    = 25  // and stores, in a message
	ackedMost   = 12  // levels beside the word that uses were counted
	levelsMost  = 28  // in a message, beside ownersMost
	ownersMost  = 36  // in a message
	unitsMost   = 1e6 // of a use or a level; more can't be
	ageMost     = 60_000
)

// Message is what one node tells another: the uses and stores that it is to count, each once, and
// levels and owners that are of worth for a while. Fields that are not known are skipped.
type Message struct {
	From   int    `cbor:"1,keyasint"` // index of the sender in the group
	Life   uint64 `cbor:"2,keyasint"` // of its process
	Number uint32 `cbor:"3,keyasint"` // counts its messages to this receiver
	// The latest number of the receiver's process EchoLife that has come, and the time since, in
	// us: the sender sent this message no earlier than the receiver sent that one and Held more.
	Echo     uint32 `cbor:"4,keyasint,omitempty"`
	EchoLife uint32 `cbor:"5,keyasint,omitempty"`
	Held     uint32 `cbor:"6,keyasint,omitempty"`

	Seq     uint32   `cbor:"7,keyasint,omitempty"` // of Uses and Hands, to be counted once; 0 is none
	Acked   uint32   `cbor:"8,keyasint,omitempty"` // the receiver's Seq that was counted last
	Uses    []Use    `cbor:"9,keyasint,omitempty"`
	Hands   []Hand   `cbor:"10,keyasint,omitempty"`
	Hop     int      `cbor:"11,keyasint,omitempty"` // that Levels and Owners have come; 0 is from the owner alone
	Levels  []Level  `cbor:"12,keyasint,omitempty"`
	Owners  []Told   `cbor:"13,keyasint,omitempty"`
	Charges []Charge `cbor:"14,keyasint,omitempty"`
	// For how long the oldest of Uses has waited to be told, and since when the oldest of Hands that
	// followed an owner unheard was kept, in ms.
	UseAge  uint32 `cbor:"15,keyasint,omitempty"`
	HandAge uint32 `cbor:"16,keyasint,omitempty"`
}

// Use is the units that one node has sent on for a customer since it told its owner last; below
// zero, units that it had counted too many.
type Use struct {
	_        struct{} `cbor:",toarray"`
	Customer uint64
	Plan     uint32
	First    int // of its set
	Spread   int
	Units    float32
}

// Hand is a store that an owner gives to the one that follows it.
type Hand struct {
	_        struct{} `cbor:",toarray"`
	Customer uint64
	Plan     uint32
	First    int
	Spread   int
	Level    float32
	Taken    float32 // since it was made
	Guessed  bool    // made to follow an owner that was not heard
}

// Level is the units that a customer's store held.
type Level struct {
	_        struct{} `cbor:",toarray"`
	Customer uint64
	First    int // of its set
	Spread   int
	Units    float32
	Age      uint32 // ms
}

// Told is an owner all of whose low stores were told by a time.
type Told struct {
	_     struct{} `cbor:",toarray"`
	Node  int
	Reach int    // how far from it, by index, its customers' sets go
	Age   uint32 // ms
}

var (
	encoder = must(cbor.CanonicalEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 256, MaxMapPairs: 64, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // options of the program's own
	}
	return v
}

// Encode gives a message's bytes, in canonical form.
func (m *Message) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	if err == nil && len(raw) > MessageMost {
		err = fmt.Errorf("a message of %d bytes", len(raw))
	}
	return raw, err
}

// Decode reads a message of a group's node. One that holds anything that can't be is refused whole.
func Decode(raw []byte, group int) (*Message, error) {
	if len(raw) > MessageMost {
		return nil, fmt.Errorf("a message of %d bytes", len(raw))
	}
	m := &Message{}
	if err := decoder.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	return m, m.check(group)
}

func (m *Message) check(group int) error {
	node := func(i int) bool { return i >= 0 && i < group }
	set := func(first, spread int) bool { return node(first) && spread >= 1 && spread <= group }
	units := func(v float32) bool { return math.Abs(float64(v)) <= unitsMost } // a NaN is not
	if !node(m.From) || m.Number == 0 || m.Hop < 0 || m.Hop > hopLast || m.Seq == 0 && len(m.Uses)+len(m.Hands) > 0 {
		return errors.New("a head that can't be")
	}
	if m.UseAge > ageMost || m.HandAge > ageMost {
		return errors.New("a wait that can't be")
	}
	if len(m.Uses) > usesMost || len(m.Hands) > usesMost || len(m.Levels) > levelsMost || len(m.Owners) > ownersMost ||
		len(m.Charges) > chargesMost {
		return errors.New("more in a message than there can be")
	}
	for _, u := range m.Uses {
		if !set(u.First, u.Spread) || !units(u.Units) {
			return errors.New("a use that can't be")
		}
	}
	for _, h := range m.Hands {
		if !set(h.First, h.Spread) || !units(h.Level) || !units(h.Taken) {
			return errors.New("a store that can't be")
		}
	}
	for _, l := range m.Levels {
		if !set(l.First, l.Spread) || !units(l.Units) || l.Age > ageMost {
			return errors.New("a level that can't be")
		}
	}
	for _, c := range m.Charges {
		if !node(c.Node) || c.Age > ageMost {
			return errors.New("a charge that can't be")
		}
	}
	for _, o := range m.Owners {
		if !node(o.Node) || !node(o.Reach) || o.Age > ageMost {
			return errors.New("an owner that can't be")
		}
	}
	return nil
}
