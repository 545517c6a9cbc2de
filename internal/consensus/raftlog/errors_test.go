package raftlog

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&CorruptError{File: "d/log", Err: oncall.ErrCause},
		&InUseError{Dir: "d"},
	)
}
