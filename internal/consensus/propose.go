package consensus

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"
)

// Propose replicates a command of a state machine and returns the state machine's result at this voter, which must be
// the leader. timeout limits the wait until the leader starts on the command, not the replication. Its errors include
// NotLeaderError, NoMajorityError and OutcomeUnknownError.
func (v *Voter) Propose(machine byte, command []byte, timeout time.Duration) (any, error) {
	r, err := v.leadingRaft()
	if err != nil {
		return nil, err
	}
	future := r.Apply(append([]byte{machine}, command...), timeout)
	if err := future.Error(); err != nil {
		return nil, v.translateError(err)
	}
	return future.Response(), nil
}

// Verify confirms with a majority, in a round that begins after the call, that this voter leads. If it returns nil, all
// commands whose Propose had succeeded at any voter before the call are applied here.
func (v *Voter) Verify() error {
	r, err := v.leadingRaft()
	if err != nil {
		return err
	}
	term := v.leadingTerm.Load()
	if err := r.VerifyLeader().Error(); err != nil {
		return v.translateError(err)
	}
	if term == 0 || term != r.CurrentTerm() {
		return &NoMajorityError{Reason: "the new leader has not applied all committed log entries yet"}
	}
	return nil
}

// leadingRaft returns the raft library if this voter leads.
func (v *Voter) leadingRaft() (*raft.Raft, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.raft == nil {
		return nil, &NoMajorityError{Reason: v.phase}
	}
	if v.raft.State() != raft.Leader {
		return nil, v.notLeaderError()
	}
	return v.raft, nil
}

// notLeaderError returns a NotLeaderError if another voter is known to lead, else a NoMajorityError. The caller holds
// v.mu.
func (v *Voter) notLeaderError() error {
	if v.raft != nil {
		_, leader := v.raft.LeaderWithID()
		if p, ok := v.peers[voterName(leader)]; ok && p.Name != v.config.Name {
			return &NotLeaderError{Leader: p}
		}
	}
	return &NoMajorityError{Reason: v.phase}
}

// translateError translates an error of the raft library to one of this package.
func (v *Voter) translateError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.notLeaderError()
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown):
		return &OutcomeUnknownError{Err: err}
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return &NoMajorityError{Reason: "the leader did not accept the proposal in time"}
	}
	return err
}
