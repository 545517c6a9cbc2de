package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"

	"sloestile/internal/store/disk"
)

const (
	snapshotName  = "snapshot"
	snapshotMagic = "lfcs"

	// MaxSnapshotBytes is the maximum size of the state in a snapshot. A snapshot of a larger state fails.
	MaxSnapshotBytes = 4 << 20
)

// snapshot is the content of the snapshot file.
type snapshot struct {
	Index              uint64 `cbor:"1,keyasint"` // index of the last entry that the state includes
	Term               uint64 `cbor:"2,keyasint"` // term of that entry
	Configuration      []byte `cbor:"3,keyasint"` // configuration of the group, encoded by the raft library
	ConfigurationIndex uint64 `cbor:"4,keyasint"` // index of the entry with the configuration
	State              []byte `cbor:"5,keyasint"`
}

// snapshotStore is the raft library's snapshot store. It has only the latest snapshot: a new one replaces the file.
type snapshotStore struct {
	log    *Log
	disk   disk.FS
	path   string
	mu     sync.Mutex
	latest *raft.SnapshotMeta // nil if there is no snapshot
}

var _ raft.SnapshotStore = (*snapshotStore)(nil)

// openSnapshotStore reads the snapshot of a directory, if there is one.
func openSnapshotStore(d disk.FS, dir string, l *Log) (*snapshotStore, error) {
	s := &snapshotStore{log: l, disk: d, path: filepath.Join(dir, snapshotName)}
	stored, err := s.read()
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	s.latest = stored.libraryMetadata()
	return s, nil
}

// Snapshots returns the snapshot store of the log.
func (l *Log) Snapshots() raft.SnapshotStore { return l.snapshots }

// read reads the snapshot file. If there is none, the error is fs.ErrNotExist.
func (s *snapshotStore) read() (*snapshot, error) {
	raw, err := disk.ReadFile(s.disk, s.path, MaxSnapshotBytes+headerBytes)
	if err != nil {
		return nil, err
	}
	stored := &snapshot{}
	return stored, DecodeChecksummed(snapshotMagic, snapshotName, raw, stored)
}

// libraryMetadata returns the raft library's description of the snapshot. Its ID consists of term and index.
func (s *snapshot) libraryMetadata() *raft.SnapshotMeta {
	return &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, ID: fmt.Sprintf("%d-%d", s.Term, s.Index), Index: s.Index, Term: s.Term,
		Configuration: raft.DecodeConfiguration(s.Configuration), ConfigurationIndex: s.ConfigurationIndex, Size: int64(len(s.State))}
}

// List returns the latest snapshot, or nothing if there is none.
func (s *snapshotStore) List() ([]*raft.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest == nil {
		return nil, nil
	}
	return []*raft.SnapshotMeta{s.latest}, nil
}

// Open reads the latest snapshot, which must have the given ID. If the file cannot be read, the log has failed.
func (s *snapshotStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	stored, err := s.read()
	if err != nil {
		return nil, nil, s.log.fail(err)
	}
	m := stored.libraryMetadata()
	if m.ID != id {
		return nil, nil, fmt.Errorf("snapshot %s has been replaced by %s", id, m.ID)
	}
	return m, io.NopCloser(bytes.NewReader(stored.State)), nil
}

// Create returns a sink for the state of a new snapshot.
func (s *snapshotStore) Create(_ raft.SnapshotVersion, index, term uint64, configuration raft.Configuration, configurationIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	return &snapshotSink{store: s, snapshot: snapshot{Index: index, Term: term, Configuration: raft.EncodeConfiguration(configuration), ConfigurationIndex: configurationIndex}}, nil
}

// snapshotSink collects the state of a snapshot in memory. Close writes the file.
type snapshotSink struct {
	store    *snapshotStore
	snapshot snapshot
	closed   bool
}

// ID returns the ID of the snapshot.
func (s *snapshotSink) ID() string { return s.snapshot.libraryMetadata().ID }

// Write appends bytes to the state.
func (s *snapshotSink) Write(b []byte) (int, error) {
	if len(s.snapshot.State)+len(b) > MaxSnapshotBytes {
		return 0, fmt.Errorf("council's log: snapshot exceeds %d bytes", MaxSnapshotBytes)
	}
	s.snapshot.State = append(s.snapshot.State, b...)
	return len(b), nil
}

// Close writes the snapshot in place of the previous one, unless Cancel was called. It is durable when the method
// returns nil.
func (s *snapshotSink) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	raw, err := EncodeChecksummed(snapshotMagic, &s.snapshot)
	if err != nil {
		return err
	}
	store := s.store
	if err := store.log.write(func() error { return disk.WriteFile(store.disk, store.path, raw) }); err != nil {
		return err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.latest = s.snapshot.libraryMetadata()
	return nil
}

// Cancel discards the snapshot; the previous one remains.
func (s *snapshotSink) Cancel() error {
	s.closed = true
	return nil
}
