package process

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// usage is what a process has used since its start.
type usage struct {
	at      time.Time
	cpu     time.Duration // of all threads, in the scheduler's own nanoseconds
	read    int64         // bytes by read calls, which streams take and datagrams do not
	written int64         // bytes by write calls, likewise
}

// usageOf reads /proc/PID. The CPU of threads that have ended is missing; the Go runtime keeps its
// threads.
func usageOf(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	u := usage{at: time.Now()}
	files, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil || len(files) == 0 {
		return u, errors.Join(err, fmt.Errorf("process %d has no schedstat", pid))
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return u, err
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return u, fmt.Errorf("%s: %w", file, err)
		}
		u.cpu += time.Duration(ns)
	}
	text, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return u, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "rchar":
			u.read, err = strconv.ParseInt(value, 10, 64)
		case "wchar":
			u.written, err = strconv.ParseInt(value, 10, 64)
		}
		if err != nil {
			return u, err
		}
	}
	return u, nil
}

// cores is the part of one core that was used between two readings.
func cores(from, to usage) float64 {
	return (to.cpu - from.cpu).Seconds() / to.at.Sub(from.at).Seconds()
}
