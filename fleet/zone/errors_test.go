package zone

import (
	"testing"

	"sloestile/internal/oncall"
)

// TestErrorsSayWhatToDo guards against an error without a hint for the operator.
func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&OrderError{Order: "go"},
	)
}
