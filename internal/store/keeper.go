package store

import (
	"log/slog"
	"maps"
	"sync"
	"time"
)

// Keeper writes states to a folder beside its owner, who never waits for it: one state is on its way
// to the disk at a time, and until that is there the owner gathers.
type Keeper struct {
	folder  *Folder
	records map[Key]Record
	parts   map[string][]byte
	gen     uint64
	most    int
	in      chan change
	done    func(err error, bytes int, took time.Duration)
	over    sync.WaitGroup
}

// change is what has changed since the last state.
type change struct {
	records []Record
	parts   map[string][]byte
}

// NewKeeper begins to write to a folder, from a state that was read from it; nil is none. Done is
// told of each state that has come to the disk, or that could not be written; it must not wait.
func NewKeeper(f *Folder, from *State, most int, done func(err error, bytes int, took time.Duration)) *Keeper {
	k := &Keeper{folder: f, records: make(map[Key]Record), parts: make(map[string][]byte), most: most, in: make(chan change, 1), done: done}
	if from != nil {
		k.gen = from.Generation
		for _, r := range from.Records {
			k.records[Key{r.Plan, r.Customer}] = r
		}
		for name, p := range from.Parts {
			k.parts[name] = p
		}
	}
	k.over.Go(k.run)
	return k
}

// Put has changes written. It is false where those before are still on their way.
func (k *Keeper) Put(records []Record, parts map[string][]byte) bool {
	select {
	case k.in <- change{records, parts}:
		return true
	default:
		return false
	}
}

// Close writes what it was given and ends; within a time, after which a disk that stands still is
// left to itself and its error is a StillError.
func (k *Keeper) Close(within time.Duration) error {
	close(k.in)
	ended := make(chan struct{})
	go func() { // ends with the writer
		k.over.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return k.folder.Close()
	case <-time.After(within):
		return &StillError{k.folder.dir, within}
	}
}

func (k *Keeper) run() {
	last, failed := "", 0 // what the disk refused with, and how often since it last took a state
	for c := range k.in {
		begun := time.Now()
		n, err := k.write(c, begun)
		switch {
		case err != nil && err.Error() != last: // not with each try
			slog.Warn("state: not written", "generation", k.gen, "err", err)
			last, failed = err.Error(), failed+1
		case err != nil:
			failed++
		case failed > 0:
			slog.Info("state: written again", "generation", k.gen, "failed", failed)
			last, failed = "", 0
		}
		k.done(err, n, time.Since(begun))
	}
}

// write takes changes over and writes all.
func (k *Keeper) write(c change, now time.Time) (int, error) {
	for _, r := range c.records {
		k.records[Key{r.Plan, r.Customer}] = r
	}
	maps.DeleteFunc(k.records, func(_ Key, r Record) bool { return r.Full <= now.UnixMilli() })
	if len(k.records) > k.most {
		return 0, &SizeError{k.folder.path(stateName), "customers", len(k.records), k.most}
	}
	for name, p := range c.parts {
		k.parts[name] = p
	}
	k.gen++
	s := &State{Node: k.folder.node, Generation: k.gen, Written: now.UnixMilli(), Parts: k.parts, Records: make([]Record, 0, len(k.records))}
	for _, r := range k.records {
		s.Records = append(s.Records, r)
	}
	return k.folder.Write(s)
}
