package raftlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"

	"sloestile/internal/store/disk"
)

// The log is a single file, which consists of a header and the entries. An entry consists of:
//
//	4 bytes  magic
//	4 bytes  length of the body
//	4 bytes  checksum (CRC-32C) of length and body
//	body     index, term (8 bytes each), type (1), length of the extensions (4), extensions, data
//
// Numbers are big endian.
const (
	logName          = "log"
	logHeader        = "lfcl\x00\x00\x00\x01"
	entryMagic       = "\xc5rec"
	entryHeaderBytes = 12
	bodyHeaderBytes  = 8 + 8 + 1 + 4

	// MaxEntryBytes is the maximum size of an entry's data and extensions together.
	MaxEntryBytes = 256 << 10
	// MaxLogBytes is the maximum size of the file.
	MaxLogBytes = 32 << 20
)

// entryFile is the file with the entries of the log. Their indexes have no gaps.
type entryFile struct {
	disk disk.FS
	path string

	mu      sync.RWMutex
	file    disk.File
	first   uint64  // index of the first entry; undefined if there is none
	offsets []int64 // offsets of the entries in the file
	end     int64   // offset of the next entry to append
}

// openEntryFile reads the file and checks all entries. An incomplete entry at the end of the file comes from an
// interrupted write, which was not acknowledged, and is cut off. If a complete entry follows an incomplete one, the
// file has lost acknowledged entries and is corrupt.
func openEntryFile(d disk.FS, dir string) (*entryFile, error) {
	f := &entryFile{disk: d, path: filepath.Join(dir, logName), end: int64(len(logHeader))}
	raw, err := disk.ReadFile(d, f.path, MaxLogBytes)
	if errors.Is(err, fs.ErrNotExist) || (err == nil && !bytes.HasPrefix(raw, []byte(logHeader))) {
		return nil, &CorruptError{File: logName, Err: errMissing}
	}
	if err != nil {
		return nil, err
	}
	if err := f.scan(raw); err != nil {
		return nil, err
	}
	if f.file, err = d.OpenFile(f.path, os.O_RDWR); err != nil {
		return nil, err
	}
	if int(f.end) < len(raw) {
		if err := f.truncate(f.end); err != nil {
			_ = f.file.Close() // the first error is returned
			return nil, err
		}
	}
	return f, nil
}

// scan sets first, offsets and end from the content of the file.
func (f *entryFile) scan(raw []byte) error {
	var previous raft.Log
	for int(f.end) < len(raw) {
		r, n, ok := parseEntry(raw[f.end:])
		if !ok {
			if next, found := findEntry(raw[f.end+1:]); found {
				return &CorruptError{File: logName, Err: fmt.Errorf("the entry at byte %d is corrupt, entry %d follows it", f.end, next)}
			}
			return nil
		}
		if len(f.offsets) == 0 {
			f.first = r.Index
		} else if r.Index != previous.Index+1 || r.Term < previous.Term {
			return &CorruptError{File: logName, Err: fmt.Errorf("entry %d of term %d follows entry %d of term %d", r.Index, r.Term, previous.Index, previous.Term)}
		}
		previous = r
		f.offsets = append(f.offsets, f.end)
		f.end += int64(n)
	}
	return nil
}

// truncate reduces the file to a size and syncs it.
func (f *entryFile) truncate(size int64) error {
	if err := f.file.Truncate(size); err != nil {
		return err
	}
	return f.file.Sync()
}

// findEntry returns the index of the first complete entry at any position in raw.
func findEntry(raw []byte) (index uint64, found bool) {
	for {
		i := bytes.Index(raw, []byte(entryMagic))
		if i < 0 {
			return 0, false
		}
		if r, _, ok := parseEntry(raw[i:]); ok {
			return r.Index, true
		}
		raw = raw[i+1:]
	}
}

// parseEntry returns the entry at the beginning of raw and its length in bytes; ok is false if it is incomplete or its
// checksum is wrong.
func parseEntry(raw []byte) (r raft.Log, n int, ok bool) {
	if len(raw) < entryHeaderBytes || string(raw[:4]) != entryMagic {
		return r, 0, false
	}
	n = int(binary.BigEndian.Uint32(raw[4:]))
	if n < bodyHeaderBytes || n > len(raw)-entryHeaderBytes {
		return r, 0, false
	}
	body := raw[entryHeaderBytes : entryHeaderBytes+n]
	if entryChecksum(raw[4:8], body) != binary.BigEndian.Uint32(raw[8:]) {
		return r, 0, false
	}
	r.Index = binary.BigEndian.Uint64(body)
	r.Term = binary.BigEndian.Uint64(body[8:])
	r.Type = raft.LogType(body[16])
	extensions := int(binary.BigEndian.Uint32(body[17:]))
	if extensions > n-bodyHeaderBytes {
		return r, 0, false
	}
	if extensions > 0 {
		r.Extensions = bytes.Clone(body[bodyHeaderBytes : bodyHeaderBytes+extensions])
	}
	r.Data = bytes.Clone(body[bodyHeaderBytes+extensions:])
	return r, entryHeaderBytes + n, true
}

