package rules

import (
	"slices"
	"sort"
)

const (
	maxKeptTexts            = 16   // newest versions whose text is kept, besides those in use
	maxKeptVersions         = 1024 // newest versions whose record is kept, besides those in use
	maxScheduledActivations = 8
	maxAuthorBytes          = 64
)

// ActivationKind determines whether an activation may overlap with the previously active version.
type ActivationKind uint8

// The kinds of activation.
const (
	Overlap   ActivationKind = 1 // both may be in effect at different nodes, for at most LeaseParams.MaxOverlap
	Exclusive ActivationKind = 2 // the two are never in effect at once; in between nodes apply only their settings
)

// String returns the kind as the status shows it to operators.
func (k ActivationKind) String() string {
	switch k {
	case Overlap:
		return "overlap"
	case Exclusive:
		return "exclusive"
	}
	return "none"
}

// VersionStatus is the state of a version in its life cycle.
type VersionStatus uint8

// The statuses of versions. At most one version is active, and at most one is prepared.
const (
	Published  VersionStatus = iota // has a number and was never scheduled
	Scheduled                       // its activation is agreed for a time, or as soon as possible
	Prepared                        // its activation has begun: leases on the active version are shortened or run out
	Active                          // leases are granted on it
	Superseded                      // was active; a newer version has replaced it
	Cancelled                       // its activation was canceled; it may be scheduled again
)

// String returns the status as it is shown to operators.
func (s VersionStatus) String() string {
	names := [...]string{"published", "awaited", "prepared", "active", "passed", "cancelled"}
	return names[min(s, Cancelled)]
}

// Version is a published text with its number, which is never used again for another text.
type Version struct {
	_            struct{} `cbor:",toarray"`
	Number       uint64
	Digest       Digest
	Parent       uint64 // newest version when it was published
	RestoredFrom uint64 // version whose text a rollback restored; 0 if it was published with a text
	Author       string // author of the publication or rollback
	Text         []byte // nil if no longer kept
	Status       VersionStatus
	Kind         ActivationKind // kind of its latest activation
	ActivateAt   uint64         // time of its latest activation, Unix ms; 0 means as soon as possible
	LastAuthor   string         // who scheduled that activation, or canceled it
}

// registryState is the whole state of a registry, as its snapshot holds it.
type registryState struct {
	_         struct{}  `cbor:",toarray"`
	Versions  []Version // in the order of their numbers
	Newest    uint64    // newest version number
	Active    uint64    // number of the active version; 0 if there was none yet
	Previous  uint64    // number of the version that was active before; 0 if there was none
	Scheduled []uint64  // numbers of scheduled versions, in the order of numbers and of activation times
	Prepared  bool      // whether the first of Scheduled is prepared
	Revision  uint64    // number of changes of the VersionState so far
}

// Registry is the replicated state machine of the rule versions, to which the consensus log is applied. A published
// version is never changed or renumbered. A rejected command leaves the registry unchanged and returns the same error
// at every node. For that, nothing here depends on a node's settings, clock or program version: texts are parsed and
// checked before they are proposed, not when they are applied.
type Registry struct{ state registryState }

// Result describes the effect of a command.
type Result struct {
	Number       uint64 // number of the version that the command published or changed
	StateChanged bool   // whether the VersionState has changed
}

// VersionID is a version's number and the digest of its text. The zero value means no version.
type VersionID struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest Digest
}

// VersionState is the part of the registry that all nodes need: the active version, on which leases are granted, and
// the prepared one. A state with a higher revision replaces one with a lower revision.
type VersionState struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Active   VersionID      // zero if no version is active yet
	Prepared VersionID      // zero if no version is prepared
	Kind     ActivationKind // kind of the prepared activation; 0 if no version is prepared
}

// State returns the state that is sent to the nodes.
func (r *Registry) State() VersionState {
	s := VersionState{Revision: r.state.Revision}
	if v := r.find(r.state.Active); v != nil {
		s.Active = VersionID{Number: v.Number, Digest: v.Digest}
	}
	if r.state.Prepared {
		v := r.find(r.state.Scheduled[0])
		s.Prepared = VersionID{Number: v.Number, Digest: v.Digest}
		s.Kind = v.Kind
	}
	return s
}

