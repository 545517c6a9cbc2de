package learner

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sloestile/fleet/rules"
)

const (
	partBytes       = 1024 // of a text, in a message
	partsPerRequest = 8
	maxParts        = rules.MaxTextBytes / partBytes
	maxTexts        = 4 // that are held

	fetchRetryInterval = 60 * time.Millisecond // until missing parts are requested again
	fetchUnknownDelay  = 25 * time.Millisecond // until a source that does not have the text is asked again
	fetchNoSourceDelay = time.Second           // until it is looked for a source again
	maxFetchAttempts   = 6                     // at one source
)

// fetchedText is a rule set's text that is here.
type fetchedText struct {
	version rules.VersionID
	raw     []byte
	rules   *rules.Compiled // nil is that this node can't use it
	err     error           // why it can't
}

// textFetch is a text on its way.
type textFetch struct {
	version  rules.VersionID
	parts    [][]byte // nil until the size is known
	size     int
	sources  []int
	current  int // position of the one that is used
	attempts int // at it
	retryAt  time.Duration
}

func (l *Learner) textByNumber(number uint64) *fetchedText {
	for i := range l.texts {
		if l.texts[i].version.Number == number {
			return &l.texts[i]
		}
	}
	return nil
}

// textByDigest returns the text of a digest, if it is here.
func (l *Learner) textByDigest(d rules.Digest) ([]byte, bool) {
	for _, t := range l.texts {
		if t.version.Digest == d {
			return t.raw, true
		}
	}
	if l.config.Registry != nil {
		return l.config.Registry.text(d)
	}
	return nil, false
}

// fetchMissingTexts has the texts come that the leases need.
func (l *Learner) fetchMissingTexts() {
	for {
		version, ok := l.node.MissingText()
		if !ok {
			l.fetch = nil
			return
		}
		if raw, ok := l.textByDigest(version.Digest); ok {
			l.addText(version, raw)
			continue
		}
		if l.fetch == nil || l.fetch.version != version {
			l.fetch = &textFetch{version: version}
		}
		if Clock() >= l.fetch.retryAt {
			l.requestParts(l.fetch)
		}
		return
	}
}

// addText takes a text that matches its digest.
func (l *Learner) addText(version rules.VersionID, raw []byte) {
	t := fetchedText{version: version, raw: raw}
	set, err := rules.Parse(raw)
	if err == nil {
		t.rules, err = set.Compile(l.config.Settings)
	}
	if err != nil {
		l.Counts.VersionsUnusable.Add(1)
		t.err = fmt.Errorf("version %d: %w", version.Number, err)
		slog.Error("rules: this node can't use a version", "version", version.Number, "error", err)
	}
	if len(l.texts) >= maxTexts {
		l.texts = slices.Delete(l.texts, 0, 1)
	}
	l.texts = append(l.texts, t)
	l.node.TextFetched(Clock(), version, err == nil)
	l.fetch = nil
}

// requestParts requests the parts that are missing, from the next source where one was asked often enough.
func (l *Learner) requestParts(f *textFetch) {
	if f.attempts >= maxFetchAttempts || len(f.sources) == 0 {
		f.current++
		f.attempts = 0
		f.sources = l.sources()
		if len(f.sources) == 0 {
			f.retryAt = Clock() + fetchNoSourceDelay
			return
		}
	}
	f.attempts++
	f.retryAt = Clock() + fetchRetryInterval
	request := partRequest{Sender: l.config.NodeIndex, Digest: f.version.Digest, First: max(0, f.firstMissing()), Count: partsPerRequest}
	if raw, err := encoder.Marshal(request); err == nil {
		l.send(f.sources[f.current%len(f.sources)], kindPartRequest, raw)
	}
}

// firstMissing returns the first part that is not here; -1 is none.
func (f *textFetch) firstMissing() int {
	return slices.IndexFunc(f.parts, func(part []byte) bool { return part == nil })
}

// sendParts sends parts of a text that is here, or that it is not.
func (l *Learner) sendParts(request *partRequest) {
	raw, known := l.textByDigest(request.Digest)
	if request.First < 0 || request.First >= maxParts {
		return
	}
	end := request.First + min(request.Count, partsPerRequest)
	for i := request.First; i < end; i++ {
		part := textPart{Digest: request.Digest, Known: known, Size: len(raw), Index: i}
		if known {
			if i > 0 && i*partBytes >= len(raw) {
				return
			}
			part.Bytes = raw[i*partBytes : min(len(raw), (i+1)*partBytes)]
		}
		encoded, err := encoder.Marshal(part)
		if err != nil {
			return
		}
		l.Counts.PartsSent.Add(1)
		l.send(request.Sender, kindPart, encoded)
		if !known {
			return
		}
	}
}

// receivePart takes a part that was requested.
func (l *Learner) receivePart(part *textPart) {
	f := l.fetch
	if f == nil || part.Digest != f.version.Digest {
		return
	}
	if !part.Known {
		f.retryAt = Clock() + fetchUnknownDelay
		return
	}
	if !part.valid() {
		l.Counts.MessagesCorrupt.Add(1)
		return
	}
	if f.parts == nil || f.size != part.Size {
		f.parts = make([][]byte, partCount(part.Size))
		f.size = part.Size
	}
	f.parts[part.Index] = append([]byte{}, part.Bytes...)
	missing := f.firstMissing()
	switch {
	case missing < 0:
		l.assembleText(f)
	case part.Index%partsPerRequest == partsPerRequest-1 && missing > part.Index: // what was requested is here
		f.attempts = 0
		f.retryAt = Clock()
	}
}

// assembleText takes the text of all parts. Where it does not match its digest, a part was another text's: it is fetched anew
// from the next source.
func (l *Learner) assembleText(f *textFetch) {
	raw := slices.Concat(f.parts...)
	if rules.DigestOf(raw) != f.version.Digest {
		l.Counts.MessagesCorrupt.Add(1)
		f.parts = nil
		f.attempts = maxFetchAttempts
		f.retryAt = Clock()
		return
	}
	l.Counts.TextsFetched.Add(1)
	l.Counts.TextBytesFetched.Add(int64(len(raw)))
	l.addText(f.version, raw)
}

// partCount returns the number of parts of a text; an empty one has one.
func partCount(size int) int { return max(1, (size+partBytes-1)/partBytes) }

func (p *textPart) valid() bool {
	if p.Size < 0 || p.Size > rules.MaxTextBytes || p.Index < 0 || p.Index >= partCount(p.Size) {
		return false
	}
	return len(p.Bytes) == min(partBytes, p.Size-p.Index*partBytes)
}
