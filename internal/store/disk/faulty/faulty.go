// Package faulty simulates a faulty disk. A program built with the tag lab uses its FS for all data that a node
// persists, and the testbed controls the faults with SetFaults through a directory, the fault directory, whose name the
// process gets in an environment variable. The deployed program does not contain this package.
//
// A process that is killed does not lose what it has written to files. To simulate a loss of power, FS therefore
// records before each change how to undo it. When the process has ended, SimulatePowerLoss undoes all changes since the
// last sync that was not a lost fsync. A sync of any file or directory makes all earlier changes durable, as a flush of
// the disk's write cache does.
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

// EnvVariable is the environment variable that contains the fault directory of a process.
const EnvVariable = "LAB_DISK"

const (
	faultsName        = "faults.json"
	stallPollInterval = 10 * time.Millisecond // interval at which a stalled operation checks whether the stall has ended
)

// Faults are the faults of a disk at one time. The zero value means none.
type Faults struct {
	LostFsyncs     bool    `json:"Lies"` // syncs succeed, but make nothing durable
	Full           bool    // the disk is full: a write writes half of its bytes and fails
	ReadOnly       bool    // changes fail
	Stalled        bool    // operations wait until Stalled is false
	ErrorFraction  float64 `json:"Errors"` // fraction of the operations that fail, from 0 to 1
	BitRotFraction float64 `json:"Turned"` // fraction of the reads in which one bit is flipped, from 0 to 1
	Seed           uint64  // seed of the random numbers for both fractions
}

// SetFaults sets the faults of the process with the given fault directory. They apply from its next operation on.
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

// FS is a file system with the faults that SetFaults sets. A power loss does not undo the creation and removal of
// directories.
type FS struct {
	base      disk.FS
	dir       string // fault directory
	mu        sync.Mutex
	undoLog   *undoLog
	openFiles map[string]*inode // open files by their current names
	rngFaults Faults            // faults for which rng was created
	rng       *rand.Rand
}

// inode is a file with open handles and its current name, which is "" if the file has been removed or replaced.
type inode struct {
	name string
	refs int
}

var _ disk.FS = (*FS)(nil)

// New returns a file system with the faults of a fault directory on top of another file system.
func New(base disk.FS, dir string) (*FS, error) {
	l, err := openUndoLog(dir)
	if err != nil {
		return nil, err
	}
	return &FS{base: base, dir: dir, undoLog: l, openFiles: make(map[string]*inode)}, nil
}

// currentFaults returns the faults that are set now. It waits while the disk is stalled.
func (d *FS) currentFaults() (f Faults) {
	for {
		raw, err := os.ReadFile(filepath.Join(d.dir, faultsName))
		f = (Faults{})
		if err != nil || json.Unmarshal(raw, &f) != nil || !f.Stalled {
			return f
		}
		time.Sleep(stallPollInterval)
	}
}

// beginOperation waits while the disk is stalled, and returns an error if the operation has to fail. The caller does
// not hold d.mu.
func (d *FS) beginOperation(op, name string, modifies bool) (Faults, error) {
	f := d.currentFaults()
	fail := func(err error) (Faults, error) { return f, &fs.PathError{Op: op, Path: name, Err: err} }
	if f.ReadOnly && modifies {
		return fail(syscall.EROFS)
	}
	if d.chance(f, f.ErrorFraction) {
		return fail(syscall.EIO)
	}
	return f, nil
}

// chance returns true with the given probability.
func (d *FS) chance(f Faults, probability float64) bool {
	if probability <= 0 {
		return false
	}
	return d.random(f, func(r *rand.Rand) int {
		if r.Float64() < probability {
			return 1
		}
		return 0
	}) == 1
}

// random calls draw with the random numbers for the faults f and returns its result. When the faults change, the random
// numbers begin again from their seed.
func (d *FS) random(f Faults, draw func(*rand.Rand) int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rng == nil || d.rngFaults != f {
		d.rng, d.rngFaults = rand.New(rand.NewPCG(f.Seed, 0)), f
	}
	return draw(d.rng)
}

