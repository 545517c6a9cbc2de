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
	snapName  = "snapshot"
	snapMagic = "lfcs"

	// MaxSnapshotBytes is the size of a snapshot at most; a larger state is not written.
	MaxSnapshotBytes = 4 << 20
)

// snapshot is the form on the disk: one file, with a checksum.
type snapshot struct {
	Index              uint64 `cbor:"1,keyasint"`
	Term               uint64 `cbor:"2,keyasint"`
	Configuration      []byte `cbor:"3,keyasint"`
	ConfigurationIndex uint64 `cbor:"4,keyasint"`
	State              []byte `cbor:"5,keyasint"`
}

// snapshotStore stores one snapshot, the last: it replaces the one before whole.
type snapshotStore struct {
	log  *Log
	disk disk.FS
	path string
	mu   sync.Mutex
	last *raft.SnapshotMeta // nil is none
}

var _ raft.SnapshotStore = (*snapshotStore)(nil)

func openSnapshots(d disk.FS, dir string, l *Log) (*snapshotStore, error) {
	s := &snapshotStore{log: l, disk: d, path: filepath.Join(dir, snapName)}
	x, err := s.read()
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	s.last = x.meta()
	return s, nil
}

// Snapshots returns the library's access to the last snapshot.
func (l *Log) Snapshots() raft.SnapshotStore { return l.snapshots }

func (s *snapshotStore) read() (*snapshot, error) {
	raw, err := disk.ReadFile(s.disk, s.path, MaxSnapshotBytes+headBytes)
	if err != nil {
		return nil, err
	}
	x := &snapshot{}
	return x, DecodeChecksummed(snapMagic, snapName, raw, x)
}

func (x *snapshot) meta() *raft.SnapshotMeta {
	return &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, ID: fmt.Sprintf("%d-%d", x.Term, x.Index), Index: x.Index, Term: x.Term,
		Configuration: raft.DecodeConfiguration(x.Configuration), ConfigurationIndex: x.ConfigurationIndex, Size: int64(len(x.State))}
}

// List returns the last snapshot, if there is one.
func (s *snapshotStore) List() ([]*raft.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		return nil, nil
	}
	return []*raft.SnapshotMeta{s.last}, nil
}

// Open reads the snapshot.
func (s *snapshotStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	x, err := s.read()
	if err != nil {
		return nil, nil, s.log.fail(err)
	}
	m := x.meta()
	if m.ID != id {
		return nil, nil, fmt.Errorf("snapshot %s is gone, %s is there", id, m.ID)
	}
	return m, io.NopCloser(bytes.NewReader(x.State)), nil
}

// Create begins a snapshot.
func (s *snapshotStore) Create(_ raft.SnapshotVersion, index, term uint64, c raft.Configuration, at uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	return &snapshotSink{store: s, snapshot: snapshot{Index: index, Term: term, Configuration: raft.EncodeConfiguration(c), ConfigurationIndex: at}}, nil
}

// snapshotSink takes a snapshot's state.
type snapshotSink struct {
	store    *snapshotStore
	snapshot snapshot
	closed   bool
}

// ID returns the name of the snapshot.
func (k *snapshotSink) ID() string { return k.snapshot.meta().ID }

// Write takes a part of the state.
func (k *snapshotSink) Write(b []byte) (int, error) {
	if len(k.snapshot.State)+len(b) > MaxSnapshotBytes {
		return 0, fmt.Errorf("council's log: snapshot of over %d bytes", MaxSnapshotBytes)
	}
	k.snapshot.State = append(k.snapshot.State, b...)
	return len(b), nil
}

// Close makes the snapshot durable.
func (k *snapshotSink) Close() error {
	if k.closed {
		return nil
	}
	k.closed = true
	raw, err := EncodeChecksummed(snapMagic, &k.snapshot)
	if err != nil {
		return err
	}
	s := k.store
	if err := s.log.write(func() error { return disk.WriteFile(s.disk, s.path, raw) }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = k.snapshot.meta()
	return nil
}

// Cancel leaves the snapshot before in place.
func (k *snapshotSink) Cancel() error {
	k.closed = true
	return nil
}
