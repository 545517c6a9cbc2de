package faulty

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"syscall"

	"sloestile/internal/store/disk"
)

// file is an open file with faults.
type file struct {
	disk.File
	fs         *FS
	name       string // name with which the file was opened
	inode      *inode
	offset     int64 // position of the next Read or Write
	appendMode bool
}

func (f *file) Read(b []byte) (int, error) {
	faults, err := f.fs.beginOperation("read", f.name, false)
	if err != nil {
		return 0, err
	}
	n, err := f.File.Read(b)
	f.offset += int64(n)
	f.flipBit(faults, b[:n])
	return n, err
}

func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	faults, err := f.fs.beginOperation("read", f.name, false)
	if err != nil {
		return 0, err
	}
	n, err := f.File.ReadAt(b, offset)
	f.flipBit(faults, b[:n])
	return n, err
}

// flipBit flips one bit of the bytes read, in the fraction of reads that the faults set.
func (f *file) flipBit(faults Faults, b []byte) {
	if len(b) > 0 && f.fs.chance(faults, faults.BitRotFraction) {
		bit := f.fs.random(faults, func(r *rand.Rand) int { return r.IntN(8 * len(b)) })
		b[bit/8] ^= 1 << (bit % 8)
	}
}

func (f *file) Write(b []byte) (int, error) {
	n, err := f.modify("write", f.offset, b, func(b []byte) (int, error) { return f.File.Write(b) })
	f.offset += int64(n)
	return n, err
}

func (f *file) WriteAt(b []byte, offset int64) (int, error) {
	return f.modify("write", offset, b, func(b []byte) (int, error) { return f.File.WriteAt(b, offset) })
}

// modify records how to undo a write and performs it. On a full disk it writes half of the bytes and fails.
func (f *file) modify(op string, offset int64, b []byte, write func([]byte) (int, error)) (int, error) {
	faults, err := f.fs.beginOperation(op, f.name, true)
	if err != nil {
		return 0, err
	}
	if faults.Full {
		b = b[:len(b)/2]
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.appendMode {
		if offset, err = f.size(); err != nil {
			return 0, err
		}
	}
	if err := f.recordChange(offset, int64(len(b)), int64(len(b))); err != nil {
		return 0, err
	}
	n, err := write(b)
	if err == nil && faults.Full {
		err = f.noSpaceError(op)
	}
	return n, err
}

// noSpaceError returns the error of an operation on a full disk.
func (f *file) noSpaceError(op string) error {
	return &fs.PathError{Op: op, Path: f.name, Err: syscall.ENOSPC}
}

// size returns the current size of the file in bytes.
func (f *file) size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// recordChange adds a record to the undo log before a change of the file: the bytes in the range that changes, and the
// size of the file. writeBytes is the length of a write, or 0 for another change.
func (f *file) recordChange(offset, length, writeBytes int64) error {
	if f.inode.name == "" { // the file has no name, so it does not outlive the process
		return nil
	}
	size, err := f.size()
	if err != nil {
		return err
	}
	old := make([]byte, max(0, min(offset+length, size)-offset))
	if len(old) > 0 { // with another handle, because this one may be write-only
		r, err := f.fs.base.OpenFile(f.inode.name, 0)
		if err != nil {
			return err
		}
		defer func() { _ = r.Close() }()
		if n, err := r.ReadAt(old, offset); n < len(old) && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return f.fs.undoLog.add(undoRecord{Kind: kindChange, Name: f.inode.name, Offset: offset, OldSize: size, WriteBytes: writeBytes, OldData: old})
}

func (f *file) Truncate(size int64) error {
	return f.resize("truncate", size, f.File.Truncate)
}

func (f *file) Allocate(size int64) error {
	return f.resize("allocate", size, f.File.Allocate)
}

// resize records how to undo a change of size and performs it. On a full disk the file cannot grow.
func (f *file) resize(op string, size int64, resizeBase func(int64) error) error {
	faults, err := f.fs.beginOperation(op, f.name, true)
	if err != nil {
		return err
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	oldSize, err := f.size()
	if err != nil {
		return err
	}
	if faults.Full && size > oldSize {
		return f.noSpaceError(op)
	}
	if err := f.recordChange(size, max(0, oldSize-size), 0); err != nil {
		return err
	}
	return resizeBase(size)
}

// Sync makes the file durable, unless fsyncs are lost.
func (f *file) Sync() error { return f.fs.sync(f.name, f.File.Sync) }

func (f *file) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.inode.refs--
	if f.inode.refs == 0 && f.inode.name != "" {
		delete(f.fs.openFiles, f.inode.name)
	}
	return f.File.Close()
}
