// Package disk is the file layer under all that a node keeps: the state folder and the log of
// agreement. It is as little of a file system as those need, so that a test can take it away at any
// moment and the stand-in platform can put one in its place that fails as disks do.
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

// FS is a file system. What is made can be read by its owner alone. It is safe for concurrent use.
type FS interface {
	OpenFile(name string, flag int) (File, error) // flag as of os.OpenFile
	MkdirAll(dir string) error
	Rename(from, to string) error
	Remove(name string) error                     // a file or an empty folder
	Names(dir string, most int) ([]string, error) // up to most of what is in a folder
	SyncDir(dir string) error                     // brings a folder's names to the disk
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
	Allocate(size int64) error // grows it to a size, zeros, with room on the disk where that can be had
}

// Machine is the machine's own file system.
type Machine struct{}

var _ FS = Machine{}

type file struct{ *os.File }

// OpenFile opens a file or makes it.
func (Machine) OpenFile(name string, flag int) (File, error) {
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
func (Machine) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Rename puts a file in another's place.
func (Machine) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file or an empty folder.
func (Machine) Remove(name string) error { return os.Remove(name) }

// Names gives names of what is in a folder, in no order.
func (Machine) Names(dir string, most int) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names, err := f.Readdirnames(most)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return names, err
}

// SyncDir brings a folder's names to the disk.
func (Machine) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// ReadFile reads a file whole; one that holds more than most bytes or is no plain file is an error.
func ReadFile(d FS, name string, most int64) (raw []byte, err error) {
	f, err := d.OpenFile(name, os.O_RDONLY)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if s, err := f.Stat(); err != nil {
		return nil, err
	} else if !s.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is no plain file", filepath.Base(name))
	}
	raw, err = io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(raw)) > most {
		err = fmt.Errorf("%s holds more than %d bytes", filepath.Base(name), most)
	}
	return raw, err
}

// WriteFile puts a file in place whole, by way of another beside it: when it returns without an error
// the file is on the disk, whatever becomes of the machine. After an error the one before is, or
// this one.
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
