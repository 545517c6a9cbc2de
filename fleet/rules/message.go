package rules

import (
	"errors"
	"fmt"
	"time"
)

// MessageMost is the bytes of a message at most.
const MessageMost = 256

const (
	nodeMost   = 1 << 20
	lengthMost = uint32(time.Hour / time.Microsecond)
)

// Terms are the figures of the leases, the same at all nodes of a fleet.
type Terms struct {
	Lease   time.Duration // length of a lease
	Overlap time.Duration // for which two versions are acted by side by side at most
	Renew   time.Duration // between two asks
	Retry   time.Duration // until an ask or a tell that nobody has answered goes again
	Drift   float64       // by which the rates of two nodes' clocks differ at most, as a part
	Holders int           // that one grantor has at most
}

// Usual are the terms that a fleet has where nothing else is said. A leader that dies is followed
// within 2 s, so a lease has 3 s left where it is renewed each second. A clock is slewed by 500
// parts in a million and its crystal is off by less than 100; Drift is ten times what two such can do.
var Usual = Terms{Lease: 4 * time.Second, Overlap: time.Second, Renew: time.Second, Retry: 100 * time.Millisecond, Drift: 0.01, Holders: 160}

// counted is the time on one node's clock in which a span on any other's has passed for sure.
func (t *Terms) counted(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*t.Drift)
}

// most is the length of the leases that may be granted under a word.
func (t *Terms) most(w *Word) time.Duration {
	switch {
	case w.Now.Number == 0:
		return 0
	case w.Next.Number == 0:
		return t.Lease
	case w.Kind == Overlap:
		return min(t.Lease, time.Duration(float64(t.Overlap)/(1+t.Drift)))
	}
	return 0
}

// Message is what one node tells another of leases. It has any of its parts. Fields that are not
// known are skipped.
type Message struct {
	From  int    `cbor:"1,keyasint"` // index of the sender in the group
	Life  uint64 `cbor:"2,keyasint"` // of its process
	Ask   *Ask   `cbor:"3,keyasint,omitempty"`
	Grant *Grant `cbor:"4,keyasint,omitempty"`
	Tell  *Word  `cbor:"5,keyasint,omitempty"` // of a grantor: to be acknowledged where a version is prepared
	Ack   uint64 `cbor:"6,keyasint,omitempty"` // step of the word that the sender and all to whom it granted go by
}

// Ask asks for a lease.
type Ask struct {
	_     struct{} `cbor:",toarray"`
	Seq   uint32   // counts the asks of a life
	Step  uint64   // of the word that the asker has
	Fresh bool     // only a lease that the leader gave after the ask will do
}

// Grant answers an ask, with a lease or without.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Life   uint64   // of the asker
	Seq    uint32   // of the ask
	Step   uint64   // of the word that it was given under
	Length uint32   // us, from before the ask was sent; 0 is no lease
	Full   bool     // this grantor has as many holders as it can: ask another
	Word   *Word    // where the asker had another step
}

// Encode gives a message's bytes, in canonical form.
func (m *Message) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	if err == nil && len(raw) > MessageMost {
		err = &TooLargeError{"bytes of a message", len(raw), MessageMost}
	}
	return raw, err
}

// Decode reads a message of a group's node. One that holds anything that can't be is refused whole.
func Decode(raw []byte, group int) (*Message, error) {
	if len(raw) > MessageMost {
		return nil, &SpoiltError{"message", &TooLargeError{"bytes of a message", len(raw), MessageMost}}
	}
	m := &Message{}
	if err := lenient.Unmarshal(raw, m); err != nil {
		return nil, &SpoiltError{"message", err}
	}
	if err := m.check(group); err != nil {
		return nil, &SpoiltError{"message", err}
	}
	return m, nil
}

func (m *Message) check(group int) error {
	if m.From < 0 || m.From >= min(group, nodeMost) || m.Life == 0 {
		return fmt.Errorf("node %d, life %d of a group of %d", m.From, m.Life, group)
	}
	if m.Ask != nil && m.Ask.Seq == 0 {
		return errors.New("an ask without a number")
	}
	if g := m.Grant; g != nil && (g.Seq == 0 || g.Length > lengthMost || g.Word != nil && g.Word.Step != g.Step) {
		return errors.New("a grant that can't be")
	}
	for _, w := range []*Word{m.Tell, m.word()} {
		if w != nil && !w.can() {
			return errors.New("a word that can't be")
		}
	}
	return nil
}

func (m *Message) word() *Word {
	if m.Grant == nil {
		return nil
	}
	return m.Grant.Word
}

// can tells whether a registry could have given the word.
func (w *Word) can() bool {
	if w.Next.Number == 0 {
		return w.Kind == 0 && (w.Step == 0) == (w.Now.Number == 0) || w.Now.Number == 0 && w.Step > 0 && w.Kind == 0
	}
	return w.Step > 0 && w.Next.Number > w.Now.Number && (w.Kind == Overlap || w.Kind == Exclusive)
}
