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
	markName     = "acted" // name of the file
	markMagic    = "lfca"
	maxMarkBytes = 4 << 10
	// persistRetryInterval is the pause after a write has failed.
	persistRetryInterval = time.Second
)

// highWaterMark is the highest number of a version that has been in effect at this node, as stored on disk. After a
// restart, the node must not put an older version into effect.
type highWaterMark struct {
	Node   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// errOtherNode means that a high-water mark belongs to another node.
var errOtherNode = errors.New("it belongs to another node")

// readHighWaterMark returns the stored number; 0 means that none is stored. It creates the directory if it does not
// exist.
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
	if err := raftlog.DecodeChecksummed(markMagic, markName, raw, &m); err != nil {
		return 0, err
	}
	if m.Node != node {
		return 0, &raftlog.CorruptError{File: markName, Err: errOtherNode}
	}
	return m.Number, nil
}

// writeHighWaterMark stores a number; it is durable when the function returns nil.
func writeHighWaterMark(d disk.FS, dir, node string, number uint64) error {
	raw, err := raftlog.EncodeChecksummed(markMagic, highWaterMark{node, number})
	if err != nil {
		return err
	}
	return disk.WriteFile(d, filepath.Join(dir, markName), raw)
}

// persistHighWaterMark starts to write the high-water mark if one has to be persisted before its version can take
// effect. One write runs at a time. After a failed write the next one starts after persistRetryInterval.
func (l *Learner) persistHighWaterMark(ctx context.Context) {
	number, ok := l.node.PersistDue(Clock())
	if !ok || l.persisting {
		return
	}
	l.persisting = true
	l.running.Go(func() {
		err := writeHighWaterMark(l.config.Disk, l.config.Dir, l.config.Name, number)
		if err != nil {
			slog.Error("rules: persisting the high-water mark failed, the version does not take effect", "version", number, "error", err)
			select {
			case <-time.After(persistRetryInterval):
			case <-ctx.Done():
			}
		}
		l.post(ctx, func() { l.persistDone(number, err) })
	})
}

// persistDone ends a write of the high-water mark with its result.
func (l *Learner) persistDone(number uint64, err error) {
	l.persisting = false
	if err == nil {
		l.Counts.VersionsPersisted.Add(1)
		l.node.Persisted(number)
	}
}
