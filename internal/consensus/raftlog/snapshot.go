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

	// SnapshotMost bounds a snapshot; a state machine that grows beyond it is not written.
	SnapshotMost = 4 << 20
)

// snapshot is the form on the disk: one file, with a sum over all of it.
type snapshot struct {
	Index              uint64 `cbor:"1,keyasint"`
	Term               uint64 `cbor:"2,keyasint"`
	Configuration      []byte `cbor:"3,keyasint"`
	ConfigurationIndex uint64 `cbor:"4,keyasint"`
	State              []byte `cbor:"5,keyasint"`
}

// snapshots keeps one snapshot, the last: it is put in the place of the one before whole.
type snapshots struct {
	log  *Log
	disk disk.FS
	path string
	mu   sync.Mutex
	last *raft.SnapshotMeta // nil is none
}

var _ raft.SnapshotStore = (*snapshots)(nil)

func openSnapshots(d disk.FS, dir string, l *Log) (*snapshots, error) {
	s := &snapshots{log: l, disk: d, path: filepath.Join(dir, snapName)}
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

// Snapshots is the library's access to the last snapshot.
func (l *Log) Snapshots() raft.SnapshotStore { return l.snaps }

func (s *snapshots) read() (*snapshot, error) {
	raw, err := disk.ReadFile(s.disk, s.path, SnapshotMost+headBytes)
	if err != nil {
		return nil, err
	}
	x := &snapshot{}
	return x, Unseal(snapMagic, snapName, raw, x)
}

func (x *snapshot) meta() *raft.SnapshotMeta {
	return &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, ID: fmt.Sprintf("%d-%d", x.Term, x.Index), Index: x.Index, Term: x.Term,
		Configuration: raft.DecodeConfiguration(x.Configuration), ConfigurationIndex: x.ConfigurationIndex, Size: int64(len(x.State))}
}

// List gives the last snapshot, if there is one.
func (s *snapshots) List() ([]*raft.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		return nil, nil
	}
	return []*raft.SnapshotMeta{s.last}, nil
}

// Open reads it.
func (s *snapshots) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	x, err := s.read()
	if err != nil {
		return nil, nil, s.log.fail(err)
	}
	m := x.meta()
	if m.ID != id {
		return nil, nil, fmt.Errorf("snapshot %s is there no more, %s is", id, m.ID)
	}
	return m, io.NopCloser(bytes.NewReader(x.State)), nil
}

// Create begins one.
func (s *snapshots) Create(_ raft.SnapshotVersion, index, term uint64, c raft.Configuration, at uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	return &sink{of: s, x: snapshot{Index: index, Term: term, Configuration: raft.EncodeConfiguration(c), ConfigurationIndex: at}}, nil
}

// sink takes a snapshot's state.
type sink struct {
	of    *snapshots
	x     snapshot
	ended bool
}

func (k *sink) ID() string { return k.x.meta().ID }

func (k *sink) Write(b []byte) (int, error) {
	if len(k.x.State)+len(b) > SnapshotMost {
		return 0, fmt.Errorf("council's log: a snapshot of over %d bytes", SnapshotMost)
	}
	k.x.State = append(k.x.State, b...)
	return len(b), nil
}

// Close brings the snapshot to the disk.
func (k *sink) Close() error {
	if k.ended {
		return nil
	}
	k.ended = true
	raw, err := Seal(snapMagic, &k.x)
	if err != nil {
		return err
	}
	s := k.of
	if err := s.log.write(func() error { return disk.WriteFile(s.disk, s.path, raw) }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = k.x.meta()
	return nil
}

// Cancel leaves the one before in place.
func (k *sink) Cancel() error {
	k.ended = true
	return nil
}
