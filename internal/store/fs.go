package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// FS is the file layer: as little of a file system as the store needs, so that tests can take it
// away at any moment.
type FS interface {
	Create(name string) (File, error) // one that is there is emptied
	Rename(from, to string) error
	Remove(name string) error
	Read(name string, most int64) ([]byte, error) // an error beyond most
	Names(dir string, most int) ([]string, error) // up to most of them
	SyncDir(dir string) error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the machine's own.
type Disk struct{}

var _ FS = Disk{}

// Create makes a file that others can't read.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename puts a file in another's place.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file or an empty folder.
func (Disk) Remove(name string) error { return os.Remove(name) }

// Read reads a file whole; one that is no plain file is an error.
func (Disk) Read(name string, most int64) (raw []byte, err error) {
	f, err := os.Open(name)
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

// Names gives names of what is in a folder.
func (Disk) Names(dir string, most int) ([]string, error) {
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
func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
