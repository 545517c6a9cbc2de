package outage

import (
	"slices"
	"time"

	"sloestile/fleet/rules"
)

const (
	// packetHeader is the bytes of a datagram's IP and UDP headers, of the membership's and the kind.
	packetHeader = 28 + 1 + 1
	// A rule set's text comes in parts of 1 KiB, each with a header, eight to a request: see
	// internal/consensus/learner.
	partBytes     = 1024
	partHeader    = packetHeader + 45
	partsAtOnce   = 8
	requestBytes  = packetHeader + 44
	partsPassTake = 2 * time.Millisecond  // of eight parts on a link
	fetchLater    = 25 * time.Millisecond // until a node without the text is asked again
	pollBatch     = 270 * time.Millisecond
	fetchAgain    = 60 * time.Millisecond // until a request that was lost goes again
	sourceTries   = 6                     // at one source
)

func (s *ruleFleet) encode(outs []rules.Outgoing) [][]byte {
	raws := make([][]byte, len(outs))
	for k, o := range outs {
		raw, err := o.Message.Encode()
		if err != nil && s.err == nil {
			s.err = err
		}
		raws[k] = raw
	}
	return raws
}

// send carries a message over the link, unless it is lost.
func (s *ruleFleet) send(from int, o rules.Outgoing, raw []byte) {
	bytes := float64(packetHeader + len(raw))
	if g := o.Message.Grant; g != nil && g.Full {
		s.full++
	}
	s.meter.message(s.Now, from, bytes)
	if s.links.lost(s.size, s.rng, from, o.To) || s.loses != nil && s.loses(from, o.To, o.Message) {
		return
	}
	s.after(s.wire(from, o.To), func() { s.receive(o.To, raw) })
}

func (s *ruleFleet) receive(to int, raw []byte) {
	n := &s.nodes[to]
	if n.dead {
		return
	}
	s.meter.message(s.Now, to, float64(packetHeader+len(raw)))
	began := time.Now()
	m, err := rules.DecodeMessage(raw, s.size.nodes)
	if err != nil {
		s.err = err
		return
	}
	n.Receive(s.clock(to), m)
	s.meter.spent(s.Now, s.roleOf(to), time.Since(began))
	s.step(to)
}

// fetch has a node ask for a text where it asks for leases, then at others, until it is there.
func (s *ruleFleet) fetch(i int, name rules.VersionID, tries int) {
	n := &s.nodes[i]
	if n.dead || n.fetching != name {
		return
	}
	if i < voters { // a voter has the text by the log
		s.after(s.part(wakeMost), func() { s.have(i, name) })
		return
	}
	if len(n.parents) == 0 {
		s.after(time.Second, func() { s.fetch(i, name, tries) })
		return
	}
	from := n.parents[tries/sourceTries%len(n.parents)]
	s.meter.message(s.Now, i, requestBytes)
	if s.links.lost(s.size, s.rng, i, from) || s.nodes[from].dead {
		s.after(fetchAgain+2*s.links.far, func() { s.fetch(i, name, tries+1) })
		return
	}
	s.after(s.wire(i, from), func() { s.serve(from, i, name, tries) })
}

// serve answers a request for a text with its parts, or with none where the text is not here.
func (s *ruleFleet) serve(from, to int, name rules.VersionID, tries int) {
	s.meter.message(s.Now, from, requestBytes)
	if s.nodes[from].text < name.Number {
		w := &textWait{to: to, name: name, tries: tries}
		s.waiting[from] = append(s.waiting[from], w)
		s.poll(from, w)
		return
	}
	parts := (s.textSize + partBytes - 1) / partBytes
	requests := (parts + partsAtOnce - 1) / partsAtOnce
	bytes := float64(s.textSize + parts*partHeader + (requests-1)*requestBytes)
	s.meter.count(s.Now, from, bytes, float64(parts+requests-1))
	took := partsPassTake * time.Duration(requests)
	for range requests { // one after the other; a loss has the same eight parts asked for again
		took += s.wire(from, to) + s.wire(to, from)
		for s.partLost(from, to) {
			took += fetchAgain
		}
	}
	s.after(took, func() {
		if s.links.connected(s.size, from, to) {
			s.meter.count(s.Now, to, bytes, float64(parts+requests-1))
			s.have(to, name)
			return
		}
		s.fetch(to, name, tries+1)
	})
}

// textWait is a node that asks its source each fetchLater for a text that is not there yet. What these
// requests and their answers cost is counted for pollBatch at a time.
type textWait struct {
	to    int
	name  rules.VersionID
	tries int
	done  bool
}

// poll counts the requests of a node that waits for a text, until its source has the text or is lost.
func (s *ruleFleet) poll(from int, w *textWait) {
	if w.done {
		return
	}
	if !s.reachable(from, w.to) || s.nodes[w.to].fetching != w.name {
		w.done = true
		s.fetch(w.to, w.name, w.tries+1)
		return
	}
	const polls = float64(pollBatch / (fetchLater + 2*wakeMost))
	for _, i := range []int{from, w.to} {
		s.meter.count(s.Now, i, polls*(requestBytes+partHeader), 2*polls)
	}
	s.after(pollBatch, func() { s.poll(from, w) })
}

// textCame has those that wait at a node for its text ask for it.
func (s *ruleFleet) textCame(at int) {
	still := s.waiting[at][:0]
	for _, w := range s.waiting[at] {
		switch {
		case w.done:
		case w.name.Number <= s.nodes[at].text:
			w.done = true
			s.after(s.part(fetchLater), func() { s.fetch(w.to, w.name, w.tries) })
		default:
			still = append(still, w)
		}
	}
	s.waiting[at] = still
}

// partLost draws whether one of eight parts or their request is lost.
func (s *ruleFleet) partLost(from, to int) bool {
	return slices.ContainsFunc(make([]struct{}, partsAtOnce+1), func(struct{}) bool {
		return s.links.connected(s.size, from, to) && s.links.lost(s.size, s.rng, from, to)
	})
}

func (s *ruleFleet) have(i int, name rules.VersionID) {
	n := &s.nodes[i]
	n.text = max(n.text, name.Number)
	s.textCame(i)
	n.TextFetched(s.clock(i), name, true)
	s.step(i)
}
