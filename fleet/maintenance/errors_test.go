package maintenance

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&BoundError{Host: "h-1", Bound: ByZone, Where: "edge nodes of zone hall-a", Away: 3, Most: 2},
		&HaltedError{Why: "zone hall-a is left"},
		&LateError{Host: "h-1", Deadline: 1, Expected: 2, Why: "no room"},
		&NameTakenError{Host: "h-1", Name: "n-2", By: "h-2"},
		&OrderError{Host: "h-1", What: "drop", Stage: Out, Phase: Warm, Seen: true},
		&PlanError{Key: "hosts.0", Host: "h-1", Why: "no time", Do: "give it one"},
		&SpoiltError{What: "a command", Why: "no number", Do: "look for another version"},
		&StaleFenceError{Host: "h-1", Got: 2, Have: 3},
		&StaleLookError{Have: 3, After: 2},
		&StalePlanError{Have: 3, Got: 2},
		&UnknownHostError{Host: "h-9"},
	)
}
