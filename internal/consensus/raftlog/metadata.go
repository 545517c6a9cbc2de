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
	metadataName     = "meta"
	maxMetadataBytes = 64 << 10
	checksumBytes    = 4
	headerBytes      = 4 + checksumBytes // magic of the kind of file, checksum of magic and content
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoder    = canonical.Encoder
	decoder    = canonical.Limits{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 6}.Decoder()
)

// EncodeChecksummed returns the content of a file: the magic, which has 4 bytes, a checksum (CRC-32C, big endian) and
// the value in canonical CBOR.
func EncodeChecksummed(magic string, v any) ([]byte, error) {
	raw, err := encoder.Marshal(v)
	if err != nil {
		return nil, err
	}
	checksum := crc32.Update(crc32.Checksum([]byte(magic), castagnoli), castagnoli, raw)
	return append(binary.BigEndian.AppendUint32([]byte(magic), checksum), raw...), nil
}

// DecodeChecksummed decodes the result of EncodeChecksummed into v. If it is corrupt, the error is a *CorruptError with
// the given file name.
func DecodeChecksummed(magic, file string, raw []byte, v any) error {
	if len(raw) < headerBytes || string(raw[:4]) != magic {
		return &CorruptError{File: file, Err: errors.New("no header")}
	}
	checksum := crc32.Update(crc32.Checksum(raw[:4], castagnoli), castagnoli, raw[headerBytes:])
	if checksum != binary.BigEndian.Uint32(raw[4:]) {
		return &CorruptError{File: file, Err: errors.New("checksum mismatch")}
	}
	if err := decoder.Unmarshal(raw[headerBytes:], v); err != nil {
		return &CorruptError{File: file, Err: err}
	}
	return nil
}

// metadata is the content of the metadata file: the voter's identity, and its term and vote. Each change rewrites the
// file.
type metadata struct {
	Node     string            `cbor:"1,keyasint"` // name of the node
	Identity string            `cbor:"2,keyasint"` // random identity, in hexadecimal
	Stable   map[string][]byte `cbor:"3,keyasint"` // values of the raft library's stable store

	mu   sync.Mutex
	disk disk.FS
	dir  string
}

const metadataMagic = "lfcm"

// errMissing is the cause of a CorruptError for a file that does not exist or has no header.
var errMissing = errors.New("it is missing or has no header")

// openMetadata reads the metadata file of a directory. If there is none, it creates an empty log, and metadata with a
// new identity.
func openMetadata(d disk.FS, dir, node string) (m *metadata, created bool, err error) {
	raw, err := disk.ReadFile(d, filepath.Join(dir, metadataName), maxMetadataBytes)
	if errors.Is(err, fs.ErrNotExist) {
		m, err = createMetadata(d, dir, node)
		return m, err == nil, err
	}
	if err != nil {
		return nil, false, err
	}
	m = &metadata{disk: d, dir: dir}
	if err := DecodeChecksummed(metadataMagic, metadataName, raw, m); err != nil {
		return nil, false, err
	}
	if m.Node != node || m.Identity == "" {
		return nil, false, &CorruptError{File: metadataName, Err: fmt.Errorf("it belongs to node %q", m.Node)}
	}
	if m.Stable == nil {
		m.Stable = make(map[string][]byte)
	}
	return m, false, nil
}

// createMetadata creates an empty log and then the metadata. With this order a directory that has metadata but no log
// has lost its log. A directory that has a snapshot but no metadata has lost its metadata.
func createMetadata(d disk.FS, dir, node string) (*metadata, error) {
	// The limit is 0 because only the existence of the snapshot matters.
	if _, err := disk.ReadFile(d, filepath.Join(dir, snapshotName), 0); !errors.Is(err, fs.ErrNotExist) {
		return nil, &CorruptError{File: metadataName, Err: errMissing}
	}
	if err := createEntryFile(d, dir); err != nil {
		return nil, err
	}
	var id [8]byte
	rand.Read(id[:])
	m := &metadata{disk: d, dir: dir, Node: node, Identity: hex.EncodeToString(id[:]), Stable: make(map[string][]byte)}
	return m, m.write()
}

// write writes the metadata file; it is durable when the method returns nil.
func (m *metadata) write() error {
	raw, err := EncodeChecksummed(metadataMagic, m)
	if err != nil {
		return err
	}
	if len(raw) > maxMetadataBytes {
		return fmt.Errorf("%s: size of %d bytes exceeds %d", metadataName, len(raw), maxMetadataBytes)
	}
	return disk.WriteFile(m.disk, filepath.Join(m.dir, metadataName), raw)
}

// get returns a copy of the value of a key, or nil if there is none.
func (m *metadata) get(key []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.Stable[string(key)])
}

// set stores a value under a key. It does not write the file if the key has this value already.
func (m *metadata) set(key, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stored, ok := m.Stable[string(key)]; ok && bytes.Equal(stored, value) {
		return nil
	}
	m.Stable[string(key)] = bytes.Clone(value)
	return m.write()
}
