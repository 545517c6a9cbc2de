package consensus

import (
	"errors"
	"strings"
	"sync"

	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// guardedTransport records what the other voters acknowledge to this one, so that this voter can report it to them when
// they restart. It also keeps this voter out of elections while its log ends before minPosition, the latest entry that
// any other voter reported when this one started. This voter may have acknowledged that entry and lost it, so the entry
// may be committed, and a leader without it would overwrite it.
type guardedTransport struct {
	*raft.NetworkTransport
	records     *peerRecords
	log         *raftlog.Log
	minPosition logPosition
	incoming    chan raft.RPC // filtered requests; nil if minPosition is zero
	closed      chan struct{}
	closeOnce   sync.Once
	running     sync.WaitGroup
}

var (
	_ raft.Transport   = (*guardedTransport)(nil)
	_ raft.WithPreVote = (*guardedTransport)(nil)
)

// errBehind means that the log ends before minPosition. It is the answer to the vote requests that filterVoteRequests
// rejects, and the result of this voter's own vote requests.
var errBehind = errors.New("this voter's log is behind the logs that others reported at its start")

func newGuardedTransport(n *raft.NetworkTransport, records *peerRecords, log *raftlog.Log, minPosition logPosition) *guardedTransport {
	t := &guardedTransport{NetworkTransport: n, records: records, log: log, minPosition: minPosition, closed: make(chan struct{})}
	if minPosition != (logPosition{}) {
		t.incoming = make(chan raft.RPC)
		t.running.Go(t.filterVoteRequests) // ends when Close is called
	}
	return t
}

// Close closes the transport. It may be called more than once: the raft library also calls it.
func (t *guardedTransport) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	err := t.NetworkTransport.Close()
	t.running.Wait()
	return err
}

// Consumer returns the channel of other voters' requests.
func (t *guardedTransport) Consumer() <-chan raft.RPC {
	if t.incoming != nil {
		return t.incoming
	}
	return t.NetworkTransport.Consumer()
}

// isBehind reports whether the log ends before minPosition. A log that cannot be read counts as behind.
func (t *guardedTransport) isBehind() bool {
	if t.incoming == nil {
		return false
	}
	term, index, err := t.log.LastPosition()
	return err != nil || t.minPosition.isAfter(logPosition{term, index})
}

// filterVoteRequests passes requests from the network to the raft library. While this voter is behind, it rejects the
// vote requests of candidates whose logs end before minPosition.
func (t *guardedTransport) filterVoteRequests() {
	for {
		var rpc raft.RPC
		select {
		case rpc = <-t.NetworkTransport.Consumer():
		case <-t.closed:
			return
		}
		if t.minPosition.isAfter(t.candidatePosition(rpc)) && t.isBehind() {
			rpc.Respond(nil, errBehind)
			continue
		}
		select {
		case t.incoming <- rpc:
		case <-t.closed:
			return
		}
	}
}

// candidatePosition returns the end of the candidate's log for a vote request, and minPosition, which is never
// rejected, for any other request.
func (t *guardedTransport) candidatePosition(rpc raft.RPC) logPosition {
	switch request := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		return logPosition{request.LastLogTerm, request.LastLogIndex}
	case *raft.RequestPreVoteRequest:
		return logPosition{request.LastLogTerm, request.LastLogIndex}
	}
	return t.minPosition
}

// AppendEntries sends entries or a heartbeat to a voter and records the last entry that it acknowledges.
func (t *guardedTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	if err := t.NetworkTransport.AppendEntries(id, to, request, response); err != nil {
		return err
	}
	var last logPosition
	if response.Success {
		last = logPosition{request.PrevLogTerm, request.PrevLogEntry}
		if n := len(request.Entries); n > 0 {
			last = logPosition{request.Entries[n-1].Term, request.Entries[n-1].Index}
		}
	}
	t.records.update(id, response.Term, last, 0)
	return nil
}

// RequestVote requests a vote, unless this voter is behind, and records the vote of the other voter.
func (t *guardedTransport) RequestVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	if t.isBehind() {
		return errBehind
	}
	if err := t.NetworkTransport.RequestVote(id, to, request, response); err != nil {
		return err
	}
	votedTerm := uint64(0)
	if response.Granted {
		votedTerm = request.Term
	}
	t.records.update(id, response.Term, logPosition{}, votedTerm)
	return nil
}

// RequestPreVote asks whether the other voter would vote for this one, unless this voter is behind.
func (t *guardedTransport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	if t.isBehind() {
		return errBehind
	}
	return t.NetworkTransport.RequestPreVote(id, to, request, response)
}

// voterName returns the name part of an identity, which is the name, "#" and a random number.
func voterName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}
