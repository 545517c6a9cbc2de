package subset

import (
	"testing"

	"sloestile/internal/oncall"
)

// TestErrorsIncludeOperatorHint guards against an error without a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&ConfigError{Key: "most", Value: 5000, Min: 1, Max: maxServersBound},
		&TooManyError{What: "servers", Count: 3, Max: 2},
		&EntryError{Number: 3, ID: "s-1", Field: "zone", Reason: "too long"},
		&ListUsedError{},
	)
}
