package rules

import (
	"slices"
	"sort"
)

const (
	maxKeptTexts            = 16   // newest versions whose text is kept, beside those in use
	maxKeptVersions         = 1024 // versions whose number and digest are kept
	maxScheduledActivations = 8    // activations
	maxAuthorBytes          = 64
)

// ActivationKind says how an activation meets the version before it.
type ActivationKind uint8

// The kinds of activation.
const (
	Overlap   ActivationKind = 1 // both are acted by side by side, for LeaseParams.MaxOverlap at most
	Exclusive ActivationKind = 2 // never both at once: in between nodes act by their settings alone
)

// String returns the kind as operators see it.
func (k ActivationKind) String() string {
	switch k {
	case Overlap:
		return "overlap"
	case Exclusive:
		return "exclusive"
	}
	return "none"
}

// VersionStatus says what has become of a version.
type VersionStatus uint8

// The statuses of versions. Only one version is active, and one prepared at most.
const (
	Published  VersionStatus = iota
	Scheduled                // its activation is agreed, for a time or as soon as possible
	Prepared                 // leases on the active one expire, or are short
	Active                   // leases are granted on it
	Superseded               // was active
	Cancelled                // was scheduled; it may be scheduled again
)

// String returns the status as operators see it.
func (s VersionStatus) String() string {
	names := [...]string{"published", "awaited", "prepared", "active", "passed", "cancelled"}
	return names[min(s, Cancelled)]
}

// Version is one text under a number that is given once.
type Version struct {
	_            struct{} `cbor:",toarray"`
	Number       uint64
	Digest       Digest
	Parent       uint64 // the newest when it was published
	RestoredFrom uint64 // whose text it has, after a rollback; 0 is a text of its own
	Author       string // who published it
	Text         []byte // nil is no longer kept
	Status       VersionStatus
	Kind         ActivationKind // of its latest activation
	ActivateAt   uint64         // of it, Unix ms; 0 is as soon as possible
	LastAuthor   string         // who asked for that, or cancelled it
}

// registryState is all that a registry is: its snapshot.
type registryState struct {
	_         struct{}  `cbor:",toarray"`
	Versions  []Version // by number
	Newest    uint64    // number given last
	Active    uint64    // 0 is none yet
	Previous  uint64    // was active before it
	Scheduled []uint64  // in the order of their numbers and times
	Prepared  bool      // the first of Scheduled
	Revision  uint64    // changes of the VersionState so far
}

// Registry is the state machine of the versions, to which the consensus log is applied. What it has taken is never changed
// or renumbered. A command that it rejects leaves it as it was, with the same error at every node: nothing here depends on
// a node's settings, clock or program, so texts are read (Parse, Check) before they are proposed and not when they are
// applied.
type Registry struct{ state registryState }

// Result is what a command has done.
type Result struct {
	Number       uint64 // of the version that it was about
	StateChanged bool   // the VersionState has changed
}

// VersionID is a version's number and the digest of its text. The zero one is none.
type VersionID struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest Digest
}

// VersionState is what all nodes have to know of the registry: the version that leases are granted on, and the next one
// where it is prepared. Of two states the one with the higher revision holds.
type VersionState struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Active   VersionID
	Prepared VersionID
	Kind     ActivationKind // of Prepared
}

// State returns the state that the nodes are notified of.
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

// Newest returns the number that was given last: the parent of the next version.
func (r *Registry) Newest() uint64 { return r.state.Newest }

// Versions returns all versions that are kept, by number. The caller must not change their texts.
func (r *Registry) Versions() []Version { return slices.Clone(r.state.Versions) }

// Version returns one version, with its text where that is kept.
func (r *Registry) Version(number uint64) (Version, error) {
	if v := r.find(number); v != nil {
		return *v, nil
	}
	return Version{}, &NoVersionError{Number: number}
}

// NextActivation returns the activation that comes next and is not prepared yet, with its time (Unix ms, 0 is as soon as
// possible). The leader proposes Prepare for it when that has come.
func (r *Registry) NextActivation() (number, at uint64, ok bool) {
	if r.state.Prepared || len(r.state.Scheduled) == 0 {
		return 0, 0, false
	}
	v := r.find(r.state.Scheduled[0])
	return v.Number, v.ActivateAt, true
}

func (r *Registry) find(number uint64) *Version {
	versions := r.state.Versions
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Number >= number })
	if i == len(versions) || versions[i].Number != number || number == 0 {
		return nil
	}
	return &versions[i]
}

// Apply applies a command of the log.
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
		text = []byte{} // an empty set; nil is a text that is no longer kept
	}
	number := r.addVersion(Version{Digest: DigestOf(text), Parent: c.Parent, Author: c.Author, Text: text})
	return Result{Number: number}, nil
}

// addVersion gives a version its number.
func (r *Registry) addVersion(v Version) uint64 {
	r.state.Newest++
	v.Number = r.state.Newest
	r.state.Versions = append(r.state.Versions, v)
	r.compact()
	return v.Number
}

// compact drops the texts and then the records of old versions that are not in use.
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
		return Result{}, &TooLargeError{"activations awaited", len(r.state.Scheduled) + 1, maxScheduledActivations}
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

// conflicts reports whether an activation would not come in the order of the numbers beside a scheduled one.
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

// preparedNumber returns the number of the preparedNumber version; 0 is none.
func (r *Registry) preparedNumber() uint64 {
	if r.state.Prepared {
		return r.state.Scheduled[0]
	}
	return 0
}

// prepare begins an activation: from here no long lease on the active version is granted.
func (r *Registry) prepare(c *Prepare) (Result, error) {
	if r.state.Prepared || len(r.state.Scheduled) == 0 || r.state.Scheduled[0] != c.Number {
		return Result{}, &PhaseError{Step: "preparing", Number: c.Number, Prepared: r.preparedNumber()}
	}
	r.state.Prepared = true
	r.find(c.Number).Status = Prepared
	r.state.Revision++
	return Result{Number: c.Number, StateChanged: true}, nil
}

// commit makes the prepared version the active one. It goes by the revision of the preparation, so that one that was
// cancelled and begun again is not ended by what was known of the first.
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
