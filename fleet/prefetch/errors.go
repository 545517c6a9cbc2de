package prefetch

import "fmt"

// CalendarError reports an invalid value in a calendar.
type CalendarError struct{ Site, Key, Reason string }

func (e *CalendarError) Error() string {
	return fmt.Sprintf("uplink calendar: site %q: %s: %s; correct the calendar in the rule set and publish it again", e.Site, e.Key, e.Reason)
}

// LoanError reports why an owner rejects a reservation.
type LoanError struct {
	Tenant uint64
	Reason string
}

func (e *LoanError) Error() string {
	return fmt.Sprintf("provision: tenant %016x: %s; the edge node uses its own meter readings during the outage, no action is needed unless this recurs", e.Tenant, e.Reason)
}

// VoidError reports that a reservation stored on an edge node's disk cannot be used.
type VoidError struct{ Reason string }

func (e *VoidError) Error() string {
	return fmt.Sprintf("provision: reservations stored on disk are void: %s; the edge node enforces quotas alone until its uplink is back, check its clock and its disk", e.Reason)
}
