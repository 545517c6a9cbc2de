package rules

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&AllClosedError{Zones: []string{"hall-a"}},
		&DocumentError{Line: 3, Key: "price", Reason: "no number"},
		&LooserError{Key: "bound", Have: 3, Most: 2},
		&NoVersionError{Number: 3, Text: true},
		&OrderError{Number: 3, Other: 2},
		&PhaseError{Step: "activation", Number: 3, Prepared: 2},
		&CorruptError{What: "registry: a command", Reason: oncall.ErrCause},
		&StaleVersionError{Have: 3, Want: 2},
		&TooLargeError{What: "rule set: its bytes", Have: 3, Most: 2},
		&UnknownNameError{Kind: "plan", Name: "gold"},
	)
}
