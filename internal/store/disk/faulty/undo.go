package faulty

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

const (
	// UndoName is the file of the notes, in the folder by which a disk is driven; it is there once a
	// process has one.
	UndoLogName = "undo"

	stepsMost = 2000     // steps that can be undone; of more the older half has come to the disk
	bytesMost = 64 << 20 // of the records and of the kept copies of files
)

// Kinds of steps that can be undone, and the mark of an honest sync.
const (
	made    = "made"
	emptied = "emptied"
	changed = "changed"
	moved   = "moved"
	removed = "removed"
	synced  = "synced"
)

// undo is how one step is undone.
type undo struct {
	Kind  string
	Name  string `json:",omitempty"`
	To    string `json:",omitempty"` // of a file that was moved
	Kept  int    `json:",omitempty"` // number of the kept copy; 0 is none
	At    int64  `json:",omitempty"` // where Old stood
	Size  int64  `json:",omitempty"` // of the file before
	Wrote int64  `json:",omitempty"` // bytes of a write
	Old   []byte `json:",omitempty"`
}

// journal is the notes by which steps are undone, in a file that outlives the process. A note is
// made before its step: one that is cut by the process's end belongs to a step that was not made.
type journal struct {
	dir   string
	file  *os.File
	steps int
	bytes int64
	kept  int
	last  int64 // where the last note begins
}

func openJournal(dir string) (*journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	all, err := notes(dir)
	if err != nil {
		return nil, err
	}
	j := &journal{dir: dir}
	return j, j.rewrite(all)
}

func keptFile(dir string, n int) string { return filepath.Join(dir, "kept-"+strconv.Itoa(n)) }

// notes reads the notes of a folder; what is cut at the end is left out.
func notes(dir string) (all []undo, err error) {
	raw, err := os.ReadFile(filepath.Join(dir, UndoLogName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range bytes.Lines(raw) {
		var u undo
		if line[len(line)-1] != '\n' || json.Unmarshal(line, &u) != nil {
			break
		}
		all = append(all, u)
	}
	return all, nil
}

// rewrite begins the journal anew with some notes.
func (j *journal) rewrite(all []undo) error {
	if j.file != nil {
		_ = j.file.Close()
	}
	f, err := os.OpenFile(filepath.Join(j.dir, UndoLogName), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	j.file, j.steps, j.bytes = f, 0, 0
	for _, u := range all {
		if u.Kept > 0 {
			s, err := os.Stat(keptFile(j.dir, u.Kept))
			if err != nil {
				return err
			}
			j.kept, j.bytes = max(j.kept, u.Kept), j.bytes+s.Size()
		}
		if err := j.append(u); err != nil {
			return err
		}
	}
	return nil
}

// add notes a step that is about to be made.
func (j *journal) add(u undo) error {
	if err := j.discardOldest(); err != nil {
		return err
	}
	return j.append(u)
}

func (j *journal) append(u undo) error {
	raw, err := json.Marshal(u)
	if err != nil {
		return err
	}
	if j.last, err = j.file.Seek(0, 1); err != nil {
		return err
	}
	j.steps, j.bytes = j.steps+1, j.bytes+int64(len(raw))
	_, err = j.file.Write(append(raw, '\n'))
	return err
}

// keep records a step, with a copy of the file that it removes, where there is one.
func (j *journal) keep(u undo, name string) error {
	if err := j.discardOldest(); err != nil {
		return err
	}
	old, err := os.ReadFile(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return j.append(u)
	case err != nil:
		return err
	}
	j.kept++
	u.Kept, j.bytes = j.kept, j.bytes+int64(len(old))
	if err := os.WriteFile(keptFile(j.dir, u.Kept), old, 0o600); err != nil {
		return err
	}
	return j.append(u)
}

// drop takes the last note back: its step was not made.
func (j *journal) drop() error {
	if err := j.file.Truncate(j.last); err != nil {
		return err
	}
	_, err := j.file.Seek(j.last, 0)
	j.steps--
	return err
}

// discardOldest forgets the older half of the steps where there are too many.
func (j *journal) discardOldest() error {
	if j.steps < stepsMost && j.bytes < bytesMost {
		return nil
	}
	all, err := notes(j.dir)
	if err != nil {
		return err
	}
	half := len(all) / 2
	for _, u := range all[:half] {
		if u.Kept > 0 {
			_ = os.Remove(keptFile(j.dir, u.Kept))
		}
	}
	return j.rewrite(all[half:])
}

// PowerLoss is what a disk loses of what it said to hold.
type PowerLoss struct {
	TornWrite     bool // only the second half of the last write that no honest sync followed; else all since that sync
	RevertedSyncs int  // and what this many honest syncs before had brought to it
}

// SimulatePowerLoss makes of the disk that is driven by a folder what it holds after its power went, once the
// process is dead. It returns how many steps were undone.
func SimulatePowerLoss(dir string, l PowerLoss) (steps int, err error) {
	all, err := notes(dir)
	if err != nil {
		return 0, err
	}
	end := len(all)
	if l.TornWrite {
		if steps, err = tear(all); err != nil || steps == 0 {
			return 0, err
		}
		end = 0 // the rest counts as come to the disk
	}
	for left := l.RevertedSyncs; !l.TornWrite && end > 0; end-- {
		u := all[end-1]
		if u.Kind == synced {
			left--
			if left < 0 {
				break
			}
			continue
		}
		if err := u.back(dir); err != nil {
			return steps, fmt.Errorf("undoing %s of %s: %w", u.Kind, u.Name, err)
		}
		steps++
	}
	for _, u := range all[end:] {
		if u.Kept > 0 {
			_ = os.Remove(keptFile(dir, u.Kept))
		}
	}
	return steps, write(dir, all[:end])
}

// write leaves so many notes.
func write(dir string, all []undo) error {
	f, err := os.Create(filepath.Join(dir, UndoLogName))
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	to := json.NewEncoder(out)
	for _, u := range all {
		err = errors.Join(err, to.Encode(u))
	}
	return errors.Join(err, out.Flush(), f.Close())
}

// back undoes one step.
func (u undo) back(dir string) error {
	putBack := func(name string) error {
		if u.Kept == 0 {
			return nil
		}
		raw, err := os.ReadFile(keptFile(dir, u.Kept))
		if err != nil {
			return err
		}
		return os.WriteFile(name, raw, 0o600)
	}
	switch u.Kind {
	case made:
		return os.Remove(u.Name)
	case moved:
		if err := os.Rename(u.To, u.Name); err != nil {
			return err
		}
		return putBack(u.To)
	case emptied, removed:
		return putBack(u.Name)
	case changed:
		f, err := os.OpenFile(u.Name, os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		_, err = f.WriteAt(u.Old, u.At)
		return errors.Join(err, f.Truncate(u.Size), f.Close())
	}
	return fmt.Errorf("it is not known")
}

// tear undoes the second half of the last write since the last honest sync, under the name that its file
// has by now; 0 is that there is none.
func tear(all []undo) (int, error) {
	for i, u := range slices.Backward(all) {
		if u.Kind == synced {
			break
		}
		if u.Wrote == 0 {
			continue
		}
		for _, later := range all[i:] {
			switch {
			case later.Kind == moved && later.Name == u.Name:
				u.Name = later.To
			case later.Kind == removed && later.Name == u.Name, later.Kind == moved && later.To == u.Name:
				return 0, nil
			}
		}
		half := u.Wrote / 2
		u.Old, u.At = u.Old[min(half, int64(len(u.Old))):], u.At+half
		u.Size = max(u.Size, u.At)
		return 1, u.back("")
	}
	return 0, nil
}
