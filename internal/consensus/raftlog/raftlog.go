// Package raftlog keeps what a voter of the council has agreed to on its disk: its identity, its term
// and vote, its log and its last snapshot. Every record has a sum of its own. A folder in which
// anything can't be read as it was written is put aside whole, and the voter begins with another
// identity: it has to be admitted anew.
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
	lockName   = "lock"
	asideDir   = "spoilt" // what could not be read; one that is there goes
	filesMost  = 4096     // of a folder that are looked at
	stillAfter = time.Second
)

// SpoiltError tells that a file of the log is not as it was written.
type SpoiltError struct {
	File string
	Why  error
}

func (e *SpoiltError) Error() string {
	return fmt.Sprintf("council's log: %s is spoilt: %s; look at the disk, the voter is admitted anew by itself", e.File, oneline.Of(e.Why))
}

func (e *SpoiltError) Unwrap() error { return e.Why }

// UsedError tells that another process has the folder.
type UsedError struct{ Dir string }

func (e *UsedError) Error() string {
	return fmt.Sprintf("council's log: %s: another process uses it; end that one, or give this node a folder of its own", e.Dir)
}

// Log is a voter's log, term, vote and snapshot. Once a write has failed, or a record was not as it
// was written, it has failed for good: whoever has it must end its part in the council and open
// it again.
type Log struct {
	Identity string // of what is on this disk; another once that is lost
	New      bool   // the identity was made by this opening
	Fresh    bool   // there is neither log nor snapshot: it has agreed to nothing

	records *records
	meta    *meta
	snaps   *snapshots
	lock    *os.File
	still   func(on bool) // is told that a write takes long, and that it has ended
	broke   chan struct{} // closed once it has failed
	why     atomic.Pointer[error]
	once    atomic.Bool
}

// Open takes a folder of a node. What is spoilt there is put aside and why tells of it; the log is a
// fresh one then.
func Open(d disk.FS, dir, node string) (l *Log, why, err error) {
	if err := d.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("council's log: %w", err)
	}
	lock, err := takeLock(dir)
	if err != nil {
		return nil, nil, err
	}
	l, err = open(d, dir, node)
	if spoilt := (*SpoiltError)(nil); errors.As(err, &spoilt) {
		why = err
		if err = putAside(d, dir); err == nil {
			l, err = open(d, dir, node)
		}
	}
	if err != nil {
		lock.Close()
		return nil, why, fmt.Errorf("council's log %s: %w", dir, err)
	}
	l.lock = lock
	return l, why, nil
}

// takeLock keeps a second process out; it waits for nobody.
func takeLock(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("council's log: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &UsedError{Dir: dir}
		}
		return nil, fmt.Errorf("council's log: %w", err)
	}
	return lock, nil
}

func open(d disk.FS, dir, node string) (*Log, error) {
	m, made, err := readMeta(d, dir, node)
	if err != nil {
		return nil, err
	}
	l := &Log{Identity: m.Identity, New: made, meta: m, broke: make(chan struct{})}
	if l.snaps, err = openSnapshots(d, dir, l); err != nil {
		return nil, err
	}
	if l.records, err = openRecords(d, dir); err != nil {
		return nil, err
	}
	first, last := l.records.bounds()
	reach := uint64(0) // of the snapshot
	if l.snaps.last != nil {
		reach = l.snaps.last.Index
	}
	if last > 0 && first > reach+1 {
		l.records.close()
		return nil, &SpoiltError{File: logName, Why: fmt.Errorf("it begins with %d, the snapshot ends with %d", first, reach)}
	}
	l.Fresh = last == 0 && reach == 0
	return l, nil
}

// putAside moves all of a folder but its lock below a folder of it; what was there before goes.
func putAside(d disk.FS, dir string) error {
	aside := filepath.Join(dir, asideDir)
	if err := d.MkdirAll(aside); err != nil {
		return err
	}
	names, err := d.Names(aside, filesMost)
	if err != nil {
		return err
	}
	for _, n := range names {
		if err := d.Remove(filepath.Join(aside, n)); err != nil {
			return err
		}
	}
	names, err = d.Names(dir, filesMost)
	if err != nil {
		return err
	}
	for _, n := range names {
		if n == lockName || n == asideDir {
			continue
		}
		if err := d.Rename(filepath.Join(dir, n), filepath.Join(aside, n)); err != nil {
			return err
		}
	}
	return d.SyncDir(dir)
}

// Renew puts all aside and leaves the folder to be opened anew, with another identity. The log is
// closed by it.
func (l *Log) Renew() error {
	d, dir := l.meta.disk, l.meta.dir
	return errors.Join(l.records.close(), putAside(d, dir), l.lock.Close())
}

// Close lets another process use the folder.
func (l *Log) Close() error { return errors.Join(l.records.close(), l.lock.Close()) }

// Broken is closed once the log has failed; Err says why.
func (l *Log) Broken() <-chan struct{} { return l.broke }

