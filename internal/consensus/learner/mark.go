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
	markName  = "acted"
	markMagic = "lfca"
	markMost  = 4 << 10
)

// mark is the highest version that the node has acted by.
type mark struct {
	Node   string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// readMark gives the number that the disk has; 0 is none.
func readMark(d disk.FS, dir, node string) (uint64, error) {
	if err := d.MkdirAll(dir); err != nil {
		return 0, err
	}
	raw, err := disk.ReadFile(d, filepath.Join(dir, markName), markMost)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var m mark
	if err := raftlog.Unseal(markMagic, markName, raw, &m); err != nil {
		return 0, err
	}
	if m.Node != node {
		return 0, &raftlog.SpoiltError{File: markName, Why: errors.New("it is another node's")}
	}
	return m.Number, nil
}

// writeMark brings a number to the disk.
func writeMark(d disk.FS, dir, node string, number uint64) error {
	raw, err := raftlog.Seal(markMagic, mark{node, number})
	if err != nil {
		return err
	}
	return disk.WriteFile(d, filepath.Join(dir, markName), raw)
}

// keep has the disk keep the number that is to be acted by.
func (l *Learner) keep(ctx context.Context) {
	number, ok := l.node.PersistDue(Clock())
	if !ok || l.keeping {
		return
	}
	l.keeping = true
	l.work.Go(func() {
		err := writeMark(l.cfg.Disk, l.cfg.Dir, l.cfg.Name, number)
		if err != nil {
			slog.Error("rules: the disk does not keep the version acted by, the settings alone hold", "version", number, "err", err)
			select { // before it is tried again
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
		l.post(ctx, func() {
			if l.keeping = false; err == nil {
				l.Counts.Marks.Add(1)
				l.node.Persisted(number)
			}
		})
	})
}
