package consensus

import (
	"errors"
	"strings"
	"sync"

	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// guardedTransport notes what the others acknowledge, and keeps this voter from electing others, or standing itself, with
// less than a minimum: what the others had when it began, as its disk may have lost that it had agreed to that.
type guardedTransport struct {
	*raft.NetworkTransport
	records     *peerRecords
	log         *raftlog.Log
	minPosition logPosition
	incoming    chan raft.RPC // nil where there is no minimum
	closed      chan struct{}
	closeOnce   sync.Once
	running     sync.WaitGroup
}

var (
	_ raft.Transport   = (*guardedTransport)(nil)
	_ raft.WithPreVote = (*guardedTransport)(nil)
)

var errBehind = errors.New("this voter has less than others had when it began")

func newGuardedTransport(n *raft.NetworkTransport, records *peerRecords, log *raftlog.Log, minimum logPosition) *guardedTransport {
	t := &guardedTransport{NetworkTransport: n, records: records, log: log, minPosition: minimum, closed: make(chan struct{})}
	if minimum != (logPosition{}) {
		t.incoming = make(chan raft.RPC)
		t.running.Go(t.filterVoteRequests) // ends with Close
	}
	return t
}

// Close ends the transport; the library does so too.
func (t *guardedTransport) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	err := t.NetworkTransport.Close()
	t.running.Wait()
	return err
}

// Consumer returns the requests of others.
func (t *guardedTransport) Consumer() <-chan raft.RPC {
	if t.incoming != nil {
		return t.incoming
	}
	return t.NetworkTransport.Consumer()
}

// isBehind reports whether this voter has less than the minimum.
func (t *guardedTransport) isBehind() bool {
	if t.incoming == nil {
		return false
	}
	term, index, err := t.log.Last()
	return err != nil || t.minPosition.isAfter(logPosition{term, index})
}

// filterVoteRequests rejects votes for candidates below the minimum, and passes everything else on.
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

// candidatePosition returns what a candidate has that asks for a vote; the minimum for other requests.
func (t *guardedTransport) candidatePosition(rpc raft.RPC) logPosition {
	switch request := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		return logPosition{request.LastLogTerm, request.LastLogIndex}
	case *raft.RequestPreVoteRequest:
		return logPosition{request.LastLogTerm, request.LastLogIndex}
	}
	return t.minPosition
}

// AppendEntries sends records or a heartbeat.
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

// RequestVote asks for a vote.
func (t *guardedTransport) RequestVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse) error {
	if t.isBehind() {
		return errBehind
	}
	if err := t.NetworkTransport.RequestVote(id, to, request, response); err != nil {
		return err
	}
	voted := uint64(0)
	if response.Granted {
		voted = request.Term
	}
	t.records.update(id, response.Term, logPosition{}, voted)
	return nil
}

// RequestPreVote asks whether a vote would be given.
func (t *guardedTransport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse) error {
	if t.isBehind() {
		return errBehind
	}
	return t.NetworkTransport.RequestPreVote(id, to, request, response)
}

// voterName returns the voter's name in an identity.
func voterName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}
