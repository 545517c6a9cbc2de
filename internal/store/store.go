// Package store persists what a node has learnt on a disk that outlives its process: it writes, verifies and reads back
// one state. A single file holds all of it; each write replaces the file by a rename, so there is nothing to compact and
// never a part of a state.
//
// A state that can't be read completely is moved aside (quarantined) and not used. The node never waits for the disk: a
// Persister writes in a goroutine of its own and reports when a state is durable.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"sloestile/internal/canonical"
	"sloestile/internal/store/disk"
)

const (
	version   = 1 // of the file's format
	magic     = "lfst"
	headBytes = 4 + 2 + 8 + 4 // magic, version, length and checksum of the rest

	// MaxStateBytes is the size of the file at most; a larger state is not written.
	MaxStateBytes = 8 << 20

	stateName      = "state"
	lockName       = "lock"
	quarantineName = "state.bad-" // and a number
	maxQuarantined = 2            // states moved aside that are kept
	maxNames       = 1000         // of a folder's files that are looked at
	readAttempts   = 2            // a bit may be flipped on the way from the disk alone
	maxCheckpoints = 1 << 20      // in a state
)

// State is what is persisted, as CBOR by the numbers in its tags.
type State struct {
	Node        string            `cbor:"1,keyasint"` // whose it is
	Generation  uint64            `cbor:"2,keyasint"` // grows with each state written
	WrittenAt   int64             `cbor:"3,keyasint"` // ms of Unix time
	Parts       map[string][]byte `cbor:"4,keyasint"` // by name, each in its owner's format
	Checkpoints []Checkpoint      `cbor:"5,keyasint"`
}

// Checkpoint is a level that one tenant's token bucket has at least at a time, whatever was granted since it was
// written.
type Checkpoint struct {
	_       struct{} `cbor:",toarray"`
	Plan    string
	Tenant  string
	Nodes   int     // that the tenant may come through
	Level   float64 // tokens
	LevelAt int64   // ms of Unix time
	FullAt  int64   // ms of Unix time when the bucket is full again, and the checkpoint worthless
}

var (
	encoder    = canonical.Encoder
	decoder    = canonical.Limits{MaxArrayElements: maxCheckpoints, MaxMapPairs: 64, MaxNestedLevels: 6}.Decoder()
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// encode returns the file's content for a state.
func encode(s *State) ([]byte, error) {
	raw, err := encoder.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append(make([]byte, 0, headBytes+len(raw)), magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint64(b, uint64(len(raw)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, raw) // of the head too
	b = binary.BigEndian.AppendUint32(b, sum)
	return append(b, raw...), nil
}

// decode reads a state of a node from a file's content.
func decode(file string, b []byte, node string) (*State, error) {
	corrupt := func(why string) error { return &CorruptError{file, errors.New(why)} }
	if len(b) < headBytes || string(b[:4]) != magic {
		return nil, corrupt("no state header")
	}
	sum := crc32.Update(crc32.Checksum(b[:headBytes-4], castagnoli), castagnoli, b[headBytes:])
	if sum != binary.BigEndian.Uint32(b[headBytes-4:]) {
		return nil, corrupt("checksum mismatch")
	}
	if v := binary.BigEndian.Uint16(b[4:]); v != version {
		return nil, &VersionError{file, int(v), version}
	}
	if binary.BigEndian.Uint64(b[6:]) != uint64(len(b)-headBytes) {
		return nil, corrupt("length mismatch")
	}
	s := &State{}
	if err := decoder.Unmarshal(b[headBytes:], s); err != nil {
		return nil, &CorruptError{file, err}
	}
	if s.Node != node {
		return nil, &OwnerError{file, s.Node, node}
	}
	return s, nil
}

// Dir is a folder that one process of one node uses at a time.
type Dir struct {
	fs   disk.FS
	dir  string
	node string
	lock *os.File // nil where the file layer is a test's
}

// Open opens a folder of a file system and makes it where there is none. It does not wait: where another process uses
// the folder the error is an InUseError, else a FolderError. The lock is always on the local file system, as a faulty
// disk must not let two processes in.
func Open(d disk.FS, dir, node string) (*Dir, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &FolderError{dir, err}
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &FolderError{dir, err}
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &InUseError{dir}
		}
		return nil, &FolderError{dir, err}
	}
	return &Dir{fs: d, dir: dir, node: node, lock: lock}, nil
}

// Close releases the folder for another process.
func (f *Dir) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

func (f *Dir) path(name string) string { return filepath.Join(f.dir, name) }

// Read returns the last durable state; nil is none. A state that can't be used, also when it is read again, is moved
// aside, and the error says why: a CorruptError, VersionError, OwnerError or ReadError, within a QuarantineError where
// it can't be moved. The folder can be written to all the same.
func (f *Dir) Read() (*State, error) {
	var unusable error
	for range readAttempts {
		s, err := f.read()
		if err == nil {
			return s, nil
		}
		unusable = err
	}
	if err := f.quarantine(); err != nil {
		unusable = &QuarantineError{f.path(stateName), unusable, err}
	}
	return nil, unusable
}

func (f *Dir) read() (*State, error) {
	file := f.path(stateName)
	raw, err := disk.ReadFile(f.fs, file, MaxStateBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &ReadError{file, err}
	}
	return decode(file, raw, f.node)
}

// quarantine moves a state that can't be used aside and removes the oldest of those.
func (f *Dir) quarantine() error {
	names, err := f.fs.ReadDirNames(f.dir, maxNames)
	if err != nil {
		return err
	}
	have := map[string]bool{}
	for _, n := range names {
		have[n] = strings.HasPrefix(n, quarantineName)
	}
	name := func(i int) string { return fmt.Sprint(quarantineName, i) }
	if have[name(maxQuarantined)] {
		if err := f.fs.Remove(f.path(name(maxQuarantined))); err != nil {
			return err
		}
	}
	for i := maxQuarantined - 1; i >= 1; i-- {
		if have[name(i)] {
			if err := f.fs.Rename(f.path(name(i)), f.path(name(i+1))); err != nil {
				return err
			}
		}
	}
	if err := f.fs.Rename(f.path(stateName), f.path(name(1))); err != nil {
		return err
	}
	return f.fs.SyncDir(f.dir)
}

// Write makes a state durable: when it returns without an error the state survives a crash of the machine. After an
// error, a SizeError or a WriteError, the disk holds the state before, or this one.
func (f *Dir) Write(s *State) (bytes int, err error) {
	file := f.path(stateName)
	raw, err := encode(s)
	if err != nil {
		return 0, &WriteError{file, err}
	}
	if len(raw) > MaxStateBytes {
		return 0, &SizeError{file, "bytes", len(raw), MaxStateBytes}
	}
	if err := disk.WriteFile(f.fs, file, raw); err != nil {
		return 0, &WriteError{file, err}
	}
	return len(raw), nil
}
