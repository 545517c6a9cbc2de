package prefetch

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&CalendarError{Site: "ridge", Key: "windows.0", Reason: "no end"},
		&LoanError{Tenant: 7, Reason: "nothing left"},
		&VoidError{Reason: "another start"},
	)
}
