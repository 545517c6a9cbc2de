// Package raftlog persists what a voter of the consensus group has agreed to: its identity, its term and vote, its log and
// its last snapshot. Every record has a checksum of its own. A folder in which anything can't be read as it was written is
// moved aside whole (quarantined), and the voter begins with another identity: it has to be admitted anew.
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
	quarantineDir = "spoilt" // what could not be read; what is there already is replaced
	maxFiles      = 4096     // of a folder that are looked at
	stallTimeout  = time.Second
)

// CorruptError is a file of the log that is not as it was written.
type CorruptError struct {
	File string
	Err  error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("council's log: %s is corrupt: %s; check the disk, the voter is admitted anew by itself", e.File, oneline.Of(e.Err))
}

func (e *CorruptError) Unwrap() error { return e.Err }

// InUseError is a folder that another process uses.
type InUseError struct{ Dir string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("council's log: %s: another process uses it; end that one, or give this node a folder of its own", e.Dir)
}

// Log is a voter's log, term, vote and snapshot. Once a write has failed, or a record was not as it was written, it has
// failed for good: its owner must end its part in the group and open it again. It is safe for concurrent use.
type Log struct {
	Identity    string // of what is on this disk; another one once that is lost
	NewIdentity bool   // the identity was made by this opening
	Empty       bool   // there is neither log nor snapshot: the voter has agreed to nothing

	records   *records
	meta      *meta
	snapshots *snapshotStore
	lock      *os.File
	onStall   func(stalled bool) // is called when a write takes long, and when it has ended
	failed    chan struct{}      // closed once it has failed
	failure   atomic.Pointer[error]
	hasFailed atomic.Bool
}

// Open opens a folder of a node. What is corrupt there is moved aside and the second result says why; the log is a new one
// then.
func Open(d disk.FS, dir, node string) (l *Log, corrupt, err error) {
	if err := d.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("council's log: %w", err)
	}
	lock, err := takeLock(dir)
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
		_ = lock.Close() // releases the folder
		return nil, corrupt, fmt.Errorf("council's log %s: %w", dir, err)
	}
	l.lock = lock
	return l, corrupt, nil
}

// takeLock keeps a second process out. It does not wait.
func takeLock(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("council's log: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was locked
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &InUseError{Dir: dir}
		}
		return nil, fmt.Errorf("council's log: %w", err)
	}
	return lock, nil
}

func open(d disk.FS, dir, node string) (*Log, error) {
	m, isNew, err := readMeta(d, dir, node)
	if err != nil {
		return nil, err
	}
	l := &Log{Identity: m.Identity, NewIdentity: isNew, meta: m, failed: make(chan struct{})}
	if l.snapshots, err = openSnapshots(d, dir, l); err != nil {
		return nil, err
	}
	if l.records, err = openRecords(d, dir); err != nil {
		return nil, err
	}
	first, last := l.records.bounds()
	snapshotEnd := uint64(0)
	if l.snapshots.last != nil {
		snapshotEnd = l.snapshots.last.Index
	}
	if last > 0 && first > snapshotEnd+1 {
		_ = l.records.close() // nothing was written
		return nil, &CorruptError{File: logName, Err: fmt.Errorf("it begins with %d, the snapshot ends with %d", first, snapshotEnd)}
	}
	l.Empty = last == 0 && snapshotEnd == 0
	return l, nil
}