// Newest returns the newest version number, which is the parent of the next version; 0 if there is none.
func (r *Registry) Newest() uint64 { return r.state.Newest }

// Versions returns all versions that are kept, in the order of their numbers. The caller must not change their texts.
func (r *Registry) Versions() []Version { return slices.Clone(r.state.Versions) }

// Version returns one version, with its text if that is kept.
func (r *Registry) Version(number uint64) (Version, error) {
	if v := r.find(number); v != nil {
		return *v, nil
	}
	return Version{}, &NoVersionError{Number: number}
}

// NextActivation returns the version number and time (Unix ms, 0 means as soon as possible) of the first scheduled
// activation. The leader proposes Prepare for it at that time. ok is false if none is scheduled, or while one is
// prepared.
func (r *Registry) NextActivation() (number, at uint64, ok bool) {
	if r.state.Prepared || len(r.state.Scheduled) == 0 {
		return 0, 0, false
	}
	v := r.find(r.state.Scheduled[0])
	return v.Number, v.ActivateAt, true
}

// find returns the record of a version, or nil.
func (r *Registry) find(number uint64) *Version {
	versions := r.state.Versions
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Number >= number })
	if i == len(versions) || versions[i].Number != number || number == 0 {
		return nil
	}
	return &versions[i]
}

// Apply decodes a command of the consensus log and applies it.
func (r *Registry) Apply(raw []byte) (Result, error) {
	c, err := DecodeCommand(raw)
	if err != nil {
		return Result{}, err
	}
	return r.ApplyCommand(c)
}

// ApplyCommand applies a command.
func (r *Registry) ApplyCommand(c Command) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	switch {
	case c.Publish != nil:
		return r.publish(c.Publish)
	case c.Activate != nil:
		return r.activate(c.Activate)
	case c.Rollback != nil:
		return r.rollback(c.Rollback)
	case c.Cancel != nil:
		return r.cancel(c.Cancel)
	case c.Prepare != nil:
		return r.prepare(c.Prepare)
	}
	return r.commit(c.Commit)
}

func (r *Registry) publish(c *Publish) (Result, error) {
	if c.Parent != r.state.Newest {
		return Result{}, &StaleVersionError{Current: r.state.Newest, Given: c.Parent}
	}
	text := c.Text
	if text == nil {
		text = []byte{} // an empty set, as nil means a text that is no longer kept
	}
	number := r.addVersion(Version{Digest: DigestOf(text), Parent: c.Parent, Author: c.Author, Text: text})
	return Result{Number: number}, nil
}

// addVersion assigns the next number to a version, stores it and returns the number.
func (r *Registry) addVersion(v Version) uint64 {
	r.state.Newest++
	v.Number = r.state.Newest
	r.state.Versions = append(r.state.Versions, v)
	r.compact()
	return v.Number
}

// compact drops the texts and later the records of old versions that are not in use.
func (r *Registry) compact() {
	versions := r.state.Versions
	kept := versions[:0]
	for i, v := range versions {
		if !r.inUse(v.Number) {
			if len(versions)-i > maxKeptVersions {
				continue
			}
			if v.Number+maxKeptTexts <= r.state.Newest {
				v.Text = nil
			}
		}
		kept = append(kept, v)
	}
	clear(versions[len(kept):])
	r.state.Versions = kept
}

// inUse reports whether a version is active, was active immediately before, or is scheduled.
func (r *Registry) inUse(number uint64) bool {
	return number == r.state.Active || number == r.state.Previous || slices.Contains(r.state.Scheduled, number)
}

func (r *Registry) activate(c *Activate) (Result, error) {
	v := r.find(c.Number)
	switch {
	case v == nil:
		return Result{}, &NoVersionError{Number: c.Number}
	case c.Number <= r.state.Active:
		return Result{}, &StaleVersionError{Current: r.state.Active, Given: c.Number}
	case v.Text == nil:
		return Result{}, &NoVersionError{Number: c.Number, TextDropped: true}
	case len(r.state.Scheduled) >= maxScheduledActivations:
		return Result{}, &TooLargeError{"scheduled activations", len(r.state.Scheduled) + 1, maxScheduledActivations}
	}
	for i, number := range r.state.Scheduled {
		if r.conflicts(c, number, i == 0 && r.state.Prepared) {
			return Result{}, &OrderError{Number: c.Number, Scheduled: number}
		}
	}
	v.Status = Scheduled
	v.Kind = c.Kind
	v.ActivateAt = c.At
	v.LastAuthor = c.Author
	r.state.Scheduled = append(r.state.Scheduled, c.Number)
	slices.Sort(r.state.Scheduled)
	return Result{Number: c.Number}, nil
}

