package transport

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&UnreachedError{Peer: "n-2", Why: oncall.ErrCause},
	)
}
