package consensus

import (
	"fmt"

	"sloestile/internal/oneline"
)

// NotLeaderError is a call that another voter has to answer.
type NotLeaderError struct{ Leader Peer }

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("council: this node: it does not lead; ask %s at %s", e.Leader.Name, e.Leader.Address)
}

// NoMajorityError means that nothing can be agreed now; nodes go on by what they have.
type NoMajorityError struct{ Reason string } // the phase of the voter that was asked, or why none was reached

func (e *NoMajorityError) Error() string {
	return "council: no majority: " + e.Reason + "; start the voters that are down and look at the links between them"
}

// OutcomeUnknownError is a proposal that may have been agreed or not.
type OutcomeUnknownError struct{ Err error }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("council: the leader was lost before it knew whether this is agreed: %s; look at the status before trying again", oneline.Of(e.Err))
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// UnknownMachineError is a command for a state machine that this program does not have.
type UnknownMachineError struct{ Machine byte }

func (e *UnknownMachineError) Error() string {
	return fmt.Sprintf("council: a record: no state machine %q here; bring all voters to one version of the program", e.Machine)
}
