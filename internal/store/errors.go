package store

import (
	"fmt"
	"time"

	"sloestile/internal/oneline"
)

// A node whose state can't be used starts without one. Each error's text says what failed, where, and after the last
// semicolon what an operator can do.

// CorruptError is a state that is not as it was written.
type CorruptError struct {
	File string
	Err  error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("state %s: corrupt: %s; check the disk and its log, the node starts without a state", e.File, oneline.Of(e.Err))
}

func (e *CorruptError) Unwrap() error { return e.Err }

// VersionError is a state in the format of another version of the program.
type VersionError struct {
	File       string
	Have, Want int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("state %s: format %d, not %d; to use it run the version of the program that wrote it", e.File, e.Have, e.Want)
}

// OwnerError is a state of another node.
type OwnerError struct {
	File       string
	Have, Want string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("state %s: it belongs to node %q, not %q; give each node a folder of its own", e.File, e.Have, e.Want)
}

// ReadError is a state that the disk does not return.
type ReadError struct {
	File string
	Err  error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("state %s: reading failed: %s; check the disk and its log, the node starts without a state", e.File, oneline.Of(e.Err))
}

func (e *ReadError) Unwrap() error { return e.Err }

// QuarantineError is a state that can't be used and could not be moved aside: the next one that is written
// replaces it.
type QuarantineError struct {
	File   string
	Reason error // it can't be used
	Err    error
}

func (e *QuarantineError) Error() string {
	return fmt.Sprintf("state %s: moving it aside failed: %s (it is unusable: %s); make the folder writable", e.File, oneline.Of(e.Err), oneline.Of(e.Reason))
}

func (e *QuarantineError) Unwrap() []error { return []error{e.Reason, e.Err} }

// InUseError is a folder that another process uses.
type InUseError struct{ Dir string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("state folder %s: another process uses it; wait for its end, or give each node a folder of its own", e.Dir)
}

// FolderError is a folder that can't be made or opened.
type FolderError struct {
	Dir string
	Err error
}

func (e *FolderError) Error() string {
	return fmt.Sprintf("state folder %s: %s; make it writable for the node, then start again", e.Dir, oneline.Of(e.Err))
}

func (e *FolderError) Unwrap() error { return e.Err }

// WriteError is a state that was not written; the disk holds the one before, or this one.
type WriteError struct {
	File string
	Err  error
}

func (e *WriteError) Error() string {
	return fmt.Sprintf("state %s: writing failed: %s; see that the disk has room and is writable", e.File, oneline.Of(e.Err))
}

func (e *WriteError) Unwrap() error { return e.Err }

// SizeError is a state with more in it than may be written.
type SizeError struct {
	File, What string
	Have, Max  int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("state %s: %d %s are over %d; spread the tenants over more nodes, or lower memory_mb", e.File, e.Have, e.What, e.Max)
}

// StalledError is a disk that did not take the last state in time.
type StalledError struct {
	Dir     string
	Timeout time.Duration
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("state folder %s: the disk stalled for %v; check the disk, what was granted since the last state is forgotten", e.Dir, e.Timeout)
}