// Err is why the log has failed.
func (l *Log) Err() error {
	if p := l.why.Load(); p != nil {
		return *p
	}
	return nil
}

// OnStill has a function told when a write has been on its way for stillAfter, and when that one has
// ended. It is set before the log is written to.
func (l *Log) OnStill(tell func(on bool)) { l.still = tell }

// fail ends the log's use.
func (l *Log) fail(err error) error {
	if !l.once.Swap(true) {
		l.why.Store(&err)
		close(l.broke)
		slog.Error("council: the log has failed", "err", err)
	}
	return err
}

// write runs a write; one that fails ends the log's use.
func (l *Log) write(do func() error) error {
	if err := l.Err(); err != nil {
		return err
	}
	if l.still != nil {
		late := time.AfterFunc(stillAfter, func() { l.still(true) })
		defer func() {
			if !late.Stop() {
				l.still(false)
			}
		}()
	}
	if err := do(); err != nil {
		return l.fail(err)
	}
	return nil
}

// Configuration gives the voters that it knows of last, and where it is told so.
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
	if s := l.snaps.last; s != nil {
		return s.Configuration, s.ConfigurationIndex, nil
	}
	return c, 0, nil
}

// Last gives term and index of the last that was agreed to or is to be, and term and vote.
func (l *Log) Last() (term, index uint64, err error) {
	if s := l.snaps.last; s != nil {
		term, index = s.Term, s.Index
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

// Keys of raft's under which term and vote are kept.
const (
	KeyTerm     = "CurrentTerm"
	KeyVoteTerm = "LastVoteTerm"
	KeyVoteFor  = "LastVoteCand"
)

// Term gives the term and the last one in which there was a vote.
func (l *Log) Term() (term, voted uint64, err error) {
	if term, err = l.GetUint64([]byte(KeyTerm)); err == nil {
		voted, err = l.GetUint64([]byte(KeyVoteTerm))
	}
	return term, voted, err
}

// Bar keeps this voter from another vote up to a term.
func (l *Log) Bar(term uint64) error {
	have, voted, err := l.Term()
	if err == nil && have < term {
		err = l.SetUint64([]byte(KeyTerm), term)
	}
	if err == nil && voted < term {
		// The candidate first: the term alone, with the one voted for before, would be another vote.
		if err = l.Set([]byte(KeyVoteFor), []byte("nobody")); err == nil {
			err = l.SetUint64([]byte(KeyVoteTerm), term)
		}
	}
	return err
}

// The library calls what follows.

var (
	_ raft.LogStore          = (*Log)(nil)
	_ raft.MonotonicLogStore = (*Log)(nil)
	_ raft.StableStore       = (*Log)(nil)
)

// IsMonotonic tells the library that there are no gaps.
func (l *Log) IsMonotonic() bool { return true }

// FirstIndex is that of the first record; 0 is none.
func (l *Log) FirstIndex() (uint64, error) {
	first, _ := l.records.bounds()
	return first, nil
}

// LastIndex is that of the last record; 0 is none.
func (l *Log) LastIndex() (uint64, error) {
	_, last := l.records.bounds()
	return last, nil
}

// Size is that of the log's file, in bytes.
func (l *Log) Size() int64 { return l.records.size() }

// GetLog reads a record.
func (l *Log) GetLog(index uint64, r *raft.Log) error {
	err := l.records.get(index, r)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	l.fail(err)
	// Guards against the library's panic on a record that it can't have: this goroutine of its ends
	// with all that it has deferred, and the log's owner ends the others.
	runtime.Goexit()
	return err
}

// StoreLog writes a record.
func (l *Log) StoreLog(r *raft.Log) error { return l.StoreLogs([]*raft.Log{r}) }

// StoreLogs writes records; with the return they are on the disk.
func (l *Log) StoreLogs(rs []*raft.Log) error {
	return l.write(func() error { return l.records.append(rs) })
}

// DeleteRange removes records at the begin or the end.
func (l *Log) DeleteRange(from, to uint64) error {
	return l.write(func() error { return l.records.remove(from, to) })
}

// Set keeps a value.
func (l *Log) Set(key, value []byte) error {
	return l.write(func() error { return l.meta.set(key, value) })
}

// Get gives a value; empty is none.
func (l *Log) Get(key []byte) ([]byte, error) { return l.meta.get(key), nil }

// SetUint64 keeps a number.
func (l *Log) SetUint64(key []byte, value uint64) error {
	err := l.Set(key, binary.BigEndian.AppendUint64(nil, value))
	if err != nil && string(key) == KeyTerm {
		runtime.Goexit() // as in GetLog: a term that can't be kept is a panic of the library's
	}
	return err
}

// GetUint64 gives a number; 0 is none.
func (l *Log) GetUint64(key []byte) (uint64, error) {
	switch raw := l.meta.get(key); len(raw) {
	case 0:
		return 0, nil
	case 8:
		return binary.BigEndian.Uint64(raw), nil
	default:
		return 0, fmt.Errorf("council's log: %s is no number", key)
	}
}
