//go:build lab

package main

import (
	"os"

	"sloestile/internal/store/disk"
	"sloestile/internal/store/disk/faulty"
)

// openDisk returns the file system of the node's stores. If the stand-in of the platform names a folder, it is a faulty
// disk with the faults that the stand-in sets in that folder.
func openDisk() (disk.FS, error) {
	if dir := os.Getenv(faulty.EnvVariable); dir != "" {
		return faulty.New(disk.Local{}, dir)
	}
	return disk.Local{}, nil
}
