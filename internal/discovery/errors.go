package discovery

import (
	"fmt"
	"time"

	"sloestile/internal/oneline"
)

// ListError reports that a whole message from discovery was dropped. It occurs only if a subset of the list is used.
// The previous list stays in use. Err states the reason.
type ListError struct {
	Address string // host:port of discovery
	Entries int    // number of entries read before the message was dropped
	Err     error
}

func (e *ListError) Error() string {
	return fmt.Sprintf("discovery %s: a message was dropped after %d entries: %s; correct it at discovery, until then the previous list stays in use",
		e.Address, e.Entries, oneline.Of(e.Err))
}

func (e *ListError) Unwrap() error { return e.Err }

// EntrySizeError reports an entry, or another part of a message, of more than MaxBytes.
type EntrySizeError struct{ MaxBytes int }

func (e *EntrySizeError) Error() string {
	return fmt.Sprintf("server list: the next entry exceeds %d bytes; shorten it at discovery", e.MaxBytes)
}

// TruncatedError reports a connection that ended within a message.
type TruncatedError struct{ Err error }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("server list: the connection ended within a message: %s; check discovery and the network link to it", oneline.Of(e.Err))
}

func (e *TruncatedError) Unwrap() error { return e.Err }

// StalledError reports a message that made too little progress or took too long.
type StalledError struct {
	MinBytes int           // bytes that must arrive within each Interval until the message is complete
	Interval time.Duration // progress deadline within a message
	Timeout  time.Duration // maximum time for the whole message
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("server list: a message brought less than %d bytes in %v or was not complete within %v; check discovery's load and the network link to it",
		e.MinBytes, e.Interval, e.Timeout)
}

// MalformedError reports a message that does not have the format of a server list.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("server list: malformed message: %s; correct the message at discovery", oneline.Of(e.Err))
}

func (e *MalformedError) Unwrap() error { return e.Err }

// VersionError reports a delta whose revision Got is older than the revision Have of the cached list. The watch then
// requests the complete list.
type VersionError struct{ Have, Got int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("discovery: revision went back to %d from %d; check whether discovery was restarted", e.Got, e.Have)
}

// PartialError reports a delta of revision Rev that arrived before the complete list, while only a subset of the list
// is cached.
type PartialError struct{ Rev int64 }

func (e *PartialError) Error() string {
	return fmt.Sprintf("discovery: changes of revision %d arrived before the whole list; check whether discovery answers calls without from= with the whole list", e.Rev)
}
