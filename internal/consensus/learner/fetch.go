package learner

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sloestile/fleet/rules"
)

const (
	partBytes  = 1024 // of a text, in a message
	partsAtOne = 8    // that are asked for at once
	partsMost  = rules.MaxTextBytes / partBytes
	textsMost  = 4 // that are held

	fetchAgain = 60 * time.Millisecond // until parts that have not come are asked for again
	fetchLater = 25 * time.Millisecond // until one that has not got it itself is asked again
	fetchTries = 6                     // at one node
	messageMax = 1300
)

// want asks a neighbour for parts of a text.
type want struct {
	_      struct{} `cbor:",toarray"`
	From   int
	Digest rules.Digest
	First  int
	Count  int
}

// part is one of a text.
type part struct {
	_      struct{} `cbor:",toarray"`
	Digest rules.Digest
	Have   bool // else the neighbour has not got the text
	Size   int  // of the text
	At     int  // which part
	Bytes  []byte
}

var (
	encoding = must(cbor.CanonicalEncOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 16, MaxNestedLevels: 4,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // options of the program's own
	}
	return v
}

// decode reads a message; nil is that it can't be.
func decode[T any](raw []byte) *T {
	v := new(T)
	if len(raw) > messageMax || decoding.Unmarshal(raw, v) != nil {
		return nil
	}
	return v
}

// text is a rule set's that is here.
type text struct {
	name  rules.VersionID
	raw   []byte
	rules *rules.Compiled // nil is that this node can't act by it
	why   error           // of that
}

// fetching is a text on its way.
type fetching struct {
	name    rules.VersionID
	parts   [][]byte // nil until the size is known
	size    int
	sources []int
	source  int
	tries   int
	at      time.Duration // when to ask again
}

func (l *Learner) numbered(n uint64) *text {
	for i := range l.texts {
		if l.texts[i].name.Number == n {
			return &l.texts[i]
		}
	}
	return nil
}

func (l *Learner) has(d rules.Digest) ([]byte, bool) {
	for _, t := range l.texts {
		if t.name.Digest == d {
			return t.raw, true
		}
	}
	if l.cfg.Registry != nil {
		return l.cfg.Registry.text(d)
	}
	return nil, false
}

// text sees that the text which the leases ask for comes.
func (l *Learner) text(context.Context) {
	for {
		name, ok := l.node.MissingText()
		if !ok {
			l.fetch = nil
			return
		}
		if raw, ok := l.has(name.Digest); ok {
			l.take(name, raw)
			continue
		}
		if l.fetch == nil || l.fetch.name != name {
			l.fetch = &fetching{name: name}
		}
		if Clock() >= l.fetch.at {
			l.ask(l.fetch)
		}
		return
	}
}

// take takes a text that is as its digest says.
func (l *Learner) take(name rules.VersionID, raw []byte) {
	t := text{name: name, raw: raw}
	set, err := rules.Parse(raw)
	if err == nil {
		t.rules, err = set.Compile(l.cfg.Settings)
	}
	if err != nil {
		l.Counts.Refused.Add(1)
		t.why = fmt.Errorf("version %d: %w", name.Number, err)
		slog.Error("rules: this node can't act by a version", "version", name.Number, "err", err)
	}
	if len(l.texts) >= textsMost {
		l.texts = slices.Delete(l.texts, 0, 1)
	}
	l.texts = append(l.texts, t)
	l.node.TextFetched(Clock(), name, err == nil)
	l.fetch = nil
}

// ask asks for the parts that are not here, the next source where one has been asked enough.
func (l *Learner) ask(f *fetching) {
	if f.tries >= fetchTries || len(f.sources) == 0 {
		f.source, f.tries = f.source+1, 0
		if f.sources = l.sources(); len(f.sources) == 0 {
			f.at = Clock() + time.Second
			return
		}
	}
	f.tries++
	f.at = Clock() + fetchAgain
	first := max(0, slices.IndexFunc(f.parts, func(p []byte) bool { return p == nil }))
	raw, err := encoding.Marshal(want{From: l.cfg.Self, Digest: f.name.Digest, First: first, Count: partsAtOne})
	if err == nil {
		l.send(f.sources[f.source%len(f.sources)], kindWant, raw)
	}
}

// serve gives parts of a text that is here.
func (l *Learner) serve(q *want) {
	raw, ok := l.has(q.Digest)
	if q.First < 0 || q.First >= partsMost {
		return
	}
	p := part{Digest: q.Digest, Have: ok, Size: len(raw)}
	for i := q.First; i < q.First+min(q.Count, partsAtOne); i++ {
		if p.At, p.Bytes = i, nil; ok {
			if i > 0 && i*partBytes >= len(raw) {
				return
			}
			p.Bytes = raw[i*partBytes : min(len(raw), (i+1)*partBytes)]
		}
		b, err := encoding.Marshal(p)
		if err != nil {
			return
		}
		l.Counts.Served.Add(1)
		l.send(q.From, kindPart, b)
		if !ok {
			return
		}
	}
}

// part takes one that was asked for.
func (l *Learner) part(p *part) {
	f := l.fetch
	if f == nil || p.Digest != f.name.Digest {
		return
	}
	if !p.Have {
		f.at = Clock() + fetchLater
		return
	}
	n := max(1, (p.Size+partBytes-1)/partBytes)
	if p.Size < 0 || p.Size > rules.MaxTextBytes || p.At < 0 || p.At >= n || len(p.Bytes) != min(partBytes, p.Size-p.At*partBytes) {
		l.Counts.Spoilt.Add(1)
		return
	}
	if f.parts == nil || f.size != p.Size {
		f.parts, f.size = make([][]byte, n), p.Size
	}
	f.parts[p.At] = append([]byte{}, p.Bytes...)
	missing := slices.IndexFunc(f.parts, func(b []byte) bool { return b == nil })
	switch {
	case missing < 0:
		raw := slices.Concat(f.parts...)
		if rules.DigestOf(raw) != f.name.Digest {
			// One of the parts was another's; from the next source.
			l.Counts.Spoilt.Add(1)
			f.parts, f.tries, f.at = nil, fetchTries, Clock()
			return
		}
		l.Counts.Fetched.Add(1)
		l.Counts.FetchedBytes.Add(int64(len(raw)))
		l.take(f.name, raw)
	case p.At%partsAtOne == partsAtOne-1 && missing > p.At: // what was asked for is here
		f.tries, f.at = 0, Clock()
	}
}
