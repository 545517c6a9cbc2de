package store

import (
	"log/slog"
	"maps"
	"sync"
	"time"
)

// Persister writes states to a folder in a goroutine of its own, so that its owner never waits for the disk. One
// state is written at a time; changes are gathered by the owner until then.
type Persister struct {
	folder      *Dir
	checkpoints map[TenantKey]Checkpoint
	parts       map[string][]byte
	generation  uint64
	maxTenants  int
	changes     chan change
	done        WriteCallback
	running     sync.WaitGroup
}

// WriteCallback is called after each state that was written, or could not be. It must not wait.
type WriteCallback func(err error, bytes int, took time.Duration)

// change is what has changed since the last state.
type change struct {
	checkpoints []Checkpoint
	parts       map[string][]byte
}

// NewPersister begins to write to a folder, from a state that was read from it; nil is none. Its goroutine ends with
// Close.
func NewPersister(f *Dir, from *State, maxTenants int, done WriteCallback) *Persister {
	p := &Persister{
		folder:      f,
		checkpoints: make(map[TenantKey]Checkpoint),
		parts:       make(map[string][]byte),
		maxTenants:  maxTenants,
		changes:     make(chan change, 1),
		done:        done,
	}
	if from != nil {
		p.generation = from.Generation
		p.merge(from.Checkpoints, from.Parts)
	}
	p.running.Go(p.run)
	return p
}

// Submit has changes written. It reports false where the last ones are still waiting.
func (p *Persister) Submit(checkpoints []Checkpoint, parts map[string][]byte) bool {
	select {
	case p.changes <- change{checkpoints, parts}:
		return true
	default:
		return false
	}
}

// Close writes what was submitted and ends. A disk that does not take it in some time is left alone and the error
// is a StalledError.
func (p *Persister) Close(within time.Duration) error {
	close(p.changes)
	ended := make(chan struct{})
	go func() { // ends with run
		p.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return p.folder.Close()
	case <-time.After(within):
		return &StalledError{p.folder.dir, within}
	}
}

// run writes until the changes are closed. It logs a failure once, not with each state.
func (p *Persister) run() {
	lastError := ""
	failures := 0 // since the disk last took a state
	for c := range p.changes {
		begun := time.Now()
		n, err := p.write(c, begun)
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
		p.done(err, n, time.Since(begun))
	}
}

func (p *Persister) merge(checkpoints []Checkpoint, parts map[string][]byte) {
	for _, c := range checkpoints {
		p.checkpoints[TenantKey{c.Plan, c.Tenant}] = c
	}
	maps.Copy(p.parts, parts)
}

// write merges changes and writes the whole state. Checkpoints of buckets that are full again are dropped.
func (p *Persister) write(c change, now time.Time) (int, error) {
	p.merge(c.checkpoints, c.parts)
	maps.DeleteFunc(p.checkpoints, func(_ TenantKey, c Checkpoint) bool { return c.FullAt <= now.UnixMilli() })
	if len(p.checkpoints) > p.maxTenants {
		return 0, &SizeError{p.folder.path(stateName), "tenants", len(p.checkpoints), p.maxTenants}
	}
	p.generation++
	s := &State{
		Node:        p.folder.node,
		Generation:  p.generation,
		WrittenAt:   now.UnixMilli(),
		Parts:       p.parts,
		Checkpoints: make([]Checkpoint, 0, len(p.checkpoints)),
	}
	for _, c := range p.checkpoints {
		s.Checkpoints = append(s.Checkpoints, c)
	}
	return p.folder.Write(s)
}
