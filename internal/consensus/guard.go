package consensus

import (
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// mark is a place in the log; a later term's is further, whatever the index.
type mark struct {
	Term  uint64 `cbor:"1,keyasint,omitempty"`
	Index uint64 `cbor:"2,keyasint,omitempty"`
}

func (m mark) beyond(o mark) bool { return m.Term > o.Term || m.Term == o.Term && m.Index > o.Index }

// sighting is what another has said to this voter, which is on its disk if that does not lie.
type sighting struct {
	Last  mark   `cbor:"1,keyasint"` // that it has acknowledged
	Term  uint64 `cbor:"2,keyasint"`
	Voted uint64 `cbor:"3,keyasint"` // the last term in which it voted for this one
	at    time.Time
}

const sightingsMost = 64 // identities; those heard longest ago go

// witness keeps what others have said to this voter.
type witness struct {
	mu   sync.Mutex
	seen map[raft.ServerID]*sighting
}

func newWitness() *witness { return &witness{seen: make(map[raft.ServerID]*sighting)} }

func (w *witness) of(id raft.ServerID) sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.seen[id]; s != nil {
		return *s
	}
	return sighting{}
}

func (w *witness) note(id raft.ServerID, term uint64, last mark, voted uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.seen[id]
	if s == nil {
		if len(w.seen) >= sightingsMost {
			oldest := id
			for o, x := range w.seen {
				if oldest == id || x.at.Before(w.seen[oldest].at) {
					oldest = o
				}
			}
			delete(w.seen, oldest)
		}
		s = &sighting{}
		w.seen[id] = s
	}
	s.Term, s.Voted, s.at = max(s.Term, term), max(s.Voted, voted), time.Now()
	if last.beyond(s.Last) {
		s.Last = last
	}
}

// guardedTransport notes what the others acknowledge, and keeps a voter from electing, or standing itself,
// that has less than its bar: what the others had when it began, as its disk may have forgotten that
// it had agreed to that.
type guardedTransport struct {
	*raft.NetworkTransport
	seen *witness
	log  *raftlog.Log
	bar  mark
	in   chan raft.RPC // nil where there is no bar
	over chan struct{}
	once sync.Once
	done sync.WaitGroup
}

var (
	_ raft.Transport   = (*guardedTransport)(nil)
	_ raft.WithPreVote = (*guardedTransport)(nil)
)

var errBarred = errors.New("this voter has less than others had when it began")

func newGuardedTransport(n *raft.NetworkTransport, seen *witness, log *raftlog.Log, bar mark) *guardedTransport {
	t := &guardedTransport{NetworkTransport: n, seen: seen, log: log, bar: bar, over: make(chan struct{})}
	if bar != (mark{}) {
		t.in = make(chan raft.RPC)
		t.done.Go(t.filter)
	}
	return t
}

// Close ends it; the library does so too.
func (t *guardedTransport) Close() error {
	t.once.Do(func() { close(t.over) })
	err := t.NetworkTransport.Close()
	t.done.Wait()
	return err
}

// Consumer gives what comes.
func (t *guardedTransport) Consumer() <-chan raft.RPC {
	if t.in != nil {
		return t.in
	}
	return t.NetworkTransport.Consumer()
}

// barred tells whether this voter has less than its bar.
func (t *guardedTransport) barred() bool {
	if t.in == nil {
		return false
	}
	term, index, err := t.log.Last()
	return err != nil || t.bar.beyond(mark{term, index})
}

// filter refuses votes to candidates below the bar.
func (t *guardedTransport) filter() {
	for {
		var rpc raft.RPC
		select {
		case rpc = <-t.NetworkTransport.Consumer():
		case <-t.over:
			return
		}
		var has mark
		switch c := rpc.Command.(type) {
		case *raft.RequestVoteRequest:
			has = mark{c.LastLogTerm, c.LastLogIndex}
		case *raft.RequestPreVoteRequest:
			has = mark{c.LastLogTerm, c.LastLogIndex}
		default:
			has = t.bar
		}
		if t.bar.beyond(has) && t.barred() {
			rpc.Respond(nil, errBarred)
			continue
		}
		select {
		case t.in <- rpc:
		case <-t.over:
			return
		}
	}
}

// AppendEntries sends records or a heartbeat.
func (t *guardedTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, q *raft.AppendEntriesRequest, a *raft.AppendEntriesResponse) error {
	err := t.NetworkTransport.AppendEntries(id, to, q, a)
	if err == nil {
		var last mark
		if a.Success {
			last = mark{q.PrevLogTerm, q.PrevLogEntry}
			if n := len(q.Entries); n > 0 {
				last = mark{q.Entries[n-1].Term, q.Entries[n-1].Index}
			}
		}
		t.seen.note(id, a.Term, last, 0)
	}
	return err
}

// RequestVote asks for a vote.
func (t *guardedTransport) RequestVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestVoteRequest, a *raft.RequestVoteResponse) error {
	if t.barred() {
		return errBarred
	}
	err := t.NetworkTransport.RequestVote(id, to, q, a)
	if err == nil {
		voted := uint64(0)
		if a.Granted {
			voted = q.Term
		}
		t.seen.note(id, a.Term, mark{}, voted)
	}
	return err
}

// RequestPreVote asks whether a vote would be given.
func (t *guardedTransport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestPreVoteRequest, a *raft.RequestPreVoteResponse) error {
	if t.barred() {
		return errBarred
	}
	return t.NetworkTransport.RequestPreVote(id, to, q, a)
}

// nameOf gives the voter's name in an identity.
func nameOf(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}
