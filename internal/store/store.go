// Package store persists the state of a node on a disk that outlives its process. The state is a single checksummed
// file in a directory, which Open locks. Each write replaces the file by a rename, so that there is always one complete
// state and nothing to compact. A state that is corrupt or otherwise unusable is quarantined: it is renamed and not
// used.
//
// Nodes do not wait for the disk. Checkpoints decides which checkpoints of tenants' token buckets have to be written,
// and a Persister writes them, with the other parts of the state, in its own goroutine and reports when they are
// durable.
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
	formatVersion = 1 // version of the file format
	magic         = "lfst"
	headerBytes   = 4 + 2 + 8 + 4 // magic, version, length and checksum of the rest

	// MaxStateBytes is the maximum size of the file. Writing a larger state fails.
	MaxStateBytes = 8 << 20

	stateName        = "state"
	lockName         = "lock"
	quarantinePrefix = "state.bad-" // name prefix of quarantined states; a number follows, 1 for the latest
	maxQuarantined   = 2            // quarantined states that are kept
	maxDirEntries    = 1000         // names that quarantine reads of the directory
	readAttempts     = 2            // the second attempt succeeds if a bit was flipped in transfer only
	maxCheckpoints   = 1 << 20      // checkpoints in a state
)

// State is the persisted state of a node, encoded as CBOR with the integer keys in its tags.
type State struct {
	Node        string            `cbor:"1,keyasint"` // name of the node
	Generation  uint64            `cbor:"2,keyasint"` // number of the state; increases with each write
	WrittenAt   int64             `cbor:"3,keyasint"` // Unix time in ms
	Parts       map[string][]byte `cbor:"4,keyasint"` // other data by name; the caller defines their formats
	Checkpoints []Checkpoint      `cbor:"5,keyasint"`
}

// Checkpoint is a lower bound of the tokens in a tenant's bucket at one time. Checkpoints that NextBatch returns are
// lower than the actual tokens, so that they remain lower bounds after requests that are granted before the next
// checkpoint.
type Checkpoint struct {
	_       struct{} `cbor:",toarray"`
	Plan    string
	Tenant  string
	Nodes   int     // number of nodes that the tenant's requests may come through
	Level   float64 // lower bound of the tokens at LevelAt; may be negative
	LevelAt int64   // Unix time in ms
	FullAt  int64   // Unix time in ms at which the bucket is full again; from then on the checkpoint is not needed
}

var (
	encoder    = canonical.Encoder
	decoder    = canonical.Limits{MaxArrayElements: maxCheckpoints, MaxMapPairs: 64, MaxNestedLevels: 6}.Decoder()
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// encode returns the content of the file for a state: magic, version, length, checksum (CRC-32C) and the encoded state.
func encode(s *State) ([]byte, error) {
	raw, err := encoder.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append(make([]byte, 0, headerBytes+len(raw)), magic...)
	b = binary.BigEndian.AppendUint16(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(len(raw)))
	checksum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, raw) // includes the header
	b = binary.BigEndian.AppendUint32(b, checksum)
	return append(b, raw...), nil
}

// decode decodes the content of a file and checks that it is a state of the given node.
func decode(file string, b []byte, node string) (*State, error) {
	corruptError := func(reason string) error { return &CorruptError{file, errors.New(reason)} }
	if len(b) < headerBytes || string(b[:4]) != magic {
		return nil, corruptError("no state header")
	}
	checksum := crc32.Update(crc32.Checksum(b[:headerBytes-4], castagnoli), castagnoli, b[headerBytes:])
	if checksum != binary.BigEndian.Uint32(b[headerBytes-4:]) {
		return nil, corruptError("checksum mismatch")
	}
	if v := binary.BigEndian.Uint16(b[4:]); v != formatVersion {
		return nil, &VersionError{file, int(v), formatVersion}
	}
	if binary.BigEndian.Uint64(b[6:]) != uint64(len(b)-headerBytes) {
		return nil, corruptError("length mismatch")
	}
	s := &State{}
	if err := decoder.Unmarshal(b[headerBytes:], s); err != nil {
		return nil, &CorruptError{file, err}
	}
	if s.Node != node {
		return nil, &OwnerError{file, s.Node, node}
	}
	return s, nil
}

// Dir is the state directory of a node, locked against other processes.
type Dir struct {
	fsys disk.FS
	path string
	node string
	lock *os.File // nil in tests with a file system in memory
}

// Open opens and locks the state directory of a node, and creates it if it does not exist. It does not wait for the
// lock: if another process uses the directory, the error is an *InUseError. Any other error is a *FolderError. The lock
// is always on the local file system, so that a faulty disk cannot let two processes use the directory.
func Open(fsys disk.FS, dir, node string) (*Dir, error) {
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
	return &Dir{fsys: fsys, path: dir, node: node, lock: lock}, nil
}

// Close releases the directory for other processes.
func (d *Dir) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

func (d *Dir) filePath(name string) string { return filepath.Join(d.path, name) }

// Read returns the last durable state, or nil if there is none. A state that is unusable in all of readAttempts
// attempts is quarantined. The error is then a *CorruptError, *VersionError, *OwnerError or *ReadError, or a
// *QuarantineError with one of these as the reason if the quarantine fails. The directory can be written to in any
// case.
func (d *Dir) Read() (*State, error) {
	var unusable error
	for range readAttempts {
		s, err := d.read()
		if err == nil {
			return s, nil
		}
		unusable = err
	}
	if err := d.quarantine(); err != nil {
		unusable = &QuarantineError{d.filePath(stateName), unusable, err}
	}
	return nil, unusable
}

// read reads the state once.
func (d *Dir) read() (*State, error) {
	file := d.filePath(stateName)
	raw, err := disk.ReadFile(d.fsys, file, MaxStateBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &ReadError{file, err}
	}
	return decode(file, raw, d.node)
}

// quarantine renames the state file. It removes the oldest quarantined state if there are maxQuarantined already.
func (d *Dir) quarantine() error {
	names, err := d.fsys.ReadDirNames(d.path, maxDirEntries)
	if err != nil {
		return err
	}
	exists := map[string]bool{}
	for _, n := range names {
		exists[n] = strings.HasPrefix(n, quarantinePrefix)
	}
	name := func(i int) string { return fmt.Sprint(quarantinePrefix, i) }
	if exists[name(maxQuarantined)] {
		if err := d.fsys.Remove(d.filePath(name(maxQuarantined))); err != nil {
			return err
		}
	}
	for i := maxQuarantined - 1; i >= 1; i-- {
		if exists[name(i)] {
			if err := d.fsys.Rename(d.filePath(name(i)), d.filePath(name(i+1))); err != nil {
				return err
			}
		}
	}
	if err := d.fsys.Rename(d.filePath(stateName), d.filePath(name(1))); err != nil {
		return err
	}
	return d.fsys.SyncDir(d.path)
}

// Write writes a state and returns its size in bytes. When the error is nil, the state survives a crash of the machine.
// Otherwise the error is a *SizeError or a *WriteError, and the disk has the previous state or this one.
func (d *Dir) Write(s *State) (bytes int, err error) {
	file := d.filePath(stateName)
	raw, err := encode(s)
	if err != nil {
		return 0, &WriteError{file, err}
	}
	if len(raw) > MaxStateBytes {
		return 0, &SizeError{file, "bytes", len(raw), MaxStateBytes}
	}
	if err := disk.WriteFile(d.fsys, file, raw); err != nil {
		return 0, &WriteError{file, err}
	}
	return len(raw), nil
}
