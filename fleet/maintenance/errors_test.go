package maintenance

import (
	"testing"

	"sloestile/internal/oncall"
)

// Each error must include a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&BoundError{Host: "h-1", Bound: BoundZone, Scope: "edge nodes of zone hall-a", Unavailable: 3, Max: 2},
		&HaltedError{Reason: "zone hall-a is left"},
		&LateError{Host: "h-1", Deadline: 1, ExpectedAt: 2, Reason: "no room"},
		&NameTakenError{Host: "h-1", Name: "n-2", UsedBy: "h-2"},
		&OrderError{Host: "h-1", Operation: "drop", Stage: StageOut, Phase: PhaseWarm, WrongPhase: true},
		&PlanError{Key: "hosts.0", Host: "h-1", Reason: "no time", Hint: "give it one"},
		&SpoiltError{What: "a command", Reason: "no number", Hint: "look for another version"},
		&StaleFenceError{Host: "h-1", Got: 2, Current: 3},
		&StaleLookError{Current: 3, Base: 2},
		&StalePlanError{Current: 3, Got: 2},
		&UnknownHostError{Host: "h-9"},
	)
}
