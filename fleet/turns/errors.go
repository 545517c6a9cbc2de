package turns

import "fmt"

// PlanError is a work plan that can't be followed.
type PlanError struct {
	Key  string // of the plan
	Host string // where one is at fault
	Why  string
	Do   string // what an operator can do
}

func (e *PlanError) Error() string {
	if e.Host != "" {
		return fmt.Sprintf("work plan: %s: host %s: %s; %s", e.Key, e.Host, e.Why, e.Do)
	}
	return fmt.Sprintf("work plan: %s: %s; %s", e.Key, e.Why, e.Do)
}

// SpoiltError is a command, message or snapshot that can't be read, or holds what can't be.
type SpoiltError struct {
	What string
	Why  string
	Do   string
}

func (e *SpoiltError) Error() string {
	return fmt.Sprintf("turns: %s refused: %s; %s", e.What, e.Why, e.Do)
}

func spoilt(what, why string, values ...any) error {
	return &SpoiltError{what, fmt.Sprintf(why, values...), "look for a node of another version, or a spoilt disk"}
}
