package store

import (
	"testing"
	"time"

	"sloestile/internal/oncall"
)

// Each exported error is one line with all its fields, has a hint for the operator after the last semicolon, and has a
// row in docs/oncall.md.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&QuarantineError{File: "d/state", Reason: oncall.ErrCause, Err: oncall.ErrCause},
		&FolderError{Dir: "d", Err: oncall.ErrCause},
		&OwnerError{File: "d/state", Have: "n-2", Want: "n-1"},
		&ReadError{File: "d/state", Err: oncall.ErrCause},
		&SizeError{File: "d/state", What: "tenants", Have: 3, Max: 2},
		&CorruptError{File: "d/state", Err: oncall.ErrCause},
		&StalledError{Dir: "d", Timeout: time.Second},
		&InUseError{Dir: "d"},
		&VersionError{File: "d/state", Have: 2, Want: 1},
		&WriteError{File: "d/state", Err: oncall.ErrCause},
	)
}
