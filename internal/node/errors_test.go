package node

import (
	"testing"
	"time"

	"sloestile/internal/oncall"
)

// TestErrorsIncludeOperatorHint guards against an error without a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&BusyError{Call: "zones", Timeout: time.Second},
		&CallError{Method: "PUT", Path: "/drain", Allowed: []string{"POST"}},
		&ConsensusCallError{Call: "activate", Key: "kind", Have: "soon", Want: "overlap or exclusive"},
		&EndingError{Node: "n-1"},
		&ListenError{Callers: "clients", Address: "127.0.0.1:80", Err: oncall.ErrCause},
		&ModuleError{Panic: oncall.ErrCause},
		&ServeError{Address: "127.0.0.1:80", Err: oncall.ErrCause},
		&ZoneError{Zone: "hall-x", Known: []string{"hall-a"}},
	)
}
