package learn

import (
	"errors"
	"io/fs"
	"path/filepath"

	"martennotch/internal/council/raftlog"
	"martennotch/internal/store/disk"
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