// quarantine moves all of a folder but its lock into a folder in it, in place of what was there before.
func quarantine(d disk.FS, dir string) error {
	target := filepath.Join(dir, quarantineDir)
	if err := d.MkdirAll(target); err != nil {
		return err
	}
	old, err := d.ReadDirNames(target, maxFiles)
	if err != nil {
		return err
	}
	for _, name := range old {
		if err := d.Remove(filepath.Join(target, name)); err != nil {
			return err
		}
	}
	names, err := d.ReadDirNames(dir, maxFiles)
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

// RenewIdentity moves everything aside and leaves the folder to be opened anew, with another identity. It closes the log.
func (l *Log) RenewIdentity() error {
	d, dir := l.meta.disk, l.meta.dir
	return errors.Join(l.records.close(), quarantine(d, dir), l.lock.Close())
}

// Close releases the folder for another process.
func (l *Log) Close() error { return errors.Join(l.records.close(), l.lock.Close()) }

// Failed is closed once the log has failed; Err says why.
func (l *Log) Failed() <-chan struct{} { return l.failed }

// Err returns why the log has failed; nil is that it has not.
func (l *Log) Err() error {
	if p := l.failure.Load(); p != nil {
		return *p
	}
	return nil
}

// OnStall has a function called when a write has taken stallTimeout, and when that one has ended. It must be set before the
// log is written to.
func (l *Log) OnStall(call func(stalled bool)) { l.onStall = call }

// fail ends the use of the log.
func (l *Log) fail(err error) error {
	if !l.hasFailed.Swap(true) {
		l.failure.Store(&err)
		close(l.failed)
		slog.Error("consensus: the log has failed", "error", err)
	}
	return err
}

// write runs a write; one that fails ends the use of the log.
func (l *Log) write(run func() error) error {
	if err := l.Err(); err != nil {
		return err
	}
	if l.onStall != nil {
		late := time.AfterFunc(stallTimeout, func() { l.onStall(true) })
		defer func() {
			if !late.Stop() {
				l.onStall(false)
			}
		}()
	}
	if err := run(); err != nil {
		return l.fail(err)
	}
	return nil
}

// Configuration returns the voters that the log names last, and the index at which it does.
func (l *Log) Configuration() (c raft.Configuration, index uint64, err error) {
	first, last := l.records.bounds()
	for i := last; i >= first && i > 0; i-- {
		var r raft.Log
		if err := l.records.get(i, &r); err != nil {
			return c, 0, err
		}
		if r.Type == raft.LogConfiguration {
			return raft.DecodeConfiguration(r.Data), i, nil
		}
	}
	if s := l.snapshots.last; s != nil {
		return s.Configuration, s.ConfigurationIndex, nil
	}
	return c, 0, nil
}

// LastPosition returns term and index of the last record, or of the snapshot where that is later.
func (l *Log) LastPosition() (term, index uint64, err error) {
	if s := l.snapshots.last; s != nil {
		term = s.Term
		index = s.Index
	}
	_, last := l.records.bounds()
	if last <= index {
		return term, index, nil
	}
	var r raft.Log
	if err := l.records.get(last, &r); err != nil {
		return 0, 0, err
	}
	return r.Term, r.Index, nil
}

// Keys of the raft library under which term and vote are stored.
const (
	KeyTerm          = "CurrentTerm"
	KeyVoteTerm      = "LastVoteTerm"
	KeyVoteCandidate = "LastVoteCand"
)

// Term returns the term and the last one in which this voter voted.
func (l *Log) Term() (term, voted uint64, err error) {
	if term, err = l.GetUint64([]byte(KeyTerm)); err == nil {
		voted, err = l.GetUint64([]byte(KeyVoteTerm))
	}
	return term, voted, err
}

// ForbidVotesThrough keeps this voter from another vote up to a term.
func (l *Log) ForbidVotesThrough(term uint64) error {
	have, voted, err := l.Term()
	if err == nil && have < term {
		err = l.SetUint64([]byte(KeyTerm), term)
	}
	if err == nil && voted < term {
		// The candidate first: the term alone, with the one voted for before, would be another vote.
		if err = l.Set([]byte(KeyVoteCandidate), []byte("nobody")); err == nil {
			err = l.SetUint64([]byte(KeyVoteTerm), term)
		}
	}
	return err
}

// The raft library calls what follows.

var (
	_ raft.LogStore          = (*Log)(nil)
	_ raft.MonotonicLogStore = (*Log)(nil)
	_ raft.StableStore       = (*Log)(nil)
)

// IsMonotonic says that there are no gaps.
func (l *Log) IsMonotonic() bool { return true }

// FirstIndex returns the index of the first record; 0 is none.
func (l *Log) FirstIndex() (uint64, error) {
	first, _ := l.records.bounds()
	return first, nil
}

// LastIndex returns the index of the last record; 0 is none.
func (l *Log) LastIndex() (uint64, error) {
	_, last := l.records.bounds()
	return last, nil
}

// Size returns the size of the log's file in bytes.
func (l *Log) Size() int64 { return l.records.size() }

// GetLog reads a record.
func (l *Log) GetLog(index uint64, r *raft.Log) error {
	err := l.records.get(index, r)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	_ = l.fail(err) // err itself
	// The library panics on a record that it can't have. This goroutine of its ends instead, with all that it has
	// deferred, and the log's owner ends the others.
	runtime.Goexit()
	return err
}

// StoreLog writes a record.
func (l *Log) StoreLog(r *raft.Log) error { return l.StoreLogs([]*raft.Log{r}) }

// StoreLogs writes records; they are durable when it returns.
func (l *Log) StoreLogs(rs []*raft.Log) error {
	return l.write(func() error { return l.records.append(rs) })
}

// DeleteRange removes records at the beginning or the end.
func (l *Log) DeleteRange(from, to uint64) error {
	return l.write(func() error { return l.records.remove(from, to) })
}

// Set stores a value.
func (l *Log) Set(key, value []byte) error {
	return l.write(func() error { return l.meta.set(key, value) })
}

// Get returns a value; empty is none.
func (l *Log) Get(key []byte) ([]byte, error) { return l.meta.get(key), nil }

// SetUint64 stores a number.
func (l *Log) SetUint64(key []byte, value uint64) error {
	err := l.Set(key, binary.BigEndian.AppendUint64(nil, value))
	if err != nil && string(key) == KeyTerm {
		runtime.Goexit() // as in GetLog: the library panics where its term can't be stored
	}
	return err
}

// GetUint64 returns a number; 0 is none.
func (l *Log) GetUint64(key []byte) (uint64, error) {
	switch raw := l.meta.get(key); len(raw) {
	case 0:
		return 0, nil
	case 8:
		return binary.BigEndian.Uint64(raw), nil
	default:
		return 0, fmt.Errorf("council's log: %s is not a number", key)
	}
}