// conflicts reports whether an activation and a scheduled one would break the order of version numbers, or are of the
// same version.
func (r *Registry) conflicts(c *Activate, scheduled uint64, prepared bool) bool {
	other := r.find(scheduled)
	switch {
	case scheduled < c.Number:
		return !prepared && other.ActivateAt > c.At
	case scheduled > c.Number:
		return prepared || other.ActivateAt < c.At
	}
	return true
}

func (r *Registry) rollback(c *Rollback) (Result, error) {
	target := r.find(c.Target)
	switch {
	case c.Parent != r.state.Newest:
		return Result{}, &StaleVersionError{Current: r.state.Newest, Given: c.Parent}
	case target == nil:
		return Result{}, &NoVersionError{Number: c.Target}
	case target.Text == nil:
		return Result{}, &NoVersionError{Number: c.Target, TextDropped: true}
	}
	version := Version{
		Digest:       target.Digest,
		Parent:       c.Parent,
		RestoredFrom: c.Target,
		Author:       c.Author,
		Text:         target.Text,
		Status:       Scheduled,
		Kind:         c.Kind,
		LastAuthor:   c.Author,
	}
	wasPrepared := r.state.Prepared
	for _, number := range r.state.Scheduled {
		v := r.find(number)
		v.Status = Cancelled
		v.LastAuthor = c.Author
	}
	r.state.Scheduled = []uint64{r.state.Newest + 1}
	r.state.Prepared = false
	if wasPrepared {
		r.state.Revision++
	}
	return Result{Number: r.addVersion(version), StateChanged: wasPrepared}, nil
}

func (r *Registry) cancel(c *Cancel) (Result, error) {
	i := slices.Index(r.state.Scheduled, c.Number)
	if i < 0 {
		return Result{}, &PhaseError{Step: "cancelling", Number: c.Number, Prepared: r.preparedNumber()}
	}
	v := r.find(c.Number)
	v.Status = Cancelled
	v.LastAuthor = c.Author
	r.state.Scheduled = slices.Delete(r.state.Scheduled, i, i+1)
	if i == 0 && r.state.Prepared {
		r.state.Prepared = false
		r.state.Revision++
		return Result{Number: c.Number, StateChanged: true}, nil
	}
	return Result{Number: c.Number}, nil
}

// preparedNumber returns the number of the prepared version; 0 if there is none.
func (r *Registry) preparedNumber() uint64 {
	if r.state.Prepared {
		return r.state.Scheduled[0]
	}
	return 0
}

// prepare begins an activation. From then on only short leases on the active version are granted, or none.
func (r *Registry) prepare(c *Prepare) (Result, error) {
	if r.state.Prepared || len(r.state.Scheduled) == 0 || r.state.Scheduled[0] != c.Number {
		return Result{}, &PhaseError{Step: "preparing", Number: c.Number, Prepared: r.preparedNumber()}
	}
	r.state.Prepared = true
	r.find(c.Number).Status = Prepared
	r.state.Revision++
	return Result{Number: c.Number, StateChanged: true}, nil
}

// commit makes the prepared version the active one. It compares the revision of the preparation, so that a Commit for a
// canceled preparation does not complete a later one of the same version, for which leases may still conflict.
func (r *Registry) commit(c *Commit) (Result, error) {
	if !r.state.Prepared || r.state.Scheduled[0] != c.Number || r.state.Revision != c.Revision {
		return Result{}, &PhaseError{Step: "activating", Number: c.Number, Prepared: r.preparedNumber()}
	}
	if v := r.find(r.state.Active); v != nil {
		v.Status = Superseded
	}
	r.state.Previous = r.state.Active
	r.state.Active = c.Number
	r.find(c.Number).Status = Active
	r.state.Scheduled = slices.Delete(r.state.Scheduled, 0, 1)
	r.state.Prepared = false
	r.state.Revision++
	r.compact()
	return Result{Number: c.Number, StateChanged: true}, nil
}
