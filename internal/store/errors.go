package store

import (
	"fmt"
	"time"

	"sloestile/internal/oneline"
)

// A node whose stored state is unusable starts without it. The text of each error states the file or directory, what
// failed, and after the last semicolon what an operator can do.

// CorruptError means that the state file is corrupt.
type CorruptError struct {
	File string
	Err  error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("state %s: corrupt: %s; check the disk and its log, the node starts without a state", e.File, oneline.Of(e.Err))
}

func (e *CorruptError) Unwrap() error { return e.Err }

// VersionError means that the state file has the format of another version of the program.
type VersionError struct {
	File       string
	Have, Want int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("state %s: format %d, not %d; to use it run the version of the program that wrote it", e.File, e.Have, e.Want)
}

// OwnerError means that the state belongs to another node.
type OwnerError struct {
	File       string
	Have, Want string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("state %s: it belongs to node %q, not %q; give each node a folder of its own", e.File, e.Have, e.Want)
}

// ReadError means that the state file could not be read from the disk.
type ReadError struct {
	File string
	Err  error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("state %s: reading failed: %s; check the disk and its log, the node starts without a state", e.File, oneline.Of(e.Err))
}

func (e *ReadError) Unwrap() error { return e.Err }

// QuarantineError means that an unusable state file could not be renamed. The next state replaces it.
type QuarantineError struct {
	File   string
	Reason error // reason why the state is unusable
	Err    error // error of the quarantine
}

func (e *QuarantineError) Error() string {
	return fmt.Sprintf("state %s: moving it aside failed: %s (it is unusable: %s); make the folder writable", e.File, oneline.Of(e.Err), oneline.Of(e.Reason))
}

func (e *QuarantineError) Unwrap() []error { return []error{e.Reason, e.Err} }

// InUseError means that another process uses the directory.
type InUseError struct{ Dir string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("state folder %s: another process uses it; wait until that process ends, or give each node a folder of its own", e.Dir)
}

// FolderError means that the directory could not be created or locked.
type FolderError struct {
	Dir string
	Err error
}

func (e *FolderError) Error() string {
	return fmt.Sprintf("state folder %s: %s; make it writable for the node, then start again", e.Dir, oneline.Of(e.Err))
}

func (e *FolderError) Unwrap() error { return e.Err }

// WriteError means that a state was not written completely. The disk has the previous state or this one.
type WriteError struct {
	File string
	Err  error
}

func (e *WriteError) Error() string {
	return fmt.Sprintf("state %s: writing failed: %s; check that the disk has free space and is writable", e.File, oneline.Of(e.Err))
}

func (e *WriteError) Unwrap() error { return e.Err }

// SizeError means that a state was not written because it exceeds a limit.
type SizeError struct {
	File, What string // What is the unit of Have and Max
	Have, Max  int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("state %s: %d %s exceed the limit of %d; spread the tenants over more nodes, or lower memory_mb", e.File, e.Have, e.What, e.Max)
}

// StalledError means that the last state was not written within the timeout.
type StalledError struct {
	Dir     string
	Timeout time.Duration
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("state folder %s: the disk stalled for %v; check the disk, requests granted since the last state are not recorded", e.Dir, e.Timeout)
}
