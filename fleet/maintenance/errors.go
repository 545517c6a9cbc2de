package maintenance

import "fmt"

// PlanError is a work plan that can't be followed.
type PlanError struct {
	Key    string // of the plan
	Host   string // where one is at fault
	Reason string
	Hint   string // what an operator can do
}

func (e *PlanError) Error() string {
	if e.Host != "" {
		return fmt.Sprintf("work plan: %s: host %s: %s; %s", e.Key, e.Host, e.Reason, e.Hint)
	}
	return fmt.Sprintf("work plan: %s: %s; %s", e.Key, e.Reason, e.Hint)
}

// SpoiltError is a command, message or snapshot that can't be read, or holds what can't be.
type SpoiltError struct {
	What   string
	Reason string
	Hint   string
}

func (e *SpoiltError) Error() string {
	return fmt.Sprintf("turns: %s refused: %s; %s", e.What, e.Reason, e.Hint)
}

func spoilt(what, why string, values ...any) error {
	return &SpoiltError{what, fmt.Sprintf(why, values...), "look for a node of another version, or a spoilt disk"}
}

// StalePlanError is a plan that is not later than the one in force.
type StalePlanError struct{ Current, Got uint64 }

func (e *StalePlanError) Error() string {
	return fmt.Sprintf("turns: plan %d refused: %d is in force; activate it under a new number", e.Got, e.Current)
}

// StaleLookError is evidence that was meant for another state: doubled, overtaken or of an old leader.
type StaleLookError struct{ Current, Base uint64 }

func (e *StaleLookError) Error() string {
	return fmt.Sprintf("turns: a look after %d refused: there were %d; nothing is to be done unless it goes on, then look at who leads the council", e.Base, e.Current)
}

// StaleFenceError is a word under a number that is not in force.
type StaleFenceError struct {
	Host         string
	Got, Current uint64 // 0 is none
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("turns: host %s: fencing number %d is void, %d is in force; the node asks anew by itself", e.Host, e.Got, e.Current)
}

// OrderError is a word or order that does not fit how far a turn is.
type OrderError struct {
	Host       string
	Operation  string
	Stage      Stage
	Phase      Phase
	WrongPhase bool // Phase is why
}

func (e *OrderError) Error() string {
	if e.WrongPhase {
		return fmt.Sprintf("turns: host %s: no %s while it is seen %v; end its process first, or wait until it has returned", e.Host, e.Operation, e.Phase)
	}
	return fmt.Sprintf("turns: host %s: no %s while its turn is %v; look at turns status", e.Host, e.Operation, e.Stage)
}

// UnknownHostError is a host that the plan or the fleet does not have.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string {
	return fmt.Sprintf("turns: host %s: neither plan nor fleet has work for it; if it came back under a new name, adopt that name", e.Host)
}

// NameTakenError is a name that two hosts use.
type NameTakenError struct{ Host, Name, UsedBy string }

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("turns: host %s: the name %s is in use by host %s; start it under its own name", e.Host, e.Name, e.UsedBy)
}

// HaltedError is a step out while all is halted.
type HaltedError struct{ Reason string }

func (e *HaltedError) Error() string {
	return fmt.Sprintf("turns: halted: %s; turns resume goes on by hand", e.Reason)
}

// BoundError is a bound that keeps a machine in.
type BoundError struct {
	Host        string
	Bound       Bound
	Scope       string
	Unavailable uint64 // with the machine
	Max         uint64
}

func (e *BoundError) Error() string {
	if e.Max == 0 && e.Unavailable == 0 {
		return fmt.Sprintf("turns: host %s: kept in by its %v, %s; it goes when that allows it", e.Host, e.Bound, e.Scope)
	}
	return fmt.Sprintf("turns: host %s: kept in by the bound on %v, %s: %d away of %d at most; wait for others, or widen the bound in the plan", e.Host, e.Bound, e.Scope, e.Unavailable, e.Max)
}
