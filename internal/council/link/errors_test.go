package link

import (
	"testing"

	"martennotch/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&UnreachedError{Peer: "n-2", Why: oncall.Cause},
	)
}
