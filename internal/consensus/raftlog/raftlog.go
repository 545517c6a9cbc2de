// Package raftlog stores the persistent state of a voter of the consensus group: its identity, its term and vote, its
// log and its latest snapshot. A Log implements the stores of the raft library on one directory, which Open locks.
//
// The metadata, the snapshot and each log entry have checksums. If any file is missing or corrupt, Open moves the whole
// content of the directory to a subdirectory (it quarantines it) and starts an empty log with a new identity. The group
// has to admit this identity before it votes, because the voter has lost state that it had acknowledged.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/raft"

	"sloestile/internal/oneline"
	"sloestile/internal/store/disk"
)

const (
	lockName      = "lock"
	quarantineDir = "spoilt"    // subdirectory for quarantined files; its earlier content is replaced
	maxDirEntries = 4096        // names that quarantine reads of a directory
	stallTimeout  = time.Second // duration of a write from which the disk counts as stalled
)

// CorruptError means that a file of the log is missing or corrupt.
type CorruptError struct {
	File string // name of the file in the directory
	Err  error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("council's log: %s is corrupt: %s; check the disk, the voter requests admission again by itself", e.File, oneline.Of(e.Err))
}

func (e *CorruptError) Unwrap() error { return e.Err }

// InUseError means that another process uses the directory.
type InUseError struct{ Dir string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("council's log: %s: another process uses it; stop that process, or give this node a folder of its own", e.Dir)
}

// Log is the persistent state of a voter: its log, term, vote and snapshot. After a failed write, or when an entry or
// the snapshot turns out to be corrupt, the log has failed and accepts no more writes: its owner has to stop the voter
// and open the directory again. A Log is safe for concurrent use.
type Log struct {
	Identity    string // random identity of the state on this disk; a new one replaces it when the state is lost
	NewIdentity bool   // whether this call of Open created the identity
	Empty       bool   // whether there was neither an entry nor a snapshot when the log was opened

	entries   *entryFile
	metadata  *metadata
	snapshots *snapshotStore
	lock      *os.File
	onStall   func(stalled bool)    // see OnStall; nil if not set
	failed    chan struct{}         // closed when the log has failed
	failure   atomic.Pointer[error] // reason of the failure; nil if the log has not failed
	hasFailed atomic.Bool
}

// Open opens the log in the directory of a node, and creates both if they do not exist. If the stored state is corrupt,
// it is quarantined and l is an empty log with a new identity; corrupt is then the reason, a *CorruptError. If another
// process uses the directory, err is an *InUseError.
func Open(d disk.FS, dir, node string) (l *Log, corrupt, err error) {
	if err := d.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("council's log: %w", err)
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, nil, err
	}
	l, err = open(d, dir, node)
	if _, ok := errors.AsType[*CorruptError](err); ok {
		corrupt = err
		if err = quarantine(d, dir); err == nil {
			l, err = open(d, dir, node)
		}
	}
	if err != nil {
		_ = lock.Close() // releases the directory
		return nil, corrupt, fmt.Errorf("council's log %s: %w", dir, err)
	}
	l.lock = lock
	return l, corrupt, nil
}

// lockDir locks the directory against other processes. It does not wait for the lock.
func lockDir(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("council's log: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was locked
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &InUseError{Dir: dir}
		}
		return nil, fmt.Errorf("council's log: locking the directory: %w", err)
	}
	return lock, nil
}

// open opens the files of a locked directory, and creates them if the directory is empty.
func open(d disk.FS, dir, node string) (*Log, error) {
	m, created, err := openMetadata(d, dir, node)
	if err != nil {
		return nil, err
	}
	l := &Log{Identity: m.Identity, NewIdentity: created, metadata: m, failed: make(chan struct{})}
	if l.snapshots, err = openSnapshotStore(d, dir, l); err != nil {
		return nil, err
	}
	if l.entries, err = openEntryFile(d, dir); err != nil {
		return nil, err
	}
	first, last := l.entries.indexRange()
	snapshotEnd := uint64(0)
	if l.snapshots.latest != nil {
		snapshotEnd = l.snapshots.latest.Index
	}
	if last > 0 && first > snapshotEnd+1 {
		_ = l.entries.close() // nothing was written
		return nil, &CorruptError{File: logName, Err: fmt.Errorf("it begins with entry %d, the snapshot ends with entry %d", first, snapshotEnd)}
	}
	l.Empty = last == 0 && snapshotEnd == 0
	return l, nil
}

