package membership

import (
	"testing"

	"sloestile/internal/oncall"
)

// TestErrorsIncludeOperatorHint guards against an error without a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&BindError{Address: "127.0.0.1:7946", Err: oncall.ErrCause},
		&ConfigError{Key: "bind", Err: oncall.ErrCause},
		&TooManyMembersError{Member: "n-1", Address: "127.0.0.1:7946", MaxMembers: 1024},
		&JoinError{Seeds: 3, Err: oncall.ErrCause},
		&LeaveError{Name: "n-1", Err: oncall.ErrCause},
		&MemberError{Index: 3},
		&StartError{Name: "n-1", Address: "127.0.0.1:7946", Err: oncall.ErrCause},
	)
}