// OpenFile opens a file, and creates it if the flags say so.
func (d *FS) OpenFile(name string, flag int) (disk.File, error) {
	writes := flag&(os.O_WRONLY|os.O_RDWR) != 0
	f, err := d.beginOperation("open", name, writes)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	info, err := os.Stat(name)
	switch {
	case errors.Is(err, fs.ErrNotExist) && flag&os.O_CREATE != 0:
		if f.Full {
			return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
		}
		err = d.undoLog.add(undoRecord{Kind: kindCreate, Name: name})
	case err == nil && flag&os.O_TRUNC != 0 && info.Size() > 0 && info.Mode().IsRegular():
		err = d.undoLog.addWithBackup(undoRecord{Kind: kindTruncate, Name: name}, name)
	default:
		base, err := d.base.OpenFile(name, flag)
		return d.wrap(base, err, name, flag)
	}
	if err != nil {
		return nil, err
	}
	base, err := d.base.OpenFile(name, flag)
	if err != nil {
		err = errors.Join(err, d.undoLog.dropLast())
	}
	return d.wrap(base, err, name, flag)
}

// wrap returns the file with faults for a file that the base file system has opened. The caller holds d.mu.
func (d *FS) wrap(base disk.File, err error, name string, flag int) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	i := d.openFiles[name]
	if i == nil {
		i = &inode{name: name}
		d.openFiles[name] = i
	}
	i.refs++
	return &file{File: base, fs: d, name: name, inode: i, appendMode: flag&os.O_APPEND != 0}, nil
}

// MkdirAll creates a directory and its parents.
func (d *FS) MkdirAll(dir string) error {
	if _, err := d.beginOperation("mkdir", dir, true); err != nil {
		return err
	}
	return d.base.MkdirAll(dir)
}

// Rename renames a file. It replaces an existing one.
func (d *FS) Rename(from, to string) error {
	if _, err := d.beginOperation("rename", from, true); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.undoLog.addWithBackup(undoRecord{Kind: kindRename, Name: from, NewName: to}, to); err != nil {
		return err
	}
	if err := d.base.Rename(from, to); err != nil {
		return errors.Join(err, d.undoLog.dropLast())
	}
	d.unlinkOpenFile(to)
	if i := d.openFiles[from]; i != nil {
		i.name, d.openFiles[to] = to, i
		delete(d.openFiles, from)
	}
	return nil
}

// unlinkOpenFile records that the open file with a name, if there is one, has no name any more.
func (d *FS) unlinkOpenFile(name string) {
	if i := d.openFiles[name]; i != nil {
		i.name = ""
		delete(d.openFiles, name)
	}
}

// Remove removes a file or an empty directory.
func (d *FS) Remove(name string) error {
	if _, err := d.beginOperation("remove", name, true); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if info, err := os.Stat(name); err != nil || info.IsDir() {
		return d.base.Remove(name)
	}
	if err := d.undoLog.addWithBackup(undoRecord{Kind: kindRemove, Name: name}, name); err != nil {
		return err
	}
	if err := d.base.Remove(name); err != nil {
		return errors.Join(err, d.undoLog.dropLast())
	}
	d.unlinkOpenFile(name)
	return nil
}

// ReadDirNames returns at most limit names of the entries in a directory.
func (d *FS) ReadDirNames(dir string, limit int) ([]string, error) {
	if _, err := d.beginOperation("readdir", dir, false); err != nil {
		return nil, err
	}
	return d.base.ReadDirNames(dir, limit)
}

// SyncDir makes the names in a directory durable, unless fsyncs are lost.
func (d *FS) SyncDir(dir string) error {
	return d.sync(dir, func() error { return d.base.SyncDir(dir) })
}

// sync syncs a file or directory with syncBase, unless fsyncs are lost.
func (d *FS) sync(name string, syncBase func() error) error {
	f, err := d.beginOperation("sync", name, false)
	if err != nil || f.LostFsyncs {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := syncBase(); err != nil {
		return err
	}
	return d.undoLog.add(undoRecord{Kind: kindSync})
}
