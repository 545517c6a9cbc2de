// Package record keeps what the stand-in itself has seen of a play: each try from its client's
// side, each attempt from its server's. The judge goes by it alone, never by a node's word.
package record

import (
	"math"
	"slices"
	"sync"
	"time"
)

// End tells how a try ended for its client.
type End int

// The ends of a try.
const (
	Open     End = iota // no end seen yet
	Answered            // a whole answer came
	Broken              // the connection ended under it without a whole answer
	Unheard             // nothing came until long after its time
	Unsent              // no connection took it
	Left                // the client went away
)

// Outcome tells how an attempt ended at its server.
type Outcome int

// The outcomes of an attempt.
const (
	Running Outcome = iota
	Served
	Failed   // 500: it may have run
	Away     // turned away unseen
	GivenUp  // the node closed the connection
	Died     // the server died under it
	Repeated // a repeat of a key that its hall has: dropped, answered as the first
)

// Try is one try of a client. Times are on the play's clock.
type Try struct {
	ID            string
	Arrival, N    int // of the day's arrivals; how many tries came before
	Customer      int
	Class         int
	Units, True   int
	Node          int
	Due           time.Duration // when the day has it; of later tries, when its client wanted it
	Sent          time.Duration // its last byte was written
	Left          time.Duration // that the client will wait from then
	Fresh         bool          // the first request on its connection
	Kept          bool          // on a connection that stayed open at a node that had said no
	End           End
	Status        int
	Genuine       bool // the body is one that a server made for this try
	Advice        bool // a refusal with Retry-After
	Ended         time.Duration
	NodeKilled    bool // its node was killed, or cut off from its client, while it was out
	Attempts      []*Attempt
	Inside, Taken bool // of the quota: its first attempt was inside; it has had one
	Room          bool // where it was not served: half of the store was unused
}

// Attempt is one copy of a try that reached a server whole.
type Attempt struct {
	Try         *Try
	Server      int
	Node        int
	First, Last time.Duration // its first and last byte arrived
	Ended       time.Duration
	Outcome     Outcome
	Work        float64 // core-seconds done for it
	Cross       bool
}

// Send is one request that came to a cold server.
type Send struct {
	Node int
	At   time.Duration // its last byte arrived
	Work float64       // core-seconds
}

// Fall is a cold server that was pushed over: its start, and all that came within the rule's time.
type Fall struct {
	Server    int
	Since, At time.Duration
	Sends     []Send
}

// Sample is what a node's process looked like from outside.
type Sample struct {
	At          time.Duration
	Node        int
	RSS         int64         // bytes
	CPU         time.Duration // since its start
	Descriptors int
}

// Book holds the records of one play. It is safe for concurrent use.
type Book struct {
	mu        sync.Mutex
	tries     map[string]*Try
	Order     []*Try
	Strays    []string // ids that came to a server and from no client
	Fallen    []Fall   // servers pushed over while cold, in order
	Samples   []Sample
	Crashes   []string        // what ended or broke a limit unasked
	Improper  []time.Duration // how long improper peers waited for an error or a close
	Told      map[Pair][]Told
	Silent    map[int][]time.Duration // when the open watches of a node fell silent
	Answered  map[int][]time.Duration // when its agent answered a new call
	Moved     map[int][]time.Duration // when its agent moved, and SIGHUP came
	Late      []time.Duration         // of each send of the generator against its time
	Views     []View
	Talk      int64 // bytes that nodes sent each other
	Probes    int
	Opened    int64 // connections to rating servers that came up
	ListBytes int64 // bytes that discovery sent to all nodes
	Runs      []Run
	Cuts      map[Pair][]*Span
	Undone    int // steps that nodes' disks lost at the end of their power
}

// Front is the index of the node's clients, in place of a server's.
const Front = -1

// Span is a while; To is Never until it is over.
type Span struct{ From, To time.Duration }

