package raftlog

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"sync"

	"sloestile/internal/canonical"
	"sloestile/internal/store/disk"
)

const (
	metaName     = "meta"
	maxMetaBytes = 64 << 10
	sumBytes     = 4
	headBytes    = 4 + sumBytes // magic of the file's kind, sum of all but itself
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = canonical.Encoder
	decoder    = canonical.Limits{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 6}.Decoder()
)

// EncodeChecksummed returns a value's bytes behind a magic and a checksum.
func EncodeChecksummed(magic string, v any) ([]byte, error) {
	raw, err := encoder.Marshal(v)
	if err != nil {
		return nil, err
	}
	sum := crc32.Update(crc32.Checksum([]byte(magic), castagnoli), castagnoli, raw)
	return append(binary.BigEndian.AppendUint32([]byte(magic), sum), raw...), nil
}

// DecodeChecksummed reads what Seal has returned, of a file that errors name.
func DecodeChecksummed(magic, file string, raw []byte, v any) error {
	if len(raw) < headBytes || string(raw[:4]) != magic {
		return &CorruptError{File: file, Err: errors.New("no header")}
	}
	sum := crc32.Update(crc32.Checksum(raw[:4], castagnoli), castagnoli, raw[headBytes:])
	if sum != binary.BigEndian.Uint32(raw[4:]) {
		return &CorruptError{File: file, Err: errors.New("checksum mismatch")}
	}
	if err := decoder.Unmarshal(raw[headBytes:], v); err != nil {
		return &CorruptError{File: file, Err: err}
	}
	return nil
}

// meta is what a voter stores beside its log: its identity, its term and vote. It is one small file, written anew for each
// change, with a checksum.
type meta struct {
	Node     string            `cbor:"1,keyasint"`
	Identity string            `cbor:"2,keyasint"`
	Stable   map[string][]byte `cbor:"3,keyasint"`

	mu   sync.Mutex
	disk disk.FS
	dir  string
}

const metaMagic = "lfcm"

// errMissing is the reason of a file that should be there.
var errMissing = errors.New("it is missing")

// readMeta reads a folder's meta. A folder with nothing in it gets a log and a meta with an identity of its own.
func readMeta(d disk.FS, dir, node string) (m *meta, isNew bool, err error) {
	raw, err := disk.ReadFile(d, filepath.Join(dir, metaName), maxMetaBytes)
	if errors.Is(err, fs.ErrNotExist) {
		m, err = newMeta(d, dir, node)
		return m, err == nil, err
	}
	if err != nil {
		return nil, false, err
	}
	m = &meta{disk: d, dir: dir}
	if err := DecodeChecksummed(metaMagic, metaName, raw, m); err != nil {
		return nil, false, err
	}
	if m.Node != node || m.Identity == "" {
		return nil, false, &CorruptError{File: metaName, Err: fmt.Errorf("it belongs to node %q", m.Node)}
	}
	if m.Stable == nil {
		m.Stable = make(map[string][]byte)
	}
	return m, false, nil
}

// newMeta makes the files of a folder with nothing in it. The meta is last, so that it says that the log was there.
func newMeta(d disk.FS, dir, node string) (*meta, error) {
	if _, err := disk.ReadFile(d, filepath.Join(dir, snapName), 0); !errors.Is(err, fs.ErrNotExist) {
		return nil, &CorruptError{File: metaName, Err: errMissing}
	}
	if err := newRecords(d, dir); err != nil {
		return nil, err
	}
	var id [8]byte
	rand.Read(id[:])
	m := &meta{disk: d, dir: dir, Node: node, Identity: hex.EncodeToString(id[:]), Stable: make(map[string][]byte)}
	return m, m.write()
}

// write makes the meta durable.
func (m *meta) write() error {
	raw, err := EncodeChecksummed(metaMagic, m)
	if err != nil {
		return err
	}
	if len(raw) > maxMetaBytes {
		return fmt.Errorf("%s of %d bytes, over %d", metaName, len(raw), maxMetaBytes)
	}
	return disk.WriteFile(m.disk, filepath.Join(m.dir, metaName), raw)
}

// get returns a value; nil is none.
func (m *meta) get(key []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.Stable[string(key)])
}

// set stores a value, unless it is stored already.
func (m *meta) set(key, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.Stable[string(key)]; ok && bytes.Equal(old, value) {
		return nil
	}
	m.Stable[string(key)] = bytes.Clone(value)
	return m.write()
}
