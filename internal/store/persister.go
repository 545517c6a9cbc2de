package store

import (
	"log/slog"
	"maps"
	"sync"
	"time"
)

// Persister writes states to a directory in its own goroutine, so that its owner does not wait for the disk. It writes
// one state at a time; while Submit returns false, the owner keeps its changes.
type Persister struct {
	dir         *Dir
	checkpoints map[TenantKey]Checkpoint
	parts       map[string][]byte
	generation  uint64
	maxTenants  int
	changes     chan change
	onWrite     WriteCallback
	running     sync.WaitGroup
}

// WriteCallback is called after each write of a state, with its error, the size of the state and the duration of the
// write. It must not block.
type WriteCallback func(err error, bytes int, took time.Duration)

// change is the argument of one call of Submit.
type change struct {
	checkpoints []Checkpoint
	parts       map[string][]byte
}

// NewPersister starts a persister for a directory. The first state that it writes is based on initial, the state that
// was read from the directory; nil means none. Writing a state with checkpoints of more than maxTenants tenants fails.
// The persister closes the directory and ends its goroutine when Close is called.
func NewPersister(dir *Dir, initial *State, maxTenants int, onWrite WriteCallback) *Persister {
	p := &Persister{
		dir:         dir,
		checkpoints: make(map[TenantKey]Checkpoint),
		parts:       make(map[string][]byte),
		maxTenants:  maxTenants,
		changes:     make(chan change, 1),
		onWrite:     onWrite,
	}
	if initial != nil {
		p.generation = initial.Generation
		p.merge(initial.Checkpoints, initial.Parts)
	}
	p.running.Go(p.run)
	return p
}

// Submit adds changed checkpoints and parts to the state and schedules a write. It returns false, and drops the
// changes, if earlier ones still wait to be written.
func (p *Persister) Submit(checkpoints []Checkpoint, parts map[string][]byte) bool {
	select {
	case p.changes <- change{checkpoints, parts}:
		return true
	default:
		return false
	}
}

// Close writes the submitted changes, ends the goroutine and closes the directory. If this takes longer than the
// timeout, it returns a *StalledError while the goroutine continues to wait for the disk; the directory stays locked
// then.
func (p *Persister) Close(timeout time.Duration) error {
	close(p.changes)
	stopped := make(chan struct{})
	go func() { // ends when run returns
		p.running.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
		return p.dir.Close()
	case <-time.After(timeout):
		return &StalledError{p.dir.path, timeout}
	}
}

// run writes states until the channel of changes is closed. It logs a write error when it differs from the last one
// logged, and the first successful write after errors.
func (p *Persister) run() {
	lastError := ""
	failures := 0 // failed writes since the last successful one
	for c := range p.changes {
		startedAt := time.Now()
		size, err := p.write(c, startedAt)
		switch {
		case err != nil:
			failures++
			if err.Error() != lastError {
				slog.Warn("persisting state failed", "generation", p.generation, "error", err)
				lastError = err.Error()
			}
		case failures > 0:
			slog.Info("persisting state succeeds again", "generation", p.generation, "failures", failures)
			lastError = ""
			failures = 0
		}
		p.onWrite(err, size, time.Since(startedAt))
	}
}

// merge adds checkpoints and parts to the state, in place of earlier ones of the same tenant or name.
func (p *Persister) merge(checkpoints []Checkpoint, parts map[string][]byte) {
	for _, c := range checkpoints {
		p.checkpoints[TenantKey{c.Plan, c.Tenant}] = c
	}
	maps.Copy(p.parts, parts)
}

// write merges changes and writes the complete state, without checkpoints of buckets that are full again. It returns
// the size of the state in bytes.
func (p *Persister) write(c change, now time.Time) (int, error) {
	p.merge(c.checkpoints, c.parts)
	maps.DeleteFunc(p.checkpoints, func(_ TenantKey, c Checkpoint) bool { return c.FullAt <= now.UnixMilli() })
	if len(p.checkpoints) > p.maxTenants {
		return 0, &SizeError{p.dir.filePath(stateName), "tenants", len(p.checkpoints), p.maxTenants}
	}
	p.generation++
	s := &State{
		Node:        p.dir.node,
		Generation:  p.generation,
		WrittenAt:   now.UnixMilli(),
		Parts:       p.parts,
		Checkpoints: make([]Checkpoint, 0, len(p.checkpoints)),
	}
	for _, c := range p.checkpoints {
		s.Checkpoints = append(s.Checkpoints, c)
	}
	return p.dir.Write(s)
}
