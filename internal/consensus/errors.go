package consensus

import (
	"fmt"

	"sloestile/internal/oneline"
)

// NotLeaderError means that the called voter is not the leader, and names the voter that is.
type NotLeaderError struct{ Leader Peer }

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("council: this node is not the leader; ask %s at %s", e.Leader.Name, e.Leader.Address)
}

// NoMajorityError means that the group can commit nothing now. Nodes keep the rule versions that they have.
type NoMajorityError struct{ Reason string } // the phase of the called voter, or why no leader was reached

func (e *NoMajorityError) Error() string {
	return "council: no majority: " + e.Reason + "; start the voters that are down and check the links between them"
}

// OutcomeUnknownError means that a proposal may or may not have been committed.
type OutcomeUnknownError struct{ Err error }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("council: it is unknown whether the proposal was committed: %s; check the status before trying again", oneline.Of(e.Err))
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// UnknownMachineError means that a command or a snapshot is for a state machine that this program does not have.
type UnknownMachineError struct{ Machine byte }

func (e *UnknownMachineError) Error() string {
	return fmt.Sprintf("council: log entry: no state machine %q in this program; run the same program version on all voters", e.Machine)
}
