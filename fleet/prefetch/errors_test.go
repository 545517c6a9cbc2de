package prefetch

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&CalendarError{Site: "ridge", Key: "windows.0", Reason: "no end"},
		&LoanError{Customer: 7, Reason: "nothing left"},
		&VoidError{Reason: "another start"},
	)
}
