package faulty

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"syscall"

	"sloestile/internal/store/disk"
)

// file is an open file of a disk that fails.
type file struct {
	disk.File
	fs      *FS
	name    string // that it was opened by
	inode   *inode
	at      int64 // where Read and Write go on
	appends bool
}

func (f *file) Read(b []byte) (int, error) {
	now, err := f.fs.step("read", f.name, false)
	if err != nil {
		return 0, err
	}
	n, err := f.File.Read(b)
	f.at += int64(n)
	f.flipBit(now, b[:n])
	return n, err
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	now, err := f.fs.step("read", f.name, false)
	if err != nil {
		return 0, err
	}
	n, err := f.File.ReadAt(b, at)
	f.flipBit(now, b[:n])
	return n, err
}

// flipBit flips one bit of what was read, in a fraction of the reads.
func (f *file) flipBit(now Faults, b []byte) {
	if len(b) > 0 && f.fs.draw(now, now.BitRotFraction) {
		bit := f.fs.random(now, func(r *rand.Rand) int { return r.IntN(8 * len(b)) })
		b[bit/8] ^= 1 << (bit % 8)
	}
}

func (f *file) Write(b []byte) (int, error) {
	n, err := f.change("write", f.at, b, func(b []byte) (int, error) { return f.File.Write(b) })
	f.at += int64(n)
	return n, err
}

func (f *file) WriteAt(b []byte, at int64) (int, error) {
	return f.change("write", at, b, func(b []byte) (int, error) { return f.File.WriteAt(b, at) })
}

// change notes how to undo a write, and makes it; a full disk takes half.
func (f *file) change(op string, at int64, b []byte, write func([]byte) (int, error)) (int, error) {
	now, err := f.fs.step(op, f.name, true)
	if err != nil {
		return 0, err
	}
	if now.Full {
		b = b[:len(b)/2]
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.appends {
		if at, err = f.size(); err != nil {
			return 0, err
		}
	}
	if err := f.note(at, int64(len(b)), int64(len(b))); err != nil {
		return 0, err
	}
	n, err := write(b)
	if err == nil && now.Full {
		err = f.full(op)
	}
	return n, err
}

func (f *file) full(op string) error {
	return &fs.PathError{Op: op, Path: f.name, Err: syscall.ENOSPC}
}

func (f *file) size() (int64, error) {
	s, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return s.Size(), nil
}

// note keeps what stands in a part of the file that is about to change, and the file's size.
func (f *file) note(at, span, wrote int64) error {
	if f.inode.name == "" { // nothing of it outlives the process
		return nil
	}
	size, err := f.size()
	if err != nil {
		return err
	}
	old := make([]byte, max(0, min(at+span, size)-at))
	if len(old) > 0 { // by a handle of its own: this one may be for writing alone
		r, err := f.fs.under.OpenFile(f.inode.name, 0)
		if err != nil {
			return err
		}
		defer func() { _ = r.Close() }()
		if n, err := r.ReadAt(old, at); n < len(old) && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return f.fs.journal.add(undo{Kind: changed, Name: f.inode.name, At: at, Size: size, Wrote: wrote, Old: old})
}

func (f *file) Truncate(size int64) error {
	return f.resize("truncate", size, f.File.Truncate)
}

func (f *file) Allocate(size int64) error {
	return f.resize("allocate", size, f.File.Allocate)
}

func (f *file) resize(op string, size int64, under func(int64) error) error {
	now, err := f.fs.step(op, f.name, true)
	if err != nil {
		return err
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	have, err := f.size()
	if err != nil {
		return err
	}
	if now.Full && size > have {
		return f.full(op)
	}
	if err := f.note(size, max(0, have-size), 0); err != nil {
		return err
	}
	return under(size)
}

// Sync brings the file to the disk, or says so.
func (f *file) Sync() error { return f.fs.sync(f.name, f.File.Sync) }

func (f *file) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.inode.refs--
	if f.inode.refs == 0 && f.inode.name != "" {
		delete(f.fs.open, f.inode.name)
	}
	return f.File.Close()
}
