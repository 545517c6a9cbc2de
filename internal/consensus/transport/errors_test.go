package transport

import (
	"testing"

	"sloestile/internal/oncall"
)

// Each exported error is one line with all its fields, has a hint for the operator after the last semicolon, and has a
// row in docs/oncall.md.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&UnreachableError{Peer: "n-2", Err: oncall.ErrCause},
	)
}
