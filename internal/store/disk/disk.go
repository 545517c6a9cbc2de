// Package disk is the file layer under all that a node persists: the state folder and the consensus log. It is as little
// of a file system as those need, so that tests can cut it off at any moment and the testbed can replace it by a faulty
// one.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is a file system. What it creates is readable by its owner alone. It is safe for concurrent use.
type FS interface {
	OpenFile(name string, flag int) (File, error) // flag as of os.OpenFile
	MkdirAll(dir string) error
	Rename(from, to string) error
	Remove(name string) error                            // a file or an empty folder
	ReadDirNames(dir string, most int) ([]string, error) // up to most of what is in a folder
	SyncDir(dir string) error                            // makes a folder's names durable
}

// File is an open file. *os.File has all of it but Allocate.
type File interface {
	io.Reader
	io.Writer
	io.ReaderAt
	io.WriterAt
	io.Closer
	Stat() (fs.FileInfo, error)
	Sync() error
	Truncate(size int64) error
	Allocate(size int64) error // grows it to a size with zeros, with room on the disk where that can be had
}

// Local is the local file system.
type Local struct{}

var _ FS = Local{}

type file struct{ *os.File }

// OpenFile opens a file or makes it.
func (Local) OpenFile(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

// Allocate grows a file; one that is as large already stays.
func (f file) Allocate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if !errors.Is(err, syscall.EOPNOTSUPP) {
		return err
	}
	s, err := f.Stat()
	if err != nil || s.Size() >= size {
		return err
	}
	return f.Truncate(size)
}

// MkdirAll makes a folder and those above it.
func (Local) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Rename puts a file in another's place.
func (Local) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file or an empty folder.
func (Local) Remove(name string) error { return os.Remove(name) }

// ReadDirNames returns names of what is in a folder, in no order.
func (Local) ReadDirNames(dir string, most int) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	names, err := f.Readdirnames(most)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return names, err
}

// SyncDir makes a folder's names durable.
func (Local) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// ReadFile reads a whole file. It is an error if the file has more than limit bytes or is not a regular file.
func ReadFile(d FS, name string, limit int64) ([]byte, error) {
	f, err := d.OpenFile(name, os.O_RDONLY)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a regular file", filepath.Base(name))
	}
	raw, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err == nil && int64(len(raw)) > limit {
		err = fmt.Errorf("%s has more than %d bytes", filepath.Base(name), limit)
	}
	return raw, err
}

// WriteFile replaces a file by way of another one beside it: when it returns without an error the file is durable. After
// an error the disk holds the file before, or this one.
func WriteFile(d FS, name string, raw []byte) error {
	beside := name + ".new"
	f, err := d.OpenFile(beside, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := d.Rename(beside, name); err != nil {
		return err
	}
	return d.SyncDir(filepath.Dir(name))
}
