package learner

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sloestile/fleet/rules"
)

const (
	partBytes       = 1024 // bytes of a text in one message
	partsPerRequest = 8
	maxParts        = rules.MaxTextBytes / partBytes
	maxTexts        = 4 // texts that a learner holds

	fetchRetryInterval = 60 * time.Millisecond // delay before missing parts are requested again
	fetchUnknownDelay  = 25 * time.Millisecond // delay before a source that does not have the text yet is asked again
	fetchNoSourceDelay = time.Second           // delay before the next search for a source if there is none
	maxFetchAttempts   = 6                     // requests to one source without progress before the next source is used
)

// fetchedText is the text of a rule set that this node has.
type fetchedText struct {
	version rules.VersionID
	raw     []byte
	rules   *rules.Compiled // nil if this node can't use the text
	err     error           // why this node can't use the text; nil if it can
}

// textFetch is the state of fetching one text.
type textFetch struct {
	version  rules.VersionID
	parts    [][]byte      // nil until the size of the text is known; a nil part is missing
	size     int           // bytes of the whole text
	sources  []int         // indices of nodes
	current  int           // position in sources of the one in use, modulo their number
	attempts int           // requests to the current source without progress
	retryAt  time.Duration // time of the next request, by Clock
}

// textByNumber returns the text of the version with a number, or nil if this node does not have it.
func (l *Learner) textByNumber(number uint64) *fetchedText {
	for i := range l.texts {
		if l.texts[i].version.Number == number {
			return &l.texts[i]
		}
	}
	return nil
}

// textByDigest returns the text with a digest, if this node has it.
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

// fetchMissingTexts fetches the texts that this node needs for its leases, one at a time. It adds a text that the node
// already has, under another version or in the registry; for any other it requests parts when a request is due.
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

// addText adds the text of a version, which must match the version's digest, drops the oldest text beyond maxTexts, and
// reports to the leases (rules.Node) whether this node can use it.
func (l *Learner) addText(version rules.VersionID, raw []byte) {
	t := fetchedText{version: version, raw: raw}
	set, err := rules.Parse(raw)
	if err == nil {
		t.rules, err = set.Compile(l.config.Settings)
	}
	if err != nil {
		l.Counts.VersionsUnusable.Add(1)
		t.err = fmt.Errorf("version %d: %w", version.Number, err)
		slog.Error("rules: version can't be used by this node", "version", version.Number, "error", err)
	}
	if len(l.texts) >= maxTexts {
		l.texts = slices.Delete(l.texts, 0, 1)
	}
	l.texts = append(l.texts, t)
	l.node.TextFetched(Clock(), version, err == nil)
	l.fetch = nil
}

// requestParts requests the first missing parts. After maxFetchAttempts without progress it changes to the next source.
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

// firstMissing returns the index of the first missing part; -1 means that none is missing or that the size is unknown.
func (f *textFetch) firstMissing() int {
	return slices.IndexFunc(f.parts, func(part []byte) bool { return part == nil })
}

// sendParts answers a request with parts of a text, or with one message that says that this node does not have the
// text.
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

// receivePart adds a part to the fetch in progress. If the part is the last of a block of partsPerRequest parts and no
// earlier part is missing, the next request is due at once. While no message is lost, each request is for one block.
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
	case part.Index%partsPerRequest == partsPerRequest-1 && missing > part.Index:
		f.attempts = 0
		f.retryAt = Clock()
	}
}

// assembleText joins the parts and adds the text. If the text does not match its digest, a source has sent parts of
// another text: all parts are fetched again, from the next source.
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

// partCount returns the number of parts of a text with a size in bytes; an empty text has one part.
func partCount(size int) int { return max(1, (size+partBytes-1)/partBytes) }

// valid reports whether the size, the index and the length of the part agree.
func (p *textPart) valid() bool {
	if p.Size < 0 || p.Size > rules.MaxTextBytes || p.Index < 0 || p.Index >= partCount(p.Size) {
		return false
	}
	return len(p.Bytes) == min(partBytes, p.Size-p.Index*partBytes)
}
