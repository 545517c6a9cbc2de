package rules

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// CommandMost is the bytes of a command at most.
	CommandMost = TextMost + 1024
	// SnapshotMost is the bytes of a registry's snapshot at most: the texts that are kept, those of
	// the versions in use, and a record for each version.
	SnapshotMost = (textsKept+awaitedMost+2)*(TextMost+1024) + versionsKept*256
)

// Command is an entry of the log of agreement. It holds exactly one of its parts.
type Command struct {
	Publish  *Publish  `cbor:"1,keyasint,omitempty"`
	Activate *Activate `cbor:"2,keyasint,omitempty"`
	Back     *Back     `cbor:"3,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"4,keyasint,omitempty"`
	Prepare  *Prepare  `cbor:"5,keyasint,omitempty"`
	Commit   *Commit   `cbor:"6,keyasint,omitempty"`
}

// Publish gives a text a number. It changes nothing that is in force.
type Publish struct {
	_      struct{} `cbor:",toarray"`
	Parent uint64   // the newest version that its author knew
	By     string
	Text   []byte
}

// Activate asks that a version come into force, at a time (Unix ms) or as soon as can be (0).
type Activate struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Kind   Kind
	At     uint64
	By     string
}

// Back asks that the text of a version that is kept come into force again, under a new number and
// as soon as can be. All that is awaited is cancelled.
type Back struct {
	_      struct{} `cbor:",toarray"`
	Parent uint64
	Of     uint64
	Kind   Kind
	By     string
}

// Cancel takes an activation back that has not come into force.
type Cancel struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	By     string
}

// Prepare is the leader's: the time of the activation that is first in turn has come.
type Prepare struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Commit is the leader's: the leases that stood in the way of the version prepared at a step are gone.
type Commit struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Step   uint64
}

var (
	encoder = must(cbor.CanonicalEncOptions().EncMode())
	// Commands and snapshots are of the registry's own: what it doesn't know it must not pass over.
	strict = must(cbor.DecOptions{MaxArrayElements: 2 * versionsKept, MaxMapPairs: 16, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode())
	// Messages come of nodes with other programs too.
	lenient = must(cbor.DecOptions{MaxArrayElements: 256, MaxMapPairs: 64, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // options of the program's own
	}
	return v
}

// canonical decodes bytes that must be the one form of what they say.
func canonical(what string, most int, raw []byte, into any) error {
	if len(raw) > most {
		return &SpoiltError{what, &TooLargeError{"bytes of a " + what, len(raw), most}}
	}
	if err := strict.Unmarshal(raw, into); err != nil {
		return &SpoiltError{what, err}
	}
	if again, err := encoder.Marshal(into); err != nil || !bytes.Equal(again, raw) {
		return &SpoiltError{what, errors.New("not in canonical form")}
	}
	return nil
}

// Encode gives a command's bytes, in canonical form.
func (c Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return encoder.Marshal(c)
}

// DecodeCommand reads a command.
func DecodeCommand(raw []byte) (c Command, err error) {
	if err := canonical("command", CommandMost, raw, &c); err != nil {
		return Command{}, err
	}
	return c, c.check()
}

func (c Command) check() error {
	parts, by, kind := 0, "", Overlap
	if c.Publish != nil {
		parts, by = parts+1, c.Publish.By
		if len(c.Publish.Text) > TextMost {
			return &TooLargeError{"bytes of a rule set", len(c.Publish.Text), TextMost}
		}
	}
	if c.Activate != nil {
		parts, by, kind = parts+1, c.Activate.By, c.Activate.Kind
	}
	if c.Back != nil {
		parts, by, kind = parts+1, c.Back.By, c.Back.Kind
	}
	if c.Cancel != nil {
		parts, by = parts+1, c.Cancel.By
	}
	if c.Prepare != nil {
		parts++
	}
	if c.Commit != nil {
		parts++
	}
	switch {
	case parts != 1:
		return &SpoiltError{"command", fmt.Errorf("%d parts where there must be one", parts)}
	case len(by) > byMost:
		return &TooLargeError{"bytes of a name", len(by), byMost}
	case kind != Overlap && kind != Exclusive:
		return &SpoiltError{"command", fmt.Errorf("kind %d is neither overlap nor exclusive", kind)}
	}
	return nil
}

// Snapshot gives the registry's bytes, in canonical form.
func (r *Registry) Snapshot() ([]byte, error) { return encoder.Marshal(r.s) }

// Restore reads a registry's snapshot.
func Restore(raw []byte) (*Registry, error) {
	r := &Registry{}
	if err := canonical("snapshot", SnapshotMost, raw, &r.s); err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		return nil, &SpoiltError{"snapshot", err}
	}
	return r, nil
}

// check tells whether a registry is one that commands can lead to.
func (r *Registry) check() error {
	s := &r.s
	if len(s.Versions) > versionsKept+awaitedMost+2 || len(s.Awaited) > awaitedMost || s.Prepared && len(s.Awaited) == 0 {
		return errors.New("more in it than there can be")
	}
	last := uint64(0)
	for i := range s.Versions {
		v := &s.Versions[i]
		switch {
		case v.Number <= last || v.Number > s.Newest:
			return fmt.Errorf("version %d after %d of %d", v.Number, last, s.Newest)
		case len(v.Text) > TextMost || len(v.By) > byMost || len(v.ByLast) > byMost || v.Fate > Cancelled || v.Kind > Exclusive:
			return fmt.Errorf("version %d can't be", v.Number)
		case v.Text != nil && DigestOf(v.Text) != v.Digest:
			return fmt.Errorf("version %d: its text is not the one of its digest", v.Number)
		case (v.Number == s.Active) != (v.Fate == Active),
			slices.Contains(s.Awaited, v.Number) != (v.Fate == Awaited || v.Fate == Prepared),
			(s.Prepared && s.Awaited[0] == v.Number) != (v.Fate == Prepared):
			return fmt.Errorf("version %d is told to be %v and is not", v.Number, v.Fate)
		}
		last = v.Number
	}
	if last != s.Newest || s.Before != 0 && s.Before >= s.Active {
		return fmt.Errorf("version %d is not there", s.Newest)
	}
	for i, n := range append([]uint64{s.Active}, s.Awaited...) {
		v := r.find(n)
		if n != 0 && (v == nil || v.Text == nil) || i > 0 && (n == 0 || n <= s.Active || i > 1 && n <= s.Awaited[i-2]) {
			return fmt.Errorf("version %d is in use and can't be", n)
		}
	}
	return nil
}
