package rules

import (
	"fmt"

	"sloestile/internal/oneline"
)

// TooLargeError is something beyond the bytes or the number that it may have.
type TooLargeError struct {
	Quantity   string
	Value, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d; make it smaller", e.Quantity, e.Value, e.Max)
}

// DocumentError says why a text is not a rule set.
type DocumentError struct {
	Line   int // 0 is not known
	Key    string
	Reason string
}

func (e *DocumentError) Error() string {
	where := e.Key
	if e.Line > 0 {
		where = fmt.Sprintf("line %d: %s", e.Line, e.Key)
	}
	return fmt.Sprintf("rule set: %s: %s; mend the text and publish it again", where, e.Reason)
}

// UnknownNameError is a name in a rule set that a node's settings do not have.
type UnknownNameError struct {
	Kind string // plan, class or zone
	Name string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("rule set: %s %s is not in this node's settings; publish a text without it, or give the node newer settings", e.Kind, e.Name)
}

// LooserError is a limit of a rule set that allows more than a node's settings do.
type LooserError struct {
	Key        string
	Value, Max int
}

func (e *LooserError) Error() string {
	return fmt.Sprintf("rule set: %s: %d is looser than the %d of this node's settings; publish a text with %d or less", e.Key, e.Value, e.Max, e.Max)
}

// AllClosedError is a rule set that closes each zone that a node knows.
type AllClosedError struct{ Zones []string }

func (e *AllClosedError) Error() string {
	return fmt.Sprintf("rule set: zones: all of %v are closed; publish a text that leaves one open", e.Zones)
}

// StaleVersionError is a command for another state of the registry: a publication
// whose parent is not the newest version, or an activation of a number that others have passed.
type StaleVersionError struct {
	Current uint64 // what the registry has
	Given   uint64 // what the command goes by
}

func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("registry: the command goes by version %d, the registry has %d; read the status and decide anew", e.Given, e.Current)
}

// NoVersionError is a number of no version, or of one whose text is no longer kept.
type NoVersionError struct {
	Number      uint64
	TextDropped bool // the number is known, its text is gone
}

func (e *NoVersionError) Error() string {
	if e.TextDropped {
		return fmt.Sprintf("registry: the text of version %d is not kept any more; publish it anew", e.Number)
	}
	return fmt.Sprintf("registry: there is no version %d; read the status for those there are", e.Number)
}

// OrderError is an activation that would not come in the order of the numbers.
type OrderError struct {
	Number, Scheduled uint64 // Other is scheduled, and would come on the wrong side
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("registry: version %d can't be activated across version %d, which is awaited; cancel that one first", e.Number, e.Scheduled)
}

// PhaseError is a step of an activation out of its order.
type PhaseError struct {
	Step     string
	Number   uint64
	Prepared uint64 // 0 is none
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("registry: %s of version %d while version %d is prepared; nothing has changed, read the status", e.Step, e.Number, e.Prepared)
}

// CorruptError is bytes that are no command, snapshot or message.
type CorruptError struct {
	Object string
	Err    error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s; drop it, and look for a node of another version or a faulty disk if it comes again", e.Object, oneline.Of(e.Err))
}

func (e *CorruptError) Unwrap() error { return e.Err }
