package prefetch

import "fmt"

// CalendarError tells what in a calendar can't be used.
type CalendarError struct{ Site, Key, Reason string }

func (e *CalendarError) Error() string {
	return fmt.Sprintf("uplink calendar: site %q: %s: %s; mend the calendar in the rule set and publish it anew", e.Site, e.Key, e.Reason)
}

// LoanError tells why an owner lends nothing.
type LoanError struct {
	Tenant uint64
	Reason string
}

func (e *LoanError) Error() string {
	return fmt.Sprintf("provision: customer %016x: %s; the edge decides by its own readings in the window, no action is needed unless it recurs", e.Tenant, e.Reason)
}

// VoidError tells that what an edge kept on its disk of its loans may not be used.
type VoidError struct{ Reason string }

func (e *VoidError) Error() string {
	return fmt.Sprintf("provision: loans kept on the disk are void: %s; the edge decides alone until it has the link again, check its clock and its disk", e.Reason)
}