// quarantine moves everything in the directory except its lock to quarantineDir, and removes what was there before.
func quarantine(d disk.FS, dir string) error {
	target := filepath.Join(dir, quarantineDir)
	if err := d.MkdirAll(target); err != nil {
		return err
	}
	oldNames, err := d.ReadDirNames(target, maxDirEntries)
	if err != nil {
		return err
	}
	for _, name := range oldNames {
		if err := d.Remove(filepath.Join(target, name)); err != nil {
			return err
		}
	}
	names, err := d.ReadDirNames(dir, maxDirEntries)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == lockName || name == quarantineDir {
			continue
		}
		if err := d.Rename(filepath.Join(dir, name), filepath.Join(target, name)); err != nil {
			return err
		}
	}
	return d.SyncDir(dir)
}

// RenewIdentity closes the log and quarantines the stored state. The next call of Open creates an empty log with a new
// identity.
func (l *Log) RenewIdentity() error {
	d, dir := l.metadata.disk, l.metadata.dir
	return errors.Join(l.entries.close(), quarantine(d, dir), l.lock.Close())
}

// Close closes the log and releases the directory for other processes.
func (l *Log) Close() error { return errors.Join(l.entries.close(), l.lock.Close()) }

// Failed returns a channel that is closed when the log has failed. Err returns the reason.
func (l *Log) Failed() <-chan struct{} { return l.failed }