// Cut enters that from now on what passes between a node and a server, or its clients, comes late or
// not, until what it gives is called with the time from which all comes again.
func (b *Book) Cut(p Pair, from time.Duration) (over func(to time.Duration)) {
	s := &Span{from, Never}
	b.With(func() { b.Cuts[p] = append(b.Cuts[p], s) })
	return func(to time.Duration) { b.With(func() { s.To = to }) }
}

// CutWithin tells whether a pair was cut within a span. The caller holds the book.
func (b *Book) CutWithin(p Pair, from, to time.Duration) bool {
	return slices.ContainsFunc(b.Cuts[p], func(s *Span) bool { return s.From <= to && s.To >= from })
}

// Pair is a node and a server.
type Pair struct{ Node, Server int }

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// Told is one change of the list, when one node's agent had it and when it was written to the node;
// Never where it was not.
type Told struct {
	Change, Had, At time.Duration
	Kind            string // "up", "draining", "removed"
}

// Changed enters a change that a node is to be told.
func (b *Book) Changed(p Pair, at time.Duration, kind string) {
	b.With(func() { b.Told[p] = append(b.Told[p], Told{at, Never, Never, kind}) })
}

// Has enters that a node's agent has the newest state of a server, and with it what changed before.
func (b *Book) Has(p Pair, at time.Duration) {
	b.With(func() {
		for i := range b.Told[p] {
			if t := &b.Told[p][i]; t.Had == Never {
				t.Had = at
			}
		}
	})
}

// Heard enters that a node has been written the newest state of a server. What changed before is
// told with it; to a process that starts anew it is told anew.
func (b *Book) Heard(p Pair, at time.Duration, kind string) {
	b.With(func() {
		news := false
		for i := range b.Told[p] {
			if t := &b.Told[p][i]; t.At == Never && t.Had <= at {
				t.At, news = at, true
			}
		}
		if !news {
			b.Told[p] = append(b.Told[p], Told{at, at, at, kind})
		}
	})
}

// View is the part of the running nodes that see all others that run, and no more.
type View struct {
	At    time.Duration
	Right float64
	// Requests so far whose customer's store the nodes knew, and did not know.
	Known, Unknown float64
	SentMost       float64 // messages that one node sent others a second since the view before, at most
}

// Run is the life of one process of a node; To is zero while it runs.
type Run struct {
	Node     int
	From, To time.Duration
	Ready    time.Duration // when it first said that it is; Never until then
	Killed   bool          // ended by SIGKILL with no SIGTERM before
}

// Began enters that a node's process starts.
func (b *Book) Began(node int, at time.Duration) {
	b.With(func() { b.Runs = append(b.Runs, Run{Node: node, From: at, Ready: Never}) })
}

// SaysReady enters that a node said at a time that it is ready, asked after another.
func (b *Book) SaysReady(node int, asked, at time.Duration) {
	b.With(func() {
		for i := range b.Runs {
			if r := &b.Runs[i]; r.Node == node && r.To == 0 && r.Ready == Never && r.From <= asked {
				r.Ready = at
			}
		}
	})
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{tries: make(map[string]*Try), Told: make(map[Pair][]Told), Silent: make(map[int][]time.Duration),
		Answered: make(map[int][]time.Duration), Moved: make(map[int][]time.Duration),
		Cuts: make(map[Pair][]*Span)}
}

// With runs f while nothing else writes to the book.
func (b *Book) With(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Begin enters a try before it is sent.
func (b *Book) Begin(t *Try) {
	b.With(func() {
		b.tries[t.ID] = t
		b.Order = append(b.Order, t)
	})
}

// Find gives the try of an id, or nil.
func (b *Book) Find(id string) *Try {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tries[id]
}

// Arrive enters an attempt that has reached its server whole.
func (b *Book) Arrive(a *Attempt) {
	b.With(func() { a.Try.Attempts = append(a.Try.Attempts, a) })
}

// Finish enters how an attempt ended.
func (b *Book) Finish(a *Attempt, o Outcome, at time.Duration, work float64) {
	b.With(func() { a.Outcome, a.Ended, a.Work = o, at, work })
}
