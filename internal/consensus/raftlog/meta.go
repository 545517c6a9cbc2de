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

	"github.com/fxamacker/cbor/v2"

	"sloestile/internal/store/disk"
)

const (
	metaName  = "meta"
	metaMost  = 64 << 10
	sumBytes  = 4
	headBytes = 4 + sumBytes // magic of the file's kind, sum of all but itself
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoding   = must(cbor.CanonicalEncOptions().EncMode())
	decoding   = must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 6,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // options of the program's own
	}
	return v
}

// Seal gives a value's bytes with magic and sum before them.
func Seal(magic string, v any) ([]byte, error) {
	raw, err := encoding.Marshal(v)
	if err != nil {
		return nil, err
	}
	sum := crc32.Update(crc32.Checksum([]byte(magic), castagnoli), castagnoli, raw)
	return append(binary.BigEndian.AppendUint32([]byte(magic), sum), raw...), nil
}

// Unseal reads what Seal has made.
func Unseal(magic, file string, raw []byte, v any) error {
	if len(raw) < headBytes || string(raw[:4]) != magic {
		return &SpoiltError{File: file, Why: errors.New("no head")}
	}
	sum := crc32.Update(crc32.Checksum(raw[:4], castagnoli), castagnoli, raw[headBytes:])
	if sum != binary.BigEndian.Uint32(raw[4:]) {
		return &SpoiltError{File: file, Why: errors.New("its sum differs")}
	}
	if err := decoding.Unmarshal(raw[headBytes:], v); err != nil {
		return &SpoiltError{File: file, Why: err}
	}
	return nil
}

// meta is what a voter keeps beside its log: who it is, its term and vote. It is one small file, written anew for each change, with a sum over all of it.
type meta struct {
	Node     string            `cbor:"1,keyasint"`
	Identity string            `cbor:"2,keyasint"`
	Stable   map[string][]byte `cbor:"3,keyasint"`

	mu   sync.Mutex
	disk disk.FS
	dir  string
}

const metaMagic = "lfcm"

// readMeta reads a folder's meta. A folder with nothing in it gets a log and a meta with an identity
// of its own.
func readMeta(d disk.FS, dir, node string) (m *meta, made bool, err error) {
	m = &meta{disk: d, dir: dir}
	raw, err := disk.ReadFile(d, filepath.Join(dir, metaName), metaMost)
	if errors.Is(err, fs.ErrNotExist) {
		if _, err := disk.ReadFile(d, filepath.Join(dir, snapName), 0); !errors.Is(err, fs.ErrNotExist) {
			return nil, false, &SpoiltError{File: metaName, Why: errors.New("it is gone")}
		}
		// Last, so that a meta says that the log was there.
		if err := newRecords(d, dir); err != nil {
			return nil, false, err
		}
		var id [8]byte
		rand.Read(id[:])
		m.Node, m.Identity, m.Stable = node, hex.EncodeToString(id[:]), make(map[string][]byte)
		return m, true, m.write()
	}
	if err != nil {
		return nil, false, err
	}
	if err := Unseal(metaMagic, metaName, raw, m); err != nil {
		return nil, false, err
	}
	if m.Node != node || m.Identity == "" {
		return nil, false, &SpoiltError{File: metaName, Why: fmt.Errorf("it is %q's", m.Node)}
	}
	if m.Stable == nil {
		m.Stable = make(map[string][]byte)
	}
	return m, false, nil
}

// write brings it to the disk.
func (m *meta) write() error {
	raw, err := Seal(metaMagic, m)
	if err != nil {
		return err
	}
	if len(raw) > metaMost {
		return fmt.Errorf("%s of %d bytes, %d are the most", metaName, len(raw), metaMost)
	}
	return disk.WriteFile(m.disk, filepath.Join(m.dir, metaName), raw)
}

// get gives a value; nil is none.
func (m *meta) get(key []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.Stable[string(key)])
}

// set puts a value, unless it is there.
func (m *meta) set(key, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.Stable[string(key)]; ok && bytes.Equal(old, value) {
		return nil
	}
	m.Stable[string(key)] = bytes.Clone(value)
	return m.write()
}
