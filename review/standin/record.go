package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is record.txt of a case: what was sent, answered and run, a line each.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// printf writes a line with the time since the start of the case.
func (r *record) printf(format string, args ...any) { r.at(time.Now(), format, args...) }

// at writes a line about something that happened at a time.
func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", t.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}
