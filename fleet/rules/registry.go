package rules

import (
	"slices"
	"sort"
)

const (
	textsKept    = 16   // newest versions whose text is kept, beside those in use
	versionsKept = 1024 // versions whose number and digest are kept
	awaitedMost  = 8    // activations
	byMost       = 64   // bytes of a name of who did something
)

// Kind says how an activation meets the version before it.
type Kind uint8

// The kinds of activation.
const (
	Overlap   Kind = 1 // both are acted by side by side, for OverlapMost at most
	Exclusive Kind = 2 // never both at once: in between routers act by their settings alone
)

func (k Kind) String() string {
	switch k {
	case Overlap:
		return "overlap"
	case Exclusive:
		return "exclusive"
	}
	return "none"
}

// Fate says what has become of a version.
type Fate uint8

// The fates of versions. Only one is active, and one prepared at most.
const (
	Published Fate = iota
	Awaited        // its activation is agreed, for a time or as soon as can be
	Prepared       // leases on the active one run out, or are short
	Active
	Passed    // was active
	Cancelled // was awaited; it may be awaited again
)

func (f Fate) String() string {
	return [...]string{"published", "awaited", "prepared", "active", "passed", "cancelled"}[min(f, Cancelled)]
}

// Version is one text under a number that is given once.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest Digest
	Parent uint64 // the newest when it was published
	Of     uint64 // whose text it has again, on a way back; 0 is a text of its own
	By     string // who published it
	Text   []byte // nil is kept no more
	Fate   Fate
	Kind   Kind   // of its latest activation
	At     uint64 // of it, Unix ms; 0 is as soon as can be
	ByLast string // who asked for that, or cancelled it
}

// state is all that a registry is: its snapshot.
type state struct {
	_        struct{}  `cbor:",toarray"`
	Versions []Version // by number
	Newest   uint64    // number given last
	Active   uint64    // 0 is none yet
	Before   uint64    // was active before it
	Awaited  []uint64  // in the order of their numbers and times
	Prepared bool      // the first of Awaited
	Step     uint64    // changes of the word so far
}

// Registry is the state machine of the versions: what the log of agreement is applied to. What it
// has taken is never changed or renumbered. A command that it refuses leaves it as it was, with the
// same error at every node: nothing here depends on a node's settings, clock or program, so texts
// are read (Parse, Check) before they are proposed and not when they are applied.
type Registry struct{ s state }

// Result tells what a command has done.
type Result struct {
	Number uint64 // of the version that it was about
	Word   bool   // the word that goes round has changed
}

// Name is a version's number and the digest of its text. The zero one is none.
type Name struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest Digest
}

// Word is what all nodes have to know of the registry: the version that leases are granted on, and
// the next where one is prepared. Of two words the one with the higher step holds.
type Word struct {
	_    struct{} `cbor:",toarray"`
	Step uint64
	Now  Name
	Next Name // prepared
	Kind Kind // of Next
}

// Word gives the word that goes round.
func (r *Registry) Word() Word {
	w := Word{Step: r.s.Step}
	if v := r.find(r.s.Active); v != nil {
		w.Now = Name{Number: v.Number, Digest: v.Digest}
	}
	if r.s.Prepared {
		v := r.find(r.s.Awaited[0])
		w.Next, w.Kind = Name{Number: v.Number, Digest: v.Digest}, v.Kind
	}
	return w
}

// Newest is the number that was given last: the parent of the next version.
func (r *Registry) Newest() uint64 { return r.s.Newest }

// Versions gives all versions that are kept, by number. The texts are not to be changed.
func (r *Registry) Versions() []Version { return slices.Clone(r.s.Versions) }

// Version gives one version, and with it the text where that is kept.
func (r *Registry) Version(number uint64) (Version, error) {
	if v := r.find(number); v != nil {
		return *v, nil
	}
	return Version{}, &NoVersionError{Number: number}
}

// Due gives the activation that comes next and is not prepared yet, with its time (Unix ms, 0 is as
// soon as can be). The leader proposes Prepare for it when that has come.
func (r *Registry) Due() (number, at uint64, ok bool) {
	if r.s.Prepared || len(r.s.Awaited) == 0 {
		return 0, 0, false
	}
	v := r.find(r.s.Awaited[0])
	return v.Number, v.At, true
}

func (r *Registry) find(number uint64) *Version {
	i := sort.Search(len(r.s.Versions), func(i int) bool { return r.s.Versions[i].Number >= number })
	if i == len(r.s.Versions) || r.s.Versions[i].Number != number || number == 0 {
		return nil
	}
	return &r.s.Versions[i]
}

// Apply carries out a command of the log.
func (r *Registry) Apply(raw []byte) (Result, error) {
	c, err := DecodeCommand(raw)
	if err != nil {
		return Result{}, err
	}
	return r.Do(c)
}

// Do carries out a command.
func (r *Registry) Do(c Command) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	switch {
	case c.Publish != nil:
		return r.publish(c.Publish)
	case c.Activate != nil:
		return r.activate(c.Activate)
	case c.Back != nil:
		return r.back(c.Back)
	case c.Cancel != nil:
		return r.cancel(c.Cancel)
	case c.Prepare != nil:
		return r.prepare(c.Prepare)
	}
	return r.commit(c.Commit)
}

