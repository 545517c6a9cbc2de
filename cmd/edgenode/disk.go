//go:build !lab

package main

import "sloestile/internal/store/disk"

// openDisk returns the file system of the node's stores.
func openDisk() (disk.FS, error) { return disk.Local{}, nil }
