package turns

import (
	"testing"

	"martennotch/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&BoundError{Host: "h-1", Bound: 1, Where: "hall-a", Away: 2, Most: 2},
		&HaltedError{Why: "by hand"},
		&LateError{Host: "h-1", Deadline: 3, Expected: 4},
		&LateError{Host: "h-1", Deadline: 3, Why: "a voter is away"},
		&NameTakenError{Host: "h-1", Name: "n-2", By: "h-2"},
		&OrderError{Host: "h-1", What: "grant", Stage: 1, Phase: 1, Seen: true},
		&PlanError{Key: "hosts.0", Host: "h-1", Why: "no time", Do: "give it one"},
		&SpoiltError{What: "a command", Why: "no number", Do: "look for another version"},
		&StaleFenceError{Host: "h-1", Got: 2, Have: 3},
		&StaleLookError{Have: 3, After: 2},
		&StalePlanError{Have: 3, Got: 2},
		&UnknownHostError{Host: "h-1"},
	)
}
