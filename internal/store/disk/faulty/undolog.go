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
	// UndoLogName is the name of the undo log in the fault directory. The file exists once a process has used the
	// directory.
	UndoLogName = "undo"

	maxUndoRecords = 2000     // records; at this number the older half is discarded, and its changes become durable
	maxUndoBytes   = 64 << 20 // size of records and backups; at this size the older half is discarded too
)

// Kinds of undo records.
const (
	kindCreate   = "made"    // a file was created
	kindTruncate = "emptied" // a file was truncated when it was opened
	kindChange   = "changed" // the content or the size of a file was changed
	kindRename   = "moved"
	kindRemove   = "removed"
	kindSync     = "synced" // a sync made all earlier changes durable; nothing to undo
)

// undoRecord describes how to undo one change.
type undoRecord struct {
	Kind       string
	Name       string `json:",omitempty"`
	NewName    string `json:"To,omitempty"`    // new name of a renamed file
	Backup     int    `json:"Kept,omitempty"`  // number of the backup of a file that is lost; 0 means none
	Offset     int64  `json:"At,omitempty"`    // offset of OldData in the file
	OldSize    int64  `json:"Size,omitempty"`  // size of the file before the change
	WriteBytes int64  `json:"Wrote,omitempty"` // length of a write
	OldData    []byte `json:"Old,omitempty"`   // bytes that the change overwrote or cut off
}

// undoLog is the undo log in a fault directory. Its file outlives the process. A record is written before its change,
// so that an incomplete record at the end of the file belongs to a change that was not made.
type undoLog struct {
	dir         string
	file        *os.File
	recordCount int
	size        int64 // size of records and backups in bytes
	lastBackup  int   // highest number of a backup
	lastOffset  int64 // offset of the last record in the file
}

// openUndoLog opens the undo log in a fault directory, and creates both if they do not exist.
func openUndoLog(dir string) (*undoLog, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	records, err := readUndoRecords(dir)
	if err != nil {
		return nil, err
	}
	l := &undoLog{dir: dir}
	return l, l.rewrite(records)
}

// backupPath returns the path of the backup with number n.
func backupPath(dir string, n int) string { return filepath.Join(dir, "kept-"+strconv.Itoa(n)) }

