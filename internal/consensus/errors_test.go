package consensus

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&NoMajorityError{Reason: "waiting"},
		&NotLeaderError{Leader: Peer{Name: "n-1", Address: "127.0.0.1:7947"}},
		&UnknownMachineError{Machine: 'x'},
		&OutcomeUnknownError{Err: oncall.ErrCause},
	)
}
