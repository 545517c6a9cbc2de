// Package faulty is a file system that fails as disks do, for plays of the stand-in platform: the
// program that is built with the tag lab puts it under what a node keeps, and the platform drives it
// by a folder that an environment variable names. The deployed program has none of it.
//
// Since the end of a process loses nothing that it wrote, the layer notes beforehand how to undo each
// step. What a loss of power leaves is made by Lose, once the process is dead: it undoes all that no
// honest sync has brought to the disk. A sync counts for all that was written before, as a flush of the
// device's own buffer does.
package faulty

import (
	"encoding/json"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sloestile/internal/store/disk"
)

// EnvVariable names, in the environment of a process, the folder by which its disk is driven.
const EnvVariable = "LAB_DISK"

const (
	faultsName = "faults.json"
	look       = 10 * time.Millisecond // how often a step that is held up looks whether it may go on
)

// Faults is what is wrong with a disk at one time; its zero is nothing.
type Faults struct {
	LostFsyncs     bool    `json:"Lies"` // a sync says yes and brings nothing to the disk
	Full           bool    // half of a write is taken
	ReadOnly       bool    // nothing can be changed
	Stalled        bool    // each step waits until this is over
	ErrorFraction  float64 `json:"Errors"` // part of the steps that fail
	BitRotFraction float64 `json:"Turned"` // part of the reads in which one bit is turned
	Seed           uint64  // draws which
}

// SetFaults puts faults in force for the process that is driven by a folder, from its next step on.
func SetFaults(dir string, f Faults) error {
	raw, err := json.Marshal(f)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, faultsName)
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// FS is a file system that fails as its faults say. Folders that are made are not undone.
type FS struct {
	under   disk.FS
	dir     string // by which it is driven
	mu      sync.Mutex
	journal *journal
	open    map[string]*inode // files that are open, by their names now
	drawn   Faults            // those that rng was made for
	rng     *rand.Rand
}

// inode is a file that is open, under the name that it has now; "" is that it has none any more.
type inode struct {
	name string
	refs int
}

var _ disk.FS = (*FS)(nil)

// New puts a file system that is driven by a folder over another.
func New(under disk.FS, dir string) (*FS, error) {
	j, err := openJournal(dir)
	if err != nil {
		return nil, err
	}
	return &FS{under: under, dir: dir, journal: j, open: make(map[string]*inode)}, nil
}

// now gives the faults in force; it waits while the disk stands still.
func (d *FS) now() (f Faults) {
	for {
		raw, err := os.ReadFile(filepath.Join(d.dir, faultsName))
		f = (Faults{})
		if err != nil || json.Unmarshal(raw, &f) != nil || !f.Stalled {
			return f
		}
		time.Sleep(look)
	}
}

// step begins a step: it waits while the disk stands still, and fails where the step is to. The
// caller holds no lock.
func (d *FS) step(op, name string, changes bool) (Faults, error) {
	f := d.now()
	fail := func(err error) (Faults, error) { return f, &fs.PathError{Op: op, Path: name, Err: err} }
	if f.ReadOnly && changes {
		return fail(syscall.EROFS)
	}
	if d.draw(f, f.ErrorFraction) {
		return fail(syscall.EIO)
	}
	return f, nil
}

// draw returns true for a fraction of its calls, by chance.
func (d *FS) draw(f Faults, part float64) bool {
	if part <= 0 {
		return false
	}
	return d.random(f, func(r *rand.Rand) int {
		if r.Float64() < part {
			return 1
		}
		return 0
	}) == 1
}

func (d *FS) random(f Faults, of func(*rand.Rand) int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rng == nil || d.drawn != f {
		d.rng, d.drawn = rand.New(rand.NewPCG(f.Seed, 0)), f
	}
	return of(d.rng)
}

// OpenFile opens a file or makes it.
func (d *FS) OpenFile(name string, flag int) (disk.File, error) {
	writes := flag&(os.O_WRONLY|os.O_RDWR) != 0
	f, err := d.step("open", name, writes)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s, err := os.Stat(name)
	switch {
	case errors.Is(err, fs.ErrNotExist) && flag&os.O_CREATE != 0:
		if f.Full {
			return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
		}
		err = d.journal.add(undo{Kind: made, Name: name})
	case err == nil && flag&os.O_TRUNC != 0 && s.Size() > 0 && s.Mode().IsRegular():
		err = d.journal.keep(undo{Kind: emptied, Name: name}, name)
	default:
		under, err := d.under.OpenFile(name, flag)
		return d.opened(under, err, name, flag)
	}
	if err != nil {
		return nil, err
	}
	under, err := d.under.OpenFile(name, flag)
	if err != nil {
		err = errors.Join(err, d.journal.drop())
	}
	return d.opened(under, err, name, flag)
}

func (d *FS) opened(under disk.File, err error, name string, flag int) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	i := d.open[name]
	if i == nil {
		i = &inode{name: name}
		d.open[name] = i
	}
	i.refs++
	return &file{File: under, fs: d, name: name, inode: i, appends: flag&os.O_APPEND != 0}, nil
}

// MkdirAll makes a folder and those above it.
func (d *FS) MkdirAll(dir string) error {
	if _, err := d.step("mkdir", dir, true); err != nil {
		return err
	}
	return d.under.MkdirAll(dir)
}

// Rename puts a file in another's place.
func (d *FS) Rename(from, to string) error {
	if _, err := d.step("rename", from, true); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.journal.keep(undo{Kind: moved, Name: from, To: to}, to); err != nil {
		return err
	}
	if err := d.under.Rename(from, to); err != nil {
		return errors.Join(err, d.journal.drop())
	}
	d.forget(to)
	if i := d.open[from]; i != nil {
		i.name, d.open[to] = to, i
		delete(d.open, from)
	}
	return nil
}

// forget takes a name from the file that has it.
func (d *FS) forget(name string) {
	if i := d.open[name]; i != nil {
		i.name = ""
		delete(d.open, name)
	}
}

// Remove removes a file or an empty folder.
func (d *FS) Remove(name string) error {
	if _, err := d.step("remove", name, true); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, err := os.Stat(name); err != nil || s.IsDir() {
		return d.under.Remove(name)
	}
	if err := d.journal.keep(undo{Kind: removed, Name: name}, name); err != nil {
		return err
	}
	if err := d.under.Remove(name); err != nil {
		return errors.Join(err, d.journal.drop())
	}
	d.forget(name)
	return nil
}

// ReadDirNames gives names of what is in a folder.
func (d *FS) ReadDirNames(dir string, most int) ([]string, error) {
	if _, err := d.step("readdir", dir, false); err != nil {
		return nil, err
	}
	return d.under.ReadDirNames(dir, most)
}

// SyncDir brings a folder's names to the disk, or says so.
func (d *FS) SyncDir(dir string) error {
	return d.sync(dir, func() error { return d.under.SyncDir(dir) })
}

func (d *FS) sync(name string, under func() error) error {
	f, err := d.step("sync", name, false)
	if err != nil || f.LostFsyncs {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := under(); err != nil {
		return err
	}
	return d.journal.add(undo{Kind: synced})
}