// readUndoRecords returns the complete records in the undo log of a fault directory.
func readUndoRecords(dir string) (records []undoRecord, err error) {
	raw, err := os.ReadFile(filepath.Join(dir, UndoLogName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range bytes.Lines(raw) {
		var r undoRecord
		if line[len(line)-1] != '\n' || json.Unmarshal(line, &r) != nil {
			break
		}
		records = append(records, r)
	}
	return records, nil
}

// rewrite replaces the content of the undo log by the given records.
func (l *undoLog) rewrite(records []undoRecord) error {
	if l.file != nil {
		_ = l.file.Close()
	}
	f, err := os.OpenFile(filepath.Join(l.dir, UndoLogName), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	l.file, l.recordCount, l.size = f, 0, 0
	for _, r := range records {
		if r.Backup > 0 {
			s, err := os.Stat(backupPath(l.dir, r.Backup))
			if err != nil {
				return err
			}
			l.lastBackup, l.size = max(l.lastBackup, r.Backup), l.size+s.Size()
		}
		if err := l.append(r); err != nil {
			return err
		}
	}
	return nil
}

// add appends the record of a change that is about to be made.
func (l *undoLog) add(r undoRecord) error {
	if err := l.discardOldest(); err != nil {
		return err
	}
	return l.append(r)
}

// append appends a record without discarding older ones.
func (l *undoLog) append(r undoRecord) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if l.lastOffset, err = l.file.Seek(0, 1); err != nil {
		return err
	}
	l.recordCount, l.size = l.recordCount+1, l.size+int64(len(raw))
	_, err = l.file.Write(append(raw, '\n'))
	return err
}

// addWithBackup is add for a change that truncates, replaces or removes the file with the given name. If the file
// exists, it copies it to a backup first.
func (l *undoLog) addWithBackup(r undoRecord, name string) error {
	if err := l.discardOldest(); err != nil {
		return err
	}
	old, err := os.ReadFile(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return l.append(r)
	case err != nil:
		return err
	}
	l.lastBackup++
	r.Backup, l.size = l.lastBackup, l.size+int64(len(old))
	if err := os.WriteFile(backupPath(l.dir, r.Backup), old, 0o600); err != nil {
		return err
	}
	return l.append(r)
}

// dropLast removes the last record, because its change failed.
func (l *undoLog) dropLast() error {
	if err := l.file.Truncate(l.lastOffset); err != nil {
		return err
	}
	_, err := l.file.Seek(l.lastOffset, 0)
	l.recordCount--
	return err
}

// discardOldest removes the older half of the records if the undo log exceeds maxUndoRecords or maxUndoBytes.
func (l *undoLog) discardOldest() error {
	if l.recordCount < maxUndoRecords && l.size < maxUndoBytes {
		return nil
	}
	records, err := readUndoRecords(l.dir)
	if err != nil {
		return err
	}
	half := len(records) / 2
	for _, r := range records[:half] {
		if r.Backup > 0 {
			_ = os.Remove(backupPath(l.dir, r.Backup))
		}
	}
	return l.rewrite(records[half:])
}

// PowerLoss describes what a loss of power undoes. The zero value undoes all changes since the last sync that was not
// lost.
type PowerLoss struct {
	TornWrite     bool // undoes only the second half of the last write since that sync
	RevertedSyncs int  // number of earlier syncs whose changes are undone too; ignored for a torn write
}

// SimulatePowerLoss undoes changes on the disk with the given fault directory as a loss of power would. The process
// must have ended. It returns the number of changes undone.
func SimulatePowerLoss(dir string, loss PowerLoss) (undone int, err error) {
	records, err := readUndoRecords(dir)
	if err != nil {
		return 0, err
	}
	end := len(records)
	if loss.TornWrite {
		if undone, err = tearLastWrite(records); err != nil || undone == 0 {
			return 0, err
		}
		end = 0 // the other changes become durable
	}
	for syncsLeft := loss.RevertedSyncs; !loss.TornWrite && end > 0; end-- {
		r := records[end-1]
		if r.Kind == kindSync {
			syncsLeft--
			if syncsLeft < 0 {
				break
			}
			continue
		}
		if err := r.revert(dir); err != nil {
			return undone, fmt.Errorf("undoing %s of %s: %w", r.Kind, r.Name, err)
		}
		undone++
	}
	for _, r := range records[end:] {
		if r.Backup > 0 {
			_ = os.Remove(backupPath(dir, r.Backup))
		}
	}
	return undone, writeUndoRecords(dir, records[:end])
}

// writeUndoRecords replaces the content of the undo log in a fault directory.
func writeUndoRecords(dir string, records []undoRecord) error {
	f, err := os.Create(filepath.Join(dir, UndoLogName))
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(f)
	encoder := json.NewEncoder(buffered)
	for _, r := range records {
		err = errors.Join(err, encoder.Encode(r))
	}
	return errors.Join(err, buffered.Flush(), f.Close())
}

// revert undoes one change.
func (r undoRecord) revert(dir string) error {
	restoreBackup := func(name string) error {
		if r.Backup == 0 {
			return nil
		}
		raw, err := os.ReadFile(backupPath(dir, r.Backup))
		if err != nil {
			return err
		}
		return os.WriteFile(name, raw, 0o600)
	}
	switch r.Kind {
	case kindCreate:
		return os.Remove(r.Name)
	case kindRename:
		if err := os.Rename(r.NewName, r.Name); err != nil {
			return err
		}
		return restoreBackup(r.NewName)
	case kindTruncate, kindRemove:
		return restoreBackup(r.Name)
	case kindChange:
		f, err := os.OpenFile(r.Name, os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		_, err = f.WriteAt(r.OldData, r.Offset)
		return errors.Join(err, f.Truncate(r.OldSize), f.Close())
	}
	return fmt.Errorf("unknown kind of record")
}

// tearLastWrite undoes the second half of the last write since the last sync. The file may have been renamed since. It
// returns the number of changes undone, which is 0 if there is no such write or its file has been removed or replaced.
func tearLastWrite(records []undoRecord) (int, error) {
	for i, r := range slices.Backward(records) {
		if r.Kind == kindSync {
			break
		}
		if r.WriteBytes == 0 {
			continue
		}
		for _, later := range records[i:] {
			switch {
			case later.Kind == kindRename && later.Name == r.Name:
				r.Name = later.NewName
			case later.Kind == kindRemove && later.Name == r.Name, later.Kind == kindRename && later.NewName == r.Name:
				return 0, nil
			}
		}
		half := r.WriteBytes / 2
		r.OldData, r.Offset = r.OldData[min(half, int64(len(r.OldData))):], r.Offset+half
		r.OldSize = max(r.OldSize, r.Offset)
		return 1, r.revert("")
	}
	return 0, nil
}
