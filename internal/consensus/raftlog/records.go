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

// The log is one file: a header, and records one after the other:
//
//	4 bytes  magic
//	4 bytes  length of the body
//	4 bytes  checksum (Castagnoli) of length and body
//	body     index, term (8 bytes each), type (1), length of the extensions (4), extensions, data
//
// Numbers are big endian.
const (
	logName         = "log"
	logHead         = "lfcl\x00\x00\x00\x01"
	recordMagic     = "\xc5rec"
	recordHeadBytes = 12
	bodyHeadBytes   = 8 + 8 + 1 + 4

	// MaxRecordBytes is the size of a record's data and extensions at most, MaxLogBytes that of the file.
	MaxEntryBytes = 256 << 10
	MaxLogBytes   = 32 << 20
)

// records is the log's file. Its records have indices without gaps.
type records struct {
	disk disk.FS
	path string

	mu      sync.RWMutex
	file    disk.File
	first   uint64  // index of the first record; without meaning where there is none
	offsets []int64 // where each record begins
	end     int64   // where the next one will
}

// openRecords reads the file through. What a write left unfinished at its end is cut off. Where a complete record follows
// on one that is not, what was there is lost: the file is corrupt.
func openRecords(d disk.FS, dir string) (*records, error) {
	s := &records{disk: d, path: filepath.Join(dir, logName), end: int64(len(logHead))}
	raw, err := disk.ReadFile(d, s.path, MaxLogBytes)
	if errors.Is(err, fs.ErrNotExist) || (err == nil && !bytes.HasPrefix(raw, []byte(logHead))) {
		return nil, &CorruptError{File: logName, Err: errMissing}
	}
	if err != nil {
		return nil, err
	}
	if err := s.scan(raw); err != nil {
		return nil, err
	}
	if s.file, err = d.OpenFile(s.path, os.O_RDWR); err != nil {
		return nil, err
	}
	if int(s.end) < len(raw) {
		if err := s.truncate(s.end); err != nil {
			_ = s.file.Close() // the error is that of the disk
			return nil, err
		}
	}
	return s, nil
}

// scan finds the records of the file's content.
func (s *records) scan(raw []byte) error {
	var before raft.Log
	for int(s.end) < len(raw) {
		r, n, ok := parseRecord(raw[s.end:])
		if !ok {
			if next, found := findRecord(raw[s.end+1:]); found {
				return &CorruptError{File: logName, Err: fmt.Errorf("the record at byte %d is not as it was written, %d is there", s.end, next)}
			}
			return nil
		}
		if len(s.offsets) == 0 {
			s.first = r.Index
		} else if r.Index != before.Index+1 || r.Term < before.Term {
			return &CorruptError{File: logName, Err: fmt.Errorf("%d of term %d follows %d of %d", r.Index, r.Term, before.Index, before.Term)}
		}
		before = r
		s.offsets = append(s.offsets, s.end)
		s.end += int64(n)
	}
	return nil
}

// truncate cuts the file off and makes that durable.
func (s *records) truncate(size int64) error {
	if err := s.file.Truncate(size); err != nil {
		return err
	}
	return s.file.Sync()
}

// findRecord looks for a complete record and returns its index.
func findRecord(raw []byte) (index uint64, found bool) {
	for {
		i := bytes.Index(raw, []byte(recordMagic))
		if i < 0 {
			return 0, false
		}
		if r, _, ok := parseRecord(raw[i:]); ok {
			return r.Index, true
		}
		raw = raw[i+1:]
	}
}

// parseRecord reads the record at the beginning of raw, and its length; ok is false where it is not complete.
func parseRecord(raw []byte) (r raft.Log, n int, ok bool) {
	if len(raw) < recordHeadBytes || string(raw[:4]) != recordMagic {
		return r, 0, false
	}
	n = int(binary.BigEndian.Uint32(raw[4:]))
	if n < bodyHeadBytes || n > len(raw)-recordHeadBytes {
		return r, 0, false
	}
	body := raw[recordHeadBytes : recordHeadBytes+n]
	if checksum(raw[4:8], body) != binary.BigEndian.Uint32(raw[8:]) {
		return r, 0, false
	}
	r.Index = binary.BigEndian.Uint64(body)
	r.Term = binary.BigEndian.Uint64(body[8:])
	r.Type = raft.LogType(body[16])
	extensions := int(binary.BigEndian.Uint32(body[17:]))
	if extensions > n-bodyHeadBytes {
		return r, 0, false
	}
	if extensions > 0 {
		r.Extensions = bytes.Clone(body[bodyHeadBytes : bodyHeadBytes+extensions])
	}
	r.Data = bytes.Clone(body[bodyHeadBytes+extensions:])
	return r, recordHeadBytes + n, true
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// appendRecord appends a record's bytes to b.
func appendRecord(b []byte, r *raft.Log) []byte {
	begin := len(b)
	b = append(b, recordMagic...)
	b = binary.BigEndian.AppendUint32(b, uint32(bodyHeadBytes+len(r.Extensions)+len(r.Data)))
	b = append(b, 0, 0, 0, 0) // the checksum
	b = binary.BigEndian.AppendUint64(b, r.Index)
	b = binary.BigEndian.AppendUint64(b, r.Term)
	b = append(b, byte(r.Type))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Extensions)))
	b = append(b, r.Extensions...)
	b = append(b, r.Data...)
	sum := checksum(b[begin+4:begin+8], b[begin+recordHeadBytes:])
	binary.BigEndian.PutUint32(b[begin+8:], sum)
	return b
}

