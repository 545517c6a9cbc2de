package rules

import (
	"fmt"

	"sloestile/internal/oneline"
)

// TooLargeError reports a size or number above its limit.
type TooLargeError struct {
	Quantity   string // what is measured or counted, such as "bytes of a message"
	Value, Max int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d are allowed; make it smaller", e.Quantity, e.Value, e.Max)
}

// DocumentError reports why a text is not a valid rule set.
type DocumentError struct {
	Line   int // 0 if not known
	Key    string
	Reason string
}

func (e *DocumentError) Error() string {
	where := e.Key
	if e.Line > 0 {
		where = fmt.Sprintf("line %d: %s", e.Line, e.Key)
	}
	return fmt.Sprintf("rule set: %s: %s; correct the text and publish it again", where, e.Reason)
}

// UnknownNameError reports a name in a rule set that the node's settings do not have.
type UnknownNameError struct {
	Kind string // plan, class or zone
	Name string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("rule set: %s %s is not in this node's settings; publish a text without it, or update the node's settings", e.Kind, e.Name)
}

// LooserError reports a limit of a rule set that allows more than the node's settings do.
type LooserError struct {
	Key        string
	Value, Max int
}

func (e *LooserError) Error() string {
	return fmt.Sprintf("rule set: %s: %d is looser than the %d of this node's settings; publish a text with %d or less", e.Key, e.Value, e.Max, e.Max)
}

// AllClosedError reports a rule set that closes every zone in the node's settings.
type AllClosedError struct{ Zones []string }

func (e *AllClosedError) Error() string {
	return fmt.Sprintf("rule set: zones: all of %v are closed; publish a text that leaves at least one open", e.Zones)
}

// StaleVersionError reports a command that was issued for an older state of the registry: a publication or rollback
// whose parent is not the newest version, or an activation of a version that is not newer than the active one.
type StaleVersionError struct {
	Current uint64 // newest version, or the active one for an activation
	Given   uint64 // version that the command names
}

func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("registry: the command names version %d, but the registry is at version %d; read the status and decide again", e.Given, e.Current)
}

// NoVersionError reports a version number that does not exist, or whose record or text is no longer kept.
type NoVersionError struct {
	Number      uint64
	TextDropped bool // the version is known, but its text is no longer kept
}

func (e *NoVersionError) Error() string {
	if e.TextDropped {
		return fmt.Sprintf("registry: the text of version %d is no longer kept; publish the text again", e.Number)
	}
	return fmt.Sprintf("registry: there is no version %d; read the status for the existing ones", e.Number)
}

// OrderError reports an activation that would break the order of version numbers.
type OrderError struct {
	Number    uint64 // version to activate
	Scheduled uint64 // scheduled version that would be activated out of order
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("registry: version %d can't be activated out of order with version %d, which is awaited; cancel that one first", e.Number, e.Scheduled)
}

// PhaseError reports a step that the current phase of an activation does not allow.
type PhaseError struct {
	Step     string // preparing, activating or cancelling
	Number   uint64
	Prepared uint64 // number of the prepared version; 0 if there is none
}

func (e *PhaseError) Error() string {
	return fmt.Sprintf("registry: %s version %d is not possible now (prepared version: %d, 0 for none); nothing has changed, read the status", e.Step, e.Number, e.Prepared)
}

// CorruptError reports bytes that do not decode to a valid command, snapshot or message.
type CorruptError struct {
	Object string // command, snapshot or message
	Err    error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s; drop it, and if it happens again look for a node with another program version or a faulty disk", e.Object, oneline.Of(e.Err))
}

func (e *CorruptError) Unwrap() error { return e.Err }
