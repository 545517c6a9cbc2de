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

// The log is one file: a head, and records one after the other:
//
//	4 bytes  mark
//	4 bytes  length of the body
//	4 bytes  sum (Castagnoli) of length and body
//	body     index, term (8 bytes each), type (1), length of the extensions (4), extensions, data
const (
	logName  = "log"
	logHead  = "lfcl\x00\x00\x00\x01"
	mark     = "\xc5rec"
	preBytes = 12
	fixBytes = 8 + 8 + 1 + 4

	// RecordMost bounds what a record holds, LogMost the file.
	RecordMost = 256 << 10
	LogMost    = 32 << 20
)

// records is the log's file. Its records have indices without gaps.
type records struct {
	disk disk.FS
	path string

	mu    sync.RWMutex
	file  disk.File
	first uint64  // index of the first record; of no meaning where there is none
	at    []int64 // where each begins
	end   int64   // where the next one will
}

// openRecords reads the file through. What a write left unfinished at its end is cut off. Where a whole
// record follows on one that is not, what was there is lost.
func openRecords(d disk.FS, dir string) (*records, error) {
	s := &records{disk: d, path: filepath.Join(dir, logName), end: int64(len(logHead))}
	raw, err := disk.ReadFile(d, s.path, LogMost)
	if errors.Is(err, fs.ErrNotExist) || err == nil && !bytes.HasPrefix(raw, []byte(logHead)) {
		return nil, &SpoiltError{File: logName, Why: errors.New("it is gone")}
	}
	if err != nil {
		return nil, err
	}
	var before raft.Log
	for int(s.end) < len(raw) {
		r, n, ok := parse(raw[s.end:])
		if !ok {
			if next, found := follows(raw[s.end+1:]); found {
				return nil, &SpoiltError{File: logName, Why: fmt.Errorf("the record at byte %d is not as it was written, %d is there", s.end, next)}
			}
			break
		}
		if len(s.at) > 0 && (r.Index != before.Index+1 || r.Term < before.Term) {
			return nil, &SpoiltError{File: logName, Why: fmt.Errorf("%d of term %d follows %d of %d", r.Index, r.Term, before.Index, before.Term)}
		}
		if len(s.at) == 0 {
			s.first = r.Index
		}
		before = r
		s.at = append(s.at, s.end)
		s.end += int64(n)
	}
	if s.file, err = d.OpenFile(s.path, os.O_RDWR); err != nil {
		return nil, err
	}
	if int(s.end) < len(raw) {
		if err = s.file.Truncate(s.end); err == nil {
			err = s.file.Sync()
		}
		if err != nil {
			s.file.Close()
			return nil, err
		}
	}
	return s, nil
}

// follows looks for a whole record.
func follows(raw []byte) (index uint64, found bool) {
	for {
		i := bytes.Index(raw, []byte(mark))
		if i < 0 {
			return 0, false
		}
		if r, _, ok := parse(raw[i:]); ok {
			return r.Index, true
		}
		raw = raw[i+1:]
	}
}

// parse reads the record at the begin of raw, and its length.
func parse(raw []byte) (r raft.Log, n int, ok bool) {
	if len(raw) < preBytes || string(raw[:4]) != mark {
		return r, 0, false
	}
	n = int(binary.BigEndian.Uint32(raw[4:]))
	if n < fixBytes || n > len(raw)-preBytes {
		return r, 0, false
	}
	body := raw[preBytes : preBytes+n]
	if sumOf(raw[4:8], body) != binary.BigEndian.Uint32(raw[8:]) {
		return r, 0, false
	}
	r.Index, r.Term, r.Type = binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:]), raft.LogType(body[16])
	ext := int(binary.BigEndian.Uint32(body[17:]))
	if ext > n-fixBytes {
		return r, 0, false
	}
	if ext > 0 {
		r.Extensions = bytes.Clone(body[fixBytes : fixBytes+ext])
	}
	r.Data = bytes.Clone(body[fixBytes+ext:])
	return r, preBytes + n, true
}

