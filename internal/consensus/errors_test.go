package consensus

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&NoMajorityError{Phase: "waiting"},
		&NotLeaderError{Leader: Peer{Name: "n-1", Address: "127.0.0.1:7947"}},
		&StrangeError{Machine: 'x'},
		&UnknownError{Why: oncall.ErrCause},
	)
}
