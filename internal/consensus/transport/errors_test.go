package transport

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&UnreachableError{Peer: "n-2", Err: oncall.ErrCause},
	)
}