// bounds returns the first and the last index; 0 is none.
func (s *records) bounds() (first, last uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.offsets) == 0 {
		return 0, 0
	}
	return s.first, s.first + uint64(len(s.offsets)) - 1
}

// size returns the size of the file.
func (s *records) size() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.end
}

// span returns where a record lies. The caller holds s.mu.
func (s *records) span(index uint64) (from, to int64, ok bool) {
	if len(s.offsets) == 0 || index < s.first || index-s.first >= uint64(len(s.offsets)) {
		return 0, 0, false
	}
	i := int(index - s.first)
	to = s.end
	if i+1 < len(s.offsets) {
		to = s.offsets[i+1]
	}
	return s.offsets[i], to, true
}

// get reads a record.
func (s *records) get(index uint64, r *raft.Log) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	from, to, ok := s.span(index)
	if !ok {
		return raft.ErrLogNotFound
	}
	raw := make([]byte, to-from)
	if _, err := s.file.ReadAt(raw, from); err != nil {
		return err
	}
	record, n, ok := parseRecord(raw)
	if !ok || n != len(raw) || record.Index != index {
		return &CorruptError{File: logName, Err: fmt.Errorf("record %d is not as it was written", index)}
	}
	*r = record
	return nil
}

// append writes records; they are durable when it returns.
func (s *records) append(list []*raft.Log) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b []byte
	var offsets []int64
	for i, r := range list {
		if len(s.offsets) == 0 && i == 0 {
			s.first = r.Index
		}
		if want := s.first + uint64(len(s.offsets)+i); r.Index != want {
			return fmt.Errorf("record %d comes where %d is due", r.Index, want)
		}
		if size := len(r.Data) + len(r.Extensions); size > MaxEntryBytes {
			return fmt.Errorf("record of %d bytes, over %d", size, MaxEntryBytes)
		}
		offsets = append(offsets, s.end+int64(len(b)))
		b = appendRecord(b, r)
	}
	if s.end+int64(len(b)) > MaxLogBytes {
		return fmt.Errorf("log of over %d bytes", MaxLogBytes)
	}
	if _, err := s.file.WriteAt(b, s.end); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.offsets = append(s.offsets, offsets...)
	s.end += int64(len(b))
	return nil
}

// remove removes records at the beginning or at the end.
func (s *records) remove(from, to uint64) error {
	first, last := s.bounds()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case last == 0 || from > last || to < first || from > to:
		return nil
	case from <= first:
		return s.removeUpTo(to)
	case to >= last:
		return s.removeFrom(from)
	}
	return fmt.Errorf("records %d to %d are in the middle", from, to)
}

// removeUpTo rewrites the file without the first records.
func (s *records) removeUpTo(to uint64) error {
	begin, _, ok := s.span(to + 1)
	if !ok {
		return s.rewrite(nil)
	}
	kept := make([]byte, s.end-begin)
	if _, err := s.file.ReadAt(kept, begin); err != nil {
		return err
	}
	offsets := s.offsets[to+1-s.first:]
	if err := s.rewrite(kept); err != nil {
		return err
	}
	for _, offset := range offsets {
		s.offsets = append(s.offsets, s.end+offset-begin)
	}
	s.first = to + 1
	s.end += int64(len(kept))
	return nil
}

// removeFrom cuts the last records off.
func (s *records) removeFrom(from uint64) error {
	begin, _, _ := s.span(from)
	if err := s.truncate(begin); err != nil {
		return err
	}
	s.offsets = s.offsets[:from-s.first]
	s.end = begin
	return nil
}

// newRecords makes an empty log.
func newRecords(d disk.FS, dir string) error {
	return disk.WriteFile(d, filepath.Join(dir, logName), []byte(logHead))
}

// rewrite replaces the file. To its caller the log then has no records.
func (s *records) rewrite(raw []byte) error {
	if err := disk.WriteFile(s.disk, s.path, append([]byte(logHead), raw...)); err != nil {
		return err
	}
	file, err := s.disk.OpenFile(s.path, os.O_RDWR)
	if err != nil {
		return err
	}
	if s.file != nil {
		_ = s.file.Close() // it has been replaced
	}
	s.file = file
	s.offsets = nil
	s.end = int64(len(logHead))
	return nil
}

func (s *records) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.file.Close()
}
