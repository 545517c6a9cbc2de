package prefetch

import (
	"testing"

	"sloestile/internal/oncall"
)

// Guards against an error without a hint for the operator.
func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&CalendarError{Site: "ridge", Key: "windows.0", Reason: "it is not a number"},
		&LoanError{Tenant: 7, Reason: "nothing is left to reserve"},
		&VoidError{Reason: "the reservation has expired"},
	)
}
