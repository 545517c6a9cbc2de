//go:build lab

package main

import (
	"os"

	"sloestile/internal/store/disk"
	"sloestile/internal/store/disk/faulty"
)

// openDisk is the file system under what the node keeps; where the stand-in platform names a
// folder, one that fails as the platform says there.
func openDisk() (disk.FS, error) {
	if dir := os.Getenv(faulty.EnvVariable); dir != "" {
		return faulty.New(disk.Local{}, dir)
	}
	return disk.Local{}, nil
}
