package subset

import "fmt"

// ConfigError reports a value of a Config that is out of its range.
type ConfigError struct {
	Key             string
	Value, Min, Max int
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("server subset: %s: %d is not in %d to %d; correct it in the configuration", e.Key, e.Value, e.Min, e.Max)
}

// TooManyError reports a list or a delta that exceeds a limit.
type TooManyError struct {
	What       string // servers, entries or zones
	Count, Max int
}

func (e *TooManyError) Error() string {
	return fmt.Sprintf("server list: %d %s, at most %d are accepted; list fewer, or raise the node's limit", e.Count, e.What, e.Max)
}

// EntryError reports an entry of a list or a delta that cannot be used.
type EntryError struct {
	Number int    // number of the entry in its message, from 1
	ID     string // ID of the server, cut to 64 bytes
	Field  string // empty if the entry as a whole is invalid
	Reason string
}

func (e *EntryError) Error() string {
	where := fmt.Sprintf("entry %d (ID %q)", e.Number, e.ID)
	if e.Field != "" {
		where += ": " + e.Field
	}
	return fmt.Sprintf("server list: %s: %s; correct the entry at discovery", where, e.Reason)
}

// ListUsedError reports the use of a List that has already replaced a set's list.
type ListUsedError struct{}

func (*ListUsedError) Error() string {
	return "server list: this list has been used already; stage a new one"
}

// maxShownIDBytes is the length in bytes to which an ID is cut in an error.
const maxShownIDBytes = 64

func newEntryError(number int, id, field, reason string) *EntryError {
	if len(id) > maxShownIDBytes {
		id = id[:maxShownIDBytes]
	}
	return &EntryError{Number: number, ID: id, Field: field, Reason: reason}
}
