// Package disk defines the file system interface for all data that a node persists: its state and the log of the
// consensus group. FS has only the operations that these need, so that tests can simulate a crash at any operation and
// the testbed can use a faulty disk. Local is the implementation on the local file system.
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

// FS is a file system. The files and directories that it creates are accessible to their owner only. It is safe for
// concurrent use.
type FS interface {
	OpenFile(name string, flag int) (File, error) // the flags are those of os.OpenFile
	MkdirAll(dir string) error
	Rename(from, to string) error                         // replaces an existing file
	Remove(name string) error                             // removes a file or an empty directory
	ReadDirNames(dir string, limit int) ([]string, error) // returns at most limit names, in no particular order
	SyncDir(dir string) error                             // makes the names in a directory durable
}

// File is an open file. *os.File has all its methods except Allocate.
type File interface {
	io.Reader
	io.Writer
	io.ReaderAt
	io.WriterAt
	io.Closer
	Stat() (fs.FileInfo, error)
	Sync() error
	Truncate(size int64) error
	// Allocate extends the file with zeros to a size, if it is smaller. It reserves the disk space if the file system
	// can.
	Allocate(size int64) error
}

// Local is the local file system.
type Local struct{}

var _ FS = Local{}

// localFile is an open file of Local.
type localFile struct{ *os.File }

// OpenFile opens a file, and creates it if the flags say so.
func (Local) OpenFile(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return localFile{f}, nil
}

// Allocate extends a file to a size. A file that has this size already is not changed.
func (f localFile) Allocate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if !errors.Is(err, syscall.EOPNOTSUPP) {
		return err
	}
	info, err := f.Stat()
	if err != nil || info.Size() >= size {
		return err
	}
	return f.Truncate(size)
}

// MkdirAll creates a directory and its parents.
func (Local) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Rename renames a file. It replaces an existing one.
func (Local) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file or an empty directory.
func (Local) Remove(name string) error { return os.Remove(name) }

// ReadDirNames returns at most limit names of the entries in a directory, in no particular order.
func (Local) ReadDirNames(dir string, limit int) ([]string, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	names, err := f.Readdirnames(limit)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return names, err
}

// SyncDir makes the names in a directory durable.
func (Local) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// ReadFile reads a file. It fails if the file has more than limit bytes or is not a regular file.
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

// WriteFile replaces a file: it writes a temporary file in the same directory, syncs it and renames it. When the error
// is nil, the new file is durable. Otherwise the disk has the previous file or the new one.
func WriteFile(d FS, name string, raw []byte) error {
	tempName := name + ".new"
	f, err := d.OpenFile(tempName, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
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
	if err := d.Rename(tempName, name); err != nil {
		return err
	}
	return d.SyncDir(filepath.Dir(name))
}
