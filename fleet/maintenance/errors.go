package maintenance

import "fmt"

// PlanError reports a work plan that is not valid.
type PlanError struct {
	Key    string // key in the plan
	Host   string // host at fault; empty if none is
	Reason string
	Hint   string // what an operator can do
}

func (e *PlanError) Error() string {
	if e.Host != "" {
		return fmt.Sprintf("work plan: %s: host %s: %s; %s", e.Key, e.Host, e.Reason, e.Hint)
	}
	return fmt.Sprintf("work plan: %s: %s; %s", e.Key, e.Reason, e.Hint)
}

// SpoiltError reports a command, message or snapshot that can't be decoded or holds invalid values.
type SpoiltError struct {
	What   string // kind of the data
	Reason string
	Hint   string
}

func (e *SpoiltError) Error() string {
	return fmt.Sprintf("turns: %s rejected: %s; %s", e.What, e.Reason, e.Hint)
}

func malformed(what, format string, values ...any) error {
	return &SpoiltError{what, fmt.Sprintf(format, values...),
		"look for a node with another program version or a faulty disk"}
}

// StalePlanError reports a plan whose version is not higher than the version in force.
type StalePlanError struct{ Current, Got uint64 }

func (e *StalePlanError) Error() string {
	return fmt.Sprintf("turns: plan %d rejected: version %d is in force; activate it under a higher version",
		e.Got, e.Current)
}

// StaleLookError reports an observation based on another state: a duplicate, an overtaken one, or
// one of a previous leader. It also reports one measured before the last one, or after the group
// time at which it is applied.
type StaleLookError struct{ Current, Base uint64 }

func (e *StaleLookError) Error() string {
	return fmt.Sprintf("turns: observation based on number %d rejected: %d have been applied; no action is needed unless it recurs, then check which node leads the consensus group",
		e.Base, e.Current)
}

// StaleFenceError reports a request whose fencing token is not the lease's current one.
type StaleFenceError struct {
	Host         string
	Got, Current uint64 // 0 means none
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("turns: host %s: fencing token %d is void, the current one is %d; no action is needed, the agent requests the lease again",
		e.Host, e.Got, e.Current)
}

// OrderError reports a request or an operator's order that the lease's stage or the machine's phase
// does not permit.
type OrderError struct {
	Host       string
	Operation  string // type of the request, or "drop"
	Stage      Stage
	Phase      Phase
	WrongPhase bool // whether Phase, not Stage, is the reason
}

func (e *OrderError) Error() string {
	if e.WrongPhase {
		return fmt.Sprintf("turns: host %s: no %s while the machine is observed as %v; stop its process first, or wait until it is back in service",
			e.Host, e.Operation, e.Phase)
	}
	return fmt.Sprintf("turns: host %s: no %s while its lease is %v; read turns status", e.Host, e.Operation, e.Stage)
}

// UnknownHostError reports a host for which neither the plan nor the fleet has work.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string {
	return fmt.Sprintf("turns: host %s: neither the plan nor the fleet has work for it; if it came back under a new name, adopt that name",
		e.Host)
}

// NameTakenError reports a name that another host already uses.
type NameTakenError struct{ Host, Name, UsedBy string }

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("turns: host %s: the name %s is in use by host %s; start it under its own name",
		e.Host, e.Name, e.UsedBy)
}

// HaltedError reports a request that work being halted does not permit.
type HaltedError struct{ Reason string }

func (e *HaltedError) Error() string {
	return fmt.Sprintf("turns: halted: %s; run turns resume when the cause is gone", e.Reason)
}

// BoundError reports the bound that keeps a machine in service.
type BoundError struct {
	Host        string
	Bound       Bound
	Scope       string // machines to which the bound applies
	Unavailable uint64 // unavailable number or capacity, including the machine itself
	Max         uint64 // permitted number or capacity
}

func (e *BoundError) Error() string {
	if e.Max == 0 && e.Unavailable == 0 {
		return fmt.Sprintf("turns: host %s: kept in service by its %v, %s; wait until that permits it",
			e.Host, e.Bound, e.Scope)
	}
	return fmt.Sprintf("turns: host %s: kept in service by the bound on %v, %s: %d unavailable, at most %d permitted; wait for other machines, or raise the bound in the plan",
		e.Host, e.Bound, e.Scope, e.Unavailable, e.Max)
}
