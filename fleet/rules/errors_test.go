package rules

import (
	"testing"

	"sloestile/internal/oncall"
)

// Each error must fit on one line, name what failed, and end with a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&AllClosedError{Zones: []string{"hall-a"}},
		&DocumentError{Line: 3, Key: "price", Reason: "no number"},
		&LooserError{Key: "bound", Value: 3, Max: 2},
		&NoVersionError{Number: 3, TextDropped: true},
		&OrderError{Number: 3, Scheduled: 2},
		&PhaseError{Step: "activation", Number: 3, Prepared: 2},
		&CorruptError{Object: "registry: a command", Err: oncall.ErrCause},
		&StaleVersionError{Current: 3, Given: 2},
		&TooLargeError{Quantity: "rule set: its bytes", Value: 3, Max: 2},
		&UnknownNameError{Kind: "plan", Name: "gold"},
	)
}
