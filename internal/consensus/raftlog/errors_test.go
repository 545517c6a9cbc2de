package raftlog

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&SpoiltError{File: "d/log", Why: oncall.ErrCause},
		&UsedError{Dir: "d"},
	)
}