// entryChecksum returns the checksum of an entry's length field and body.
func entryChecksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// appendEntry appends the encoded entry to b.
func appendEntry(b []byte, r *raft.Log) []byte {
	start := len(b)
	b = append(b, entryMagic...)
	b = binary.BigEndian.AppendUint32(b, uint32(bodyHeaderBytes+len(r.Extensions)+len(r.Data)))
	b = append(b, 0, 0, 0, 0) // place of the checksum
	b = binary.BigEndian.AppendUint64(b, r.Index)
	b = binary.BigEndian.AppendUint64(b, r.Term)
	b = append(b, byte(r.Type))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Extensions)))
	b = append(b, r.Extensions...)
	b = append(b, r.Data...)
	checksum := entryChecksum(b[start+4:start+8], b[start+entryHeaderBytes:])
	binary.BigEndian.PutUint32(b[start+8:], checksum)
	return b
}

// indexRange returns the indexes of the first and the last entry, or 0 and 0 if there is none.
func (f *entryFile) indexRange() (first, last uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if len(f.offsets) == 0 {
		return 0, 0
	}
	return f.first, f.first + uint64(len(f.offsets)) - 1
}

// size returns the size of the file in bytes.
func (f *entryFile) size() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.end
}

// byteRange returns the offsets at which an entry begins and ends in the file; ok is false if there is no such entry.
// The caller holds f.mu.
func (f *entryFile) byteRange(index uint64) (from, to int64, ok bool) {
	if len(f.offsets) == 0 || index < f.first || index-f.first >= uint64(len(f.offsets)) {
		return 0, 0, false
	}
	i := int(index - f.first)
	to = f.end
	if i+1 < len(f.offsets) {
		to = f.offsets[i+1]
	}
	return f.offsets[i], to, true
}

// get reads the entry with an index. If there is none, the error is raft.ErrLogNotFound.
func (f *entryFile) get(index uint64, r *raft.Log) error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	from, to, ok := f.byteRange(index)
	if !ok {
		return raft.ErrLogNotFound
	}
	raw := make([]byte, to-from)
	if _, err := f.file.ReadAt(raw, from); err != nil {
		return err
	}
	entry, n, ok := parseEntry(raw)
	if !ok || n != len(raw) || entry.Index != index {
		return &CorruptError{File: logName, Err: fmt.Errorf("entry %d is corrupt", index)}
	}
	*r = entry
	return nil
}

// append writes entries at the end; they are durable when the method returns nil.
func (f *entryFile) append(entries []*raft.Log) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b []byte
	var offsets []int64
	for i, r := range entries {
		if len(f.offsets) == 0 && i == 0 {
			f.first = r.Index
		}
		if wantIndex := f.first + uint64(len(f.offsets)+i); r.Index != wantIndex {
			return fmt.Errorf("appending entry %d: entry %d is expected", r.Index, wantIndex)
		}
		if size := len(r.Data) + len(r.Extensions); size > MaxEntryBytes {
			return fmt.Errorf("entry of %d bytes exceeds %d", size, MaxEntryBytes)
		}
		offsets = append(offsets, f.end+int64(len(b)))
		b = appendEntry(b, r)
	}
	if f.end+int64(len(b)) > MaxLogBytes {
		return fmt.Errorf("log exceeds %d bytes", MaxLogBytes)
	}
	if _, err := f.file.WriteAt(b, f.end); err != nil {
		return err
	}
	if err := f.file.Sync(); err != nil {
		return err
	}
	f.offsets = append(f.offsets, offsets...)
	f.end += int64(len(b))
	return nil
}

// deleteRange deletes the entries from one index to another, both included. They must be at the beginning or the end.
func (f *entryFile) deleteRange(from, to uint64) error {
	first, last := f.indexRange()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case last == 0 || from > last || to < first || from > to:
		return nil
	case from <= first:
		return f.deleteThrough(to)
	case to >= last:
		return f.deleteFrom(from)
	}
	return fmt.Errorf("entries %d to %d are neither at the beginning nor at the end", from, to)
}

// deleteThrough rewrites the file without the entries up to and including last.
func (f *entryFile) deleteThrough(last uint64) error {
	start, _, ok := f.byteRange(last + 1)
	if !ok {
		return f.rewrite(nil)
	}
	remaining := make([]byte, f.end-start)
	if _, err := f.file.ReadAt(remaining, start); err != nil {
		return err
	}
	offsets := f.offsets[last+1-f.first:]
	if err := f.rewrite(remaining); err != nil {
		return err
	}
	for _, offset := range offsets {
		f.offsets = append(f.offsets, f.end+offset-start)
	}
	f.first = last + 1
	f.end += int64(len(remaining))
	return nil
}

// deleteFrom cuts off the entries from an index on.
func (f *entryFile) deleteFrom(from uint64) error {
	start, _, _ := f.byteRange(from)
	if err := f.truncate(start); err != nil {
		return err
	}
	f.offsets = f.offsets[:from-f.first]
	f.end = start
	return nil
}

// createEntryFile writes a file without entries.
func createEntryFile(d disk.FS, dir string) error {
	return disk.WriteFile(d, filepath.Join(dir, logName), []byte(logHeader))
}

// rewrite replaces the file by one with the given encoded entries. Afterwards offsets and end describe a file without
// entries; the caller adds those of raw.
func (f *entryFile) rewrite(raw []byte) error {
	if err := disk.WriteFile(f.disk, f.path, append([]byte(logHeader), raw...)); err != nil {
		return err
	}
	file, err := f.disk.OpenFile(f.path, os.O_RDWR)
	if err != nil {
		return err
	}
	if f.file != nil {
		_ = f.file.Close() // the file has been replaced
	}
	f.file = file
	f.offsets = nil
	f.end = int64(len(logHeader))
	return nil
}

func (f *entryFile) close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.file.Close()
}
