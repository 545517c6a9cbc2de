package rules

import (
	"bytes"
	"errors"
	"fmt"

	"sloestile/internal/canonical"
)

const (
	// MaxCommandBytes is the maximum size of an encoded command.
	MaxCommandBytes = MaxTextBytes + 1024
	// MaxSnapshotBytes is the maximum size of a registry's snapshot: the recent texts, the texts of the versions in
	// use, and a record of 256 bytes for each version.
	MaxSnapshotBytes = (maxKeptTexts+maxScheduledActivations+2)*(MaxTextBytes+1024) + maxKeptVersions*256
)

// Command is an entry of the consensus log that changes the registry. Exactly one of its fields is set. It is encoded
// as a CBOR map with the integer keys of its tags; the commands within it are arrays in the order of their fields.
type Command struct {
	Publish  *Publish  `cbor:"1,keyasint,omitempty"`
	Activate *Activate `cbor:"2,keyasint,omitempty"`
	Rollback *Rollback `cbor:"3,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"4,keyasint,omitempty"`
	Prepare  *Prepare  `cbor:"5,keyasint,omitempty"`
	Commit   *Commit   `cbor:"6,keyasint,omitempty"`
}

// Publish adds a text to the registry under the next version number. It does not activate the version.
type Publish struct {
	_      struct{} `cbor:",toarray"`
	Parent uint64   // newest version that the author knew; rejected if it is no longer the newest
	Author string
	Text   []byte
}

// Activate schedules the activation of a version.
type Activate struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Kind   ActivationKind
	At     uint64 // time to begin the activation, Unix ms; 0 means as soon as possible
	Author string
}

// Rollback publishes the text of an older version under a new number, cancels all scheduled activations, and schedules
// the activation of the new version as soon as possible.
type Rollback struct {
	_      struct{} `cbor:",toarray"`
	Parent uint64   // newest version that the author knew; rejected if it is no longer the newest
	Target uint64   // version whose text is restored
	Kind   ActivationKind
	Author string
}

// Cancel cancels a scheduled or prepared activation.
type Cancel struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Author string
}

// Prepare begins the first scheduled activation. The leader proposes it when the activation's time has come.
type Prepare struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Commit makes the prepared version the active one. The leader proposes it when no lease conflicts with the activation.
type Commit struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64 // revision of the VersionState in which the version was prepared
}

var (
	encoder = canonical.Encoder
	// strictDecoder decodes commands and snapshots. It rejects unknown fields: a registry that skipped one would
	// diverge from those of other nodes.
	strictDecoder = canonical.Limits{MaxArrayElements: 2 * maxKeptVersions, MaxMapPairs: 16, MaxNestedLevels: 8, RejectUnknownFields: true}.Decoder()
	// lenientDecoder decodes messages. It skips unknown fields, as the sender may run another version of the program.
	lenientDecoder = canonical.Limits{MaxArrayElements: 256, MaxMapPairs: 64, MaxNestedLevels: 8}.Decoder()
)

// decodeCanonical decodes bytes, and rejects any encoding but the canonical one. The object's name is used in errors.
func decodeCanonical(object string, limit int, raw []byte, into any) error {
	if len(raw) > limit {
		return &CorruptError{object, &TooLargeError{"bytes of a " + object, len(raw), limit}}
	}
	if err := strictDecoder.Unmarshal(raw, into); err != nil {
		return &CorruptError{object, err}
	}
	if again, err := encoder.Marshal(into); err != nil || !bytes.Equal(again, raw) {
		return &CorruptError{object, errors.New("not in canonical form")}
	}
	return nil
}

// Encode checks a command and returns its canonical encoding.
func (c Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return encoder.Marshal(c)
}

// DecodeCommand decodes and checks a command. It rejects encodings that are not canonical.
func DecodeCommand(raw []byte) (Command, error) {
	var c Command
	if err := decodeCanonical("command", MaxCommandBytes, raw, &c); err != nil {
		return Command{}, err
	}
	return c, c.check()
}

// check returns an error unless exactly one field is set and its values are within their limits.
func (c Command) check() error {
	if c.Publish != nil && len(c.Publish.Text) > MaxTextBytes {
		return &TooLargeError{"bytes of a rule set", len(c.Publish.Text), MaxTextBytes}
	}
	count := 0
	for _, set := range []bool{
		c.Publish != nil, c.Activate != nil, c.Rollback != nil,
		c.Cancel != nil, c.Prepare != nil, c.Commit != nil,
	} {
		if set {
			count++
		}
	}
	if count != 1 {
		return &CorruptError{"command", fmt.Errorf("%d fields are set, want exactly 1", count)}
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
		return &TooLargeError{"bytes of an author name", len(author), maxAuthorBytes}
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
