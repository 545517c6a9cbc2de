package consensus

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"
)

// Propose has a state machine's command agreed, and returns what the state machine answered here.
func (v *Voter) Propose(machine byte, command []byte, within time.Duration) (any, error) {
	r, err := v.leadingRaft()
	if err != nil {
		return nil, err
	}
	future := r.Apply(append([]byte{machine}, command...), within)
	if err := future.Error(); err != nil {
		return nil, v.translateError(err)
	}
	return future.Response(), nil
}

// Verify asks a majority whether this voter leads, by a round that begins after the call. Without an
// error all that was agreed before the call is applied here.
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
		return &NoMajorityError{Reason: "a new leader takes over what was agreed"}
	}
	return nil
}

// leadingRaft returns the library where this voter leads.
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

// notLeaderError returns an error that names the leader. The caller holds v.mu.
func (v *Voter) notLeaderError() error {
	if v.raft != nil {
		_, leader := v.raft.LeaderWithID()
		if p, ok := v.peers[voterName(leader)]; ok && p.Name != v.config.Name {
			return &NotLeaderError{Leader: p}
		}
	}
	return &NoMajorityError{Reason: v.phase}
}

// translateError returns the library's errors as this package's.
func (v *Voter) translateError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.notLeaderError()
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown):
		return &OutcomeUnknownError{Err: err}
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return &NoMajorityError{Reason: "is busy"}
	}
	return err
}