func sumOf(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// put adds a record's bytes to b.
func put(b []byte, r *raft.Log) []byte {
	begin := len(b)
	b = append(b, mark...)
	b = binary.BigEndian.AppendUint32(b, uint32(fixBytes+len(r.Extensions)+len(r.Data)))
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, r.Index)
	b = binary.BigEndian.AppendUint64(b, r.Term)
	b = append(b, byte(r.Type))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Extensions)))
	b = append(append(b, r.Extensions...), r.Data...)
	binary.BigEndian.PutUint32(b[begin+8:], sumOf(b[begin+4:begin+8], b[begin+preBytes:]))
	return b
}

// bounds gives the first and the last index; 0 is none.
func (s *records) bounds() (first, last uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.at) == 0 {
		return 0, 0
	}
	return s.first, s.first + uint64(len(s.at)) - 1
}

// size is that of the file.
func (s *records) size() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.end
}

// span gives where a record lies.
func (s *records) span(index uint64) (from, to int64, ok bool) {
	if len(s.at) == 0 || index < s.first || index-s.first >= uint64(len(s.at)) {
		return 0, 0, false
	}
	i := int(index - s.first)
	if to = s.end; i+1 < len(s.at) {
		to = s.at[i+1]
	}
	return s.at[i], to, true
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
	x, n, ok := parse(raw)
	if !ok || n != len(raw) || x.Index != index {
		return &SpoiltError{File: logName, Why: fmt.Errorf("record %d is not as it was written", index)}
	}
	*r = x
	return nil
}

// append writes records; with the return they are on the disk.
func (s *records) append(rs []*raft.Log) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b []byte
	var at []int64
	for i, r := range rs {
		if len(s.at) == 0 && i == 0 {
			s.first = r.Index
		}
		if want := s.first + uint64(len(s.at)+i); r.Index != want {
			return fmt.Errorf("record %d comes where %d is due", r.Index, want)
		}
		if len(r.Data)+len(r.Extensions) > RecordMost {
			return fmt.Errorf("a record of %d bytes, %d are the most", len(r.Data)+len(r.Extensions), RecordMost)
		}
		at = append(at, s.end+int64(len(b)))
		b = put(b, r)
	}
	if s.end+int64(len(b)) > LogMost {
		return fmt.Errorf("a log of over %d bytes", LogMost)
	}
	if _, err := s.file.WriteAt(b, s.end); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.at, s.end = append(s.at, at...), s.end+int64(len(b))
	return nil
}

// remove takes records off at the begin or at the end.
func (s *records) remove(from, to uint64) error {
	first, last := s.bounds()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case last == 0 || from > last || to < first || from > to:
		return nil
	case from <= first:
		begin, _, ok := s.span(to + 1)
		if !ok {
			return s.rewrite(nil)
		}
		keep := make([]byte, s.end-begin)
		if _, err := s.file.ReadAt(keep, begin); err != nil {
			return err
		}
		at := s.at[to+1-first:]
		if err := s.rewrite(keep); err != nil {
			return err
		}
		for _, x := range at {
			s.at = append(s.at, s.end+x-begin)
		}
		s.first, s.end = to+1, s.end+int64(len(keep))
		return nil
	case to >= last:
		begin, _, _ := s.span(from)
		if err := s.file.Truncate(begin); err != nil {
			return err
		}
		if err := s.file.Sync(); err != nil {
			return err
		}
		s.at, s.end = s.at[:from-first], begin
		return nil
	}
	return fmt.Errorf("records %d to %d are in the middle", from, to)
}

// newRecords makes an empty log.
func newRecords(d disk.FS, dir string) error {
	return disk.WriteFile(d, filepath.Join(dir, logName), []byte(logHead))
}

// rewrite puts another file in the log's place. It leaves it without records to the caller's sight.
func (s *records) rewrite(raw []byte) error {
	if err := disk.WriteFile(s.disk, s.path, append([]byte(logHead), raw...)); err != nil {
		return err
	}
	file, err := s.disk.OpenFile(s.path, os.O_RDWR)
	if err != nil {
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.at, s.end = file, nil, int64(len(logHead))
	return nil
}

func (s *records) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.file.Close()
}