// Err returns the reason why the log has failed, or nil if it has not.
func (l *Log) Err() error {
	if failure := l.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// OnStall sets a function that is called with true when a write has taken stallTimeout, and with false when that write
// has ended. It must be set before the first write. Nil disables it.
func (l *Log) OnStall(callback func(stalled bool)) { l.onStall = callback }

// fail marks the log as failed, unless it already is, and returns err.
func (l *Log) fail(err error) error {
	if !l.hasFailed.Swap(true) {
		l.failure.Store(&err)
		close(l.failed)
		slog.Error("consensus: log failed", "error", err)
	}
	return err
}

// write runs a write and reports a stall to onStall. If the write fails, the log has failed.
func (l *Log) write(run func() error) error {
	if err := l.Err(); err != nil {
		return err
	}
	if l.onStall != nil {
		stallTimer := time.AfterFunc(stallTimeout, func() { l.onStall(true) })
		defer func() {
			if !stallTimer.Stop() {
				l.onStall(false)
			}
		}()
	}
	if err := run(); err != nil {
		return l.fail(err)
	}
	return nil
}

// Configuration returns the latest configuration of the group in the log or the snapshot, and its index. The index is 0
// if there is none.
func (l *Log) Configuration() (c raft.Configuration, index uint64, err error) {
	first, last := l.entries.indexRange()
	for i := last; i >= first && i > 0; i-- {
		var r raft.Log
		if err := l.entries.get(i, &r); err != nil {
			return c, 0, err
		}
		if r.Type == raft.LogConfiguration {
			return raft.DecodeConfiguration(r.Data), i, nil
		}
	}
	if s := l.snapshots.latest; s != nil {
		return s.Configuration, s.ConfigurationIndex, nil
	}
	return c, 0, nil
}

// LastPosition returns term and index of the last entry, or those of the snapshot if it is later. They are 0 if there
// is neither.
func (l *Log) LastPosition() (term, index uint64, err error) {
	if s := l.snapshots.latest; s != nil {
		term = s.Term
		index = s.Index
	}
	_, last := l.entries.indexRange()
	if last <= index {
		return term, index, nil
	}
	var r raft.Log
	if err := l.entries.get(last, &r); err != nil {
		return 0, 0, err
	}
	return r.Term, r.Index, nil
}

// Keys under which the raft library stores the term and the vote.
const (
	KeyTerm          = "CurrentTerm"
	KeyVoteTerm      = "LastVoteTerm"
	KeyVoteCandidate = "LastVoteCand"
)

// Term returns the current term and the last term in which this voter voted; 0 means none.
func (l *Log) Term() (term, votedTerm uint64, err error) {
	if term, err = l.GetUint64([]byte(KeyTerm)); err == nil {
		votedTerm, err = l.GetUint64([]byte(KeyVoteTerm))
	}
	return term, votedTerm, err
}

// ForbidVotesThrough prevents this voter from casting another vote in any term up to and including the given one. It
// raises the current term to that term and stores a vote for a candidate that does not exist.
func (l *Log) ForbidVotesThrough(term uint64) error {
	currentTerm, votedTerm, err := l.Term()
	if err == nil && currentTerm < term {
		err = l.SetUint64([]byte(KeyTerm), term)
	}
	if err == nil && votedTerm < term {
		// The candidate is stored first: the new term with the candidate of the earlier vote would be a vote for that
		// candidate.
		if err = l.Set([]byte(KeyVoteCandidate), []byte("nobody")); err == nil {
			err = l.SetUint64([]byte(KeyVoteTerm), term)
		}
	}
	return err
}

// The methods below implement the stores of the raft library.

var (
	_ raft.LogStore          = (*Log)(nil)
	_ raft.MonotonicLogStore = (*Log)(nil)
	_ raft.StableStore       = (*Log)(nil)
)

// IsMonotonic returns true: the indexes of the entries have no gaps.
func (l *Log) IsMonotonic() bool { return true }

// FirstIndex returns the index of the first entry, or 0 if the log is empty.
func (l *Log) FirstIndex() (uint64, error) {
	first, _ := l.entries.indexRange()
	return first, nil
}

// LastIndex returns the index of the last entry, or 0 if the log is empty.
func (l *Log) LastIndex() (uint64, error) {
	_, last := l.entries.indexRange()
	return last, nil
}

// Size returns the size of the log's file in bytes.
func (l *Log) Size() int64 { return l.entries.size() }

// GetLog reads an entry. If the log does not have it, the error is raft.ErrLogNotFound. Any other failure marks the log
// as failed and ends the calling goroutine.
func (l *Log) GetLog(index uint64, entry *raft.Log) error {
	err := l.entries.get(index, entry)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	_ = l.fail(err) // returns err itself
	// The library panics when it cannot read an entry. This ends only its calling goroutine, after its deferred calls;
	// the log's owner then stops the rest of the library.
	runtime.Goexit()
	return err
}

// StoreLog appends an entry; it is durable when the method returns nil.
func (l *Log) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs appends entries; they are durable when the method returns nil.
func (l *Log) StoreLogs(entries []*raft.Log) error {
	return l.write(func() error { return l.entries.append(entries) })
}

// DeleteRange deletes the entries from one index to another, both included. They must be at the beginning or the end of
// the log.
func (l *Log) DeleteRange(from, to uint64) error {
	return l.write(func() error { return l.entries.deleteRange(from, to) })
}

// Set stores a value under a key; it is durable when the method returns nil.
func (l *Log) Set(key, value []byte) error {
	return l.write(func() error { return l.metadata.set(key, value) })
}

// Get returns the value of a key, or an empty one if there is none.
func (l *Log) Get(key []byte) ([]byte, error) { return l.metadata.get(key), nil }

// SetUint64 stores a number under a key. If storing the current term fails, it ends the calling goroutine.
func (l *Log) SetUint64(key []byte, value uint64) error {
	err := l.Set(key, binary.BigEndian.AppendUint64(nil, value))
	if err != nil && string(key) == KeyTerm {
		runtime.Goexit() // as in GetLog: the library panics when it cannot store its term
	}
	return err
}

// GetUint64 returns the number of a key, or 0 if there is none.
func (l *Log) GetUint64(key []byte) (uint64, error) {
	switch raw := l.metadata.get(key); len(raw) {
	case 0:
		return 0, nil
	case 8:
		return binary.BigEndian.Uint64(raw), nil
	default:
		return 0, fmt.Errorf("council's log: the value of %s is not a number", key)
	}
}
