//go:build !lab

package main

import "sloestile/internal/store/disk"

// openDisk is the file system under what the node keeps.
func openDisk() (disk.FS, error) { return disk.Local{}, nil }
