package consensus

import (
	"testing"

	"sloestile/internal/oncall"
)

// Each exported error is one line with all its fields, has a hint for the operator after the last semicolon, and has a
// row in docs/oncall.md.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&NoMajorityError{Reason: "waiting"},
		&NotLeaderError{Leader: Peer{Name: "n-1", Address: "127.0.0.1:7947"}},
		&UnknownMachineError{Machine: 'x'},
		&OutcomeUnknownError{Err: oncall.ErrCause},
	)
}