func (r *Registry) publish(c *Publish) (Result, error) {
	if c.Parent != r.s.Newest {
		return Result{}, &StaleVersionError{Have: r.s.Newest, Want: c.Parent}
	}
	text := c.Text
	if text == nil {
		text = []byte{} // a set that says nothing; nil is a text that is kept no more
	}
	return Result{Number: r.add(Version{Digest: DigestOf(text), Parent: c.Parent, By: c.By, Text: text})}, nil
}

// add gives a version its number.
func (r *Registry) add(v Version) uint64 {
	r.s.Newest++
	v.Number = r.s.Newest
	r.s.Versions = append(r.s.Versions, v)
	r.trim()
	return v.Number
}

// trim forgets the texts and then the records of old versions that are not in use.
func (r *Registry) trim() {
	used := func(n uint64) bool {
		return n == r.s.Active || n == r.s.Before || slices.Contains(r.s.Awaited, n)
	}
	kept := r.s.Versions[:0]
	for i, v := range r.s.Versions {
		if !used(v.Number) {
			if len(r.s.Versions)-i > versionsKept {
				continue
			}
			if v.Number+textsKept <= r.s.Newest {
				v.Text = nil
			}
		}
		kept = append(kept, v)
	}
	clear(r.s.Versions[len(kept):])
	r.s.Versions = kept
}

func (r *Registry) activate(c *Activate) (Result, error) {
	v := r.find(c.Number)
	switch {
	case v == nil:
		return Result{}, &NoVersionError{Number: c.Number}
	case c.Number <= r.s.Active:
		return Result{}, &StaleVersionError{Have: r.s.Active, Want: c.Number}
	case v.Text == nil:
		return Result{}, &NoVersionError{Number: c.Number, Text: true}
	case len(r.s.Awaited) >= awaitedMost:
		return Result{}, &TooLargeError{"activations awaited", len(r.s.Awaited) + 1, awaitedMost}
	}
	for i, n := range r.s.Awaited {
		o := r.find(n)
		prepared := i == 0 && r.s.Prepared
		if n == c.Number || n < c.Number && !prepared && o.At > c.At || n > c.Number && (prepared || o.At < c.At) {
			return Result{}, &OrderError{Number: c.Number, Other: n}
		}
	}
	v.Fate, v.Kind, v.At, v.ByLast = Awaited, c.Kind, c.At, c.By
	r.s.Awaited = append(r.s.Awaited, c.Number)
	slices.Sort(r.s.Awaited)
	return Result{Number: c.Number}, nil
}

// back puts an older text in force under a new number. It cancels what is awaited.
func (r *Registry) back(c *Back) (Result, error) {
	of := r.find(c.Of)
	switch {
	case c.Parent != r.s.Newest:
		return Result{}, &StaleVersionError{Have: r.s.Newest, Want: c.Parent}
	case of == nil:
		return Result{}, &NoVersionError{Number: c.Of}
	case of.Text == nil:
		return Result{}, &NoVersionError{Number: c.Of, Text: true}
	}
	v := Version{Digest: of.Digest, Parent: c.Parent, Of: c.Of, By: c.By, Text: of.Text,
		Fate: Awaited, Kind: c.Kind, ByLast: c.By}
	was := r.s.Prepared
	for _, n := range r.s.Awaited {
		o := r.find(n)
		o.Fate, o.ByLast = Cancelled, c.By
	}
	r.s.Awaited, r.s.Prepared = []uint64{r.s.Newest + 1}, false
	if was {
		r.s.Step++
	}
	return Result{Number: r.add(v), Word: was}, nil
}

func (r *Registry) cancel(c *Cancel) (Result, error) {
	i := slices.Index(r.s.Awaited, c.Number)
	if i < 0 {
		return Result{}, &PhaseError{Step: "cancelling", Number: c.Number, Prepared: r.prepared()}
	}
	v := r.find(c.Number)
	v.Fate, v.ByLast = Cancelled, c.By
	r.s.Awaited = slices.Delete(r.s.Awaited, i, i+1)
	if i == 0 && r.s.Prepared {
		r.s.Prepared = false
		r.s.Step++
		return Result{Number: c.Number, Word: true}, nil
	}
	return Result{Number: c.Number}, nil
}

func (r *Registry) prepared() uint64 {
	if r.s.Prepared {
		return r.s.Awaited[0]
	}
	return 0
}

// prepare begins an activation: from here no long lease on the active version is granted.
func (r *Registry) prepare(c *Prepare) (Result, error) {
	if r.s.Prepared || len(r.s.Awaited) == 0 || r.s.Awaited[0] != c.Number {
		return Result{}, &PhaseError{Step: "preparing", Number: c.Number, Prepared: r.prepared()}
	}
	r.s.Prepared = true
	r.find(c.Number).Fate = Prepared
	r.s.Step++
	return Result{Number: c.Number, Word: true}, nil
}

// commit makes the prepared version the active one. It goes by the step of the preparation, so that
// one that was cancelled and begun again is not ended by what was known of the first.
func (r *Registry) commit(c *Commit) (Result, error) {
	if !r.s.Prepared || r.s.Awaited[0] != c.Number || r.s.Step != c.Step {
		return Result{}, &PhaseError{Step: "activating", Number: c.Number, Prepared: r.prepared()}
	}
	if v := r.find(r.s.Active); v != nil {
		v.Fate = Passed
	}
	r.s.Before, r.s.Active = r.s.Active, c.Number
	r.find(c.Number).Fate = Active
	r.s.Awaited, r.s.Prepared = slices.Delete(r.s.Awaited, 0, 1), false
	r.s.Step++
	r.trim()
	return Result{Number: c.Number, Word: true}, nil
}
