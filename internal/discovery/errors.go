package discovery

import (
	"fmt"
	"time"

	"sloestile/internal/oneline"
)

// ListError reports a message of discovery that was dropped whole, where a subset of the list is used. The
// list before stays in use. Err says why and what to do.
type ListError struct {
	Address string // of discovery
	Entries int    // read before the message was dropped
	Err     error
}

func (e *ListError) Error() string {
	return fmt.Sprintf("discovery %s: a message was dropped after %d entries: %s; correct it at discovery, until then the list before stays in use",
		e.Address, e.Entries, oneline.Of(e.Err))
}

func (e *ListError) Unwrap() error { return e.Err }

// EntrySizeError reports an entry, or another part of a message, that is larger than it may be.
type EntrySizeError struct{ MaxBytes int } // bytes

func (e *EntrySizeError) Error() string {
	return fmt.Sprintf("server list: the next entry has over %d bytes; shorten it at discovery", e.MaxBytes)
}

// TruncatedError reports a connection that ended within a message.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("server list: the connection ended within the message: %s; look at discovery and the link to it", oneline.Of(e.Err))
}

func (e *TruncatedError) Unwrap() error { return e.Err }

// StalledError reports a message that made too little progress or took too long.
type StalledError struct {
	MinBytes int           // that a message brings at least in Each until it is complete
	Interval time.Duration // the watch progress deadline within a message
	Timeout  time.Duration // for the whole message
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("server list: it brought less than %d bytes in %v or was not complete within %v; look at discovery's load and the link to it",
		e.MinBytes, e.Interval, e.Timeout)
}

// MalformedError reports a message that is not of the list's form.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("server list: not of its form: %s; correct the message at discovery", oneline.Of(e.Err))
}

func (e *MalformedError) Unwrap() error { return e.Err }

// VersionError reports changes of an older version than the list that is held. The whole list is asked for next.
type VersionError struct{ Have, Got int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("discovery: version went back to %d from %d; look whether discovery was restarted", e.Got, e.Have)
}

// PartialError reports changes that came before the whole list, where only a part of it is held.
type PartialError struct{ Rev int64 }

func (e *PartialError) Error() string {
	return fmt.Sprintf("discovery: changes of version %d came before the whole list; look whether discovery answers calls without from=", e.Rev)
}
