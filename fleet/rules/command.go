package rules

import (
	"bytes"
	"errors"
	"fmt"

	"sloestile/internal/canonical"
)

const (
	// MaxCommandBytes is the size of a command at most.
	MaxCommandBytes = MaxTextBytes + 1024
	// MaxSnapshotBytes is the size of a registry's snapshot at most: the texts that are kept, those of the versions in
	// use, and a record for each version.
	MaxSnapshotBytes = (maxTexts+maxScheduled+2)*(MaxTextBytes+1024) + maxVersions*256
)

// Command is an entry of the consensus log. It has exactly one of its parts. It is encoded as CBOR by the numbers in its
// tags, its parts as arrays in the order of their fields.
type Command struct {
	Publish  *Publish  `cbor:"1,keyasint,omitempty"`
	Activate *Activate `cbor:"2,keyasint,omitempty"`
	Rollback *Rollback `cbor:"3,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"4,keyasint,omitempty"`
	Prepare  *Prepare  `cbor:"5,keyasint,omitempty"`
	Commit   *Commit   `cbor:"6,keyasint,omitempty"`
}

// Publish gives a text a number. It changes nothing that is in force.
type Publish struct {
	_      struct{} `cbor:",toarray"`
	Parent uint64   // the newest version that its author knew
	Author string
	Text   []byte
}

// Activate asks that a version come into force, at a time (Unix ms) or as soon as possible (0).
type Activate struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Kind   ActivationKind
	At     uint64
	Author string
}

// Rollback asks that the text of an older version come into force again, under a new number and as soon as possible. All
// scheduled activations are cancelled.
type Rollback struct {
	_      struct{} `cbor:",toarray"`
	Parent uint64
	Target uint64
	Kind   ActivationKind
	Author string
}

// Cancel takes back an activation that has not come into force.
type Cancel struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Author string
}

// Prepare is the leader's: the time of the first scheduled activation has come.
type Prepare struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Commit is the leader's: the leases that stood in the way of the version that was prepared at a revision are gone.
type Commit struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64
}

var (
	encoder = canonical.Encoder
	// strict reads commands and snapshots: a registry must not skip what it does not know.
	strict = canonical.Limits{MaxArrayElements: 2 * maxVersions, MaxMapPairs: 16, MaxNestedLevels: 8, RejectUnknownFields: true}.Decoder()
	// lenient reads messages, which come from nodes with other programs too.
	lenient = canonical.Limits{MaxArrayElements: 256, MaxMapPairs: 64, MaxNestedLevels: 8}.Decoder()
)

// decodeCanonical decodes bytes that must be the canonical form of their content.
func decodeCanonical(what string, limit int, raw []byte, into any) error {
	if len(raw) > limit {
		return &CorruptError{what, &TooLargeError{"bytes of a " + what, len(raw), limit}}
	}
	if err := strict.Unmarshal(raw, into); err != nil {
		return &CorruptError{what, err}
	}
	if again, err := encoder.Marshal(into); err != nil || !bytes.Equal(again, raw) {
		return &CorruptError{what, errors.New("not in canonical form")}
	}
	return nil
}

// Encode returns a command's bytes, in canonical form.
func (c Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return encoder.Marshal(c)
}

// DecodeCommand reads a command.
func DecodeCommand(raw []byte) (Command, error) {
	var c Command
	if err := decodeCanonical("command", MaxCommandBytes, raw, &c); err != nil {
		return Command{}, err
	}
	return c, c.check()
}

func (c Command) check() error {
	if c.Publish != nil && len(c.Publish.Text) > MaxTextBytes {
		return &TooLargeError{"bytes of a rule set", len(c.Publish.Text), MaxTextBytes}
	}
	parts := 0
	for _, set := range []bool{
		c.Publish != nil, c.Activate != nil, c.Rollback != nil,
		c.Cancel != nil, c.Prepare != nil, c.Commit != nil,
	} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return &CorruptError{"command", fmt.Errorf("%d parts where there must be one", parts)}
	}
	switch {
	case c.Publish != nil:
		return checkAuthor(c.Publish.Author)
	case c.Activate != nil:
		return checkAuthorAndKind(c.Activate.Author, c.Activate.Kind)
	case c.Rollback != nil:
		return checkAuthorAndKind(c.Rollback.Author, c.Rollback.Kind)
	case c.Cancel != nil:
		return checkAuthor(c.Cancel.Author)
	}
	return nil
}

func checkAuthor(author string) error {
	if len(author) > maxAuthorBytes {
		return &TooLargeError{"bytes of a name", len(author), maxAuthorBytes}
	}
	return nil
}

func checkAuthorAndKind(author string, kind ActivationKind) error {
	if err := checkAuthor(author); err != nil {
		return err
	}
	if kind != Overlap && kind != Exclusive {
		return &CorruptError{"command", fmt.Errorf("kind %d is neither overlap nor exclusive", kind)}
	}
	return nil
}
