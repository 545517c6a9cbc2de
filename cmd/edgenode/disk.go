//go:build !lab

package main

import "sloestile/internal/store/disk"

// machineDisk is the file system under what the node keeps.
func machineDisk() (disk.FS, error) { return disk.Local{}, nil }
