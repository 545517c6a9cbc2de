package consensus

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"sloestile/internal/oneline"
)

// NotLeaderError tells that another voter has to be asked.
type NotLeaderError struct{ Leader Peer }

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("council: this node: it does not lead; ask %s at %s", e.Leader.Name, e.Leader.Address)
}

// NoMajorityError tells that nothing can be agreed now; nodes go on by what they have.
type NoMajorityError struct{ Phase string } // of the voter that was asked, or why none was reached

func (e *NoMajorityError) Error() string {
	return "council: no majority: " + e.Phase + "; start the voters that are down and look at the links between them"
}

// UnknownError tells that a proposal may have been agreed or not.
type UnknownError struct{ Why error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("council: the leader was lost before it knew whether this is agreed: %s; look at the status before trying again", oneline.Of(e.Why))
}

func (e *UnknownError) Unwrap() error { return e.Why }

// Propose has a machine's command agreed, and gives what the machine answered here.
func (v *Voter) Propose(machine byte, command []byte, within time.Duration) (any, error) {
	r, err := v.leading()
	if err != nil {
		return nil, err
	}
	f := r.Apply(append([]byte{machine}, command...), within)
	if err := f.Error(); err != nil {
		return nil, v.explain(err)
	}
	return f.Response(), nil
}

// Verify asks a majority whether this voter leads, by a round that begins after the call. Without an
// error all that was agreed before the call is applied here.
func (v *Voter) Verify() error {
	r, err := v.leading()
	if err != nil {
		return err
	}
	term := v.ready.Load()
	if err := r.VerifyLeader().Error(); err != nil {
		return v.explain(err)
	}
	if term == 0 || term != r.CurrentTerm() {
		return &NoMajorityError{Phase: "a new leader takes over what was agreed"}
	}
	return nil
}

// leading gives the library where this voter leads.
func (v *Voter) leading() (*raft.Raft, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.raft == nil {
		return nil, &NoMajorityError{Phase: v.phase}
	}
	if v.raft.State() != raft.Leader {
		return nil, v.elsewhere()
	}
	return v.raft, nil
}

// elsewhere tells who leads. The lock is held.
func (v *Voter) elsewhere() error {
	if v.raft != nil {
		if _, id := v.raft.LeaderWithID(); id != "" {
			if p, ok := v.peers[nameOf(id)]; ok && p.Name != v.cfg.Self {
				return &NotLeaderError{Leader: p}
			}
		}
	}
	return &NoMajorityError{Phase: v.phase}
}

// explain gives the library's errors as this package's.
func (v *Voter) explain(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.elsewhere()
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrRaftShutdown):
		return &UnknownError{Why: err}
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return &NoMajorityError{Phase: "is busy"}
	}
	return err
}
