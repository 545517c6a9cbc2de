package learner

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"path/filepath"
	"time"

	"sloestile/internal/consensus/raftlog"
	"sloestile/internal/store/disk"
)

const (
	markName     = "acted"
	markMagic    = "lfca"
	maxMarkBytes = 4 << 10
	// persistRetryInterval is the pause after a disk has failed.
	persistRetryInterval = time.Second
)

// highWaterMark is the highest version that the node has acted by, as it is stored.
type highWaterMark struct {
	Node   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// errOtherNode is the reason of a high-water mark that can't be used.
var errOtherNode = errors.New("it is another node's")

// readHighWaterMark returns the number that the disk has; 0 is none.
func readHighWaterMark(d disk.FS, dir, node string) (uint64, error) {
	if err := d.MkdirAll(dir); err != nil {
		return 0, err
	}
	raw, err := disk.ReadFile(d, filepath.Join(dir, markName), maxMarkBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var m highWaterMark
	if err := raftlog.Unseal(markMagic, markName, raw, &m); err != nil {
		return 0, err
	}
	if m.Node != node {
		return 0, &raftlog.CorruptError{File: markName, Err: errOtherNode}
	}
	return m.Number, nil
}

// writeHighWaterMark makes a number durable.
func writeHighWaterMark(d disk.FS, dir, node string, number uint64) error {
	raw, err := raftlog.Seal(markMagic, highWaterMark{node, number})
	if err != nil {
		return err
	}
	return disk.WriteFile(d, filepath.Join(dir, markName), raw)
}

// persistHighWaterMark has the number persisted that is to be acted by.
func (l *Learner) persistHighWaterMark(ctx context.Context) {
	number, ok := l.node.PersistDue(Clock())
	if !ok || l.persisting {
		return
	}
	l.persisting = true
	l.running.Go(func() {
		err := writeHighWaterMark(l.config.Disk, l.config.Dir, l.config.Name, number)
		if err != nil {
			slog.Error("rules: persisting the version acted by failed, the settings alone hold", "version", number, "error", err)
			select {
			case <-time.After(persistRetryInterval):
			case <-ctx.Done():
			}
		}
		l.post(ctx, func() { l.persistDone(number, err) })
	})
}

func (l *Learner) persistDone(number uint64, err error) {
	l.persisting = false
	if err == nil {
		l.Counts.VersionsPersisted.Add(1)
		l.node.Persisted(number)
	}
}
