package zone

import (
	"testing"

	"sloestile/internal/oncall"
)

// TestErrorsIncludeOperatorHint guards against an error without a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&OrderError{Order: "go"},
	)
}
