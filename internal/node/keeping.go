package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/store"
	"sloestile/internal/store/disk"
)

const (
	writeAfter = 500 * time.Millisecond // from a grant that needs a mark to the state's writing
	learntEach = 2 * time.Second        // at most, between two states with what was learnt of servers and shares
	learntFor  = 10 * time.Minute       // for which that is of worth
	openWait   = time.Second            // for what is kept, at the start
	lockAgain  = time.Second            // between two tries for a folder that the process before still has
	closeWait  = 300 * time.Millisecond // for the last state, at the end
	learntPart = "learnt"
	marksMost  = 4096 // customers, where no limit on memory is told
)

// keeping is the node's part in keeping what it has learnt. It belongs to the loop; the keeper
// writes beside it.
type keeping struct {
	loop      *loop
	set       *control.Settings
	disk      disk.FS
	dir, node string
	discovery func() string
	marks     *store.Checkpoints
	keeper    *store.Persister // nil until the folder is this process's
	armed     bool
	learntAt  time.Time

	states, failed, written prometheus.Counter
	seconds                 prometheus.Histogram
	restored, dropped       prometheus.Counter
	uncovered               atomic.Int64
	writtenAt               atomic.Int64 // ms of Unix time
}

func newKeeping(cfg config.Config, l *loop, discovery func() string) *keeping {
	most := cfg.Settings.MaxTenants
	if most <= 0 {
		most = marksMost
	}
	k := &keeping{loop: l, set: &cfg.Settings, disk: cmp.Or[disk.FS](cfg.Disk, disk.Local{}), dir: cfg.Fleet.State.Dir, node: cfg.Name, discovery: discovery,
		marks: store.NewCheckpoints(most)}
	figures := l.registry()
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		figures.MustRegister(c)
		return c
	}
	k.states = counter("node_state_written_total", "States that came to the disk.")
	k.failed = counter("node_state_errors_total", "States that could not be written.")
	k.written = counter("node_state_writtentotal", "Bytes of the states written.")
	k.restored = counter("node_state_restored_total", "Customers' stores taken from the disk at the start.")
	k.dropped = counter("node_state_dropped_total", "Parts of the state on the disk that were too old or could not be.")
	k.seconds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "node_state_write_seconds", Help: "Time from a state's making until it was on the disk.",
		Buckets: []float64{.001, .003, .01, .03, .1, .3, 1, 3, 10}})
	figures.MustRegister(k.seconds,
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "node_state_uncovered_total", Help: "Requests sent on that no mark on the disk covered."},
			func() float64 { return float64(k.uncovered.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_state_age_seconds", Help: "Age of the last state on the disk; -1 where there is none of this process."},
			func() float64 {
				if at := k.writtenAt.Load(); at > 0 {
					return time.Since(time.UnixMilli(at)).Seconds()
				}
				return -1
			}))
	return k
}

// open takes the folder and, unless another process has handed over what it knows, what is kept
// there. It is called before the loop runs. False is that another process has the folder.
func (k *keeping) open(n *Node, inherited bool) bool {
	f, err := store.Open(k.disk, k.dir, k.node)
	if err != nil {
		slog.Warn("state: not kept", "err", err)
		_, used := errors.AsType[*store.InUseError](err)
		return !used
	}
	read := make(chan *store.State, 1)
	go func() { read <- k.read(f) }() // ends with the disk's step
	select {
	case kept := <-read:
		if kept != nil && !inherited {
			k.recall(n, kept)
		}
		k.begin(f, kept)
	case <-time.After(openWait):
		slog.Warn("state: the disk stands still; the node starts from nothing and keeps its state when the disk goes on", "dir", k.dir)
		go func() { // likewise
			if kept := <-read; !k.loop.post(func() { k.begin(f, kept) }) {
				_ = f.Close()
			}
		}()
	}
	return true
}

// read gives what is kept; nil is nothing of use.
func (k *keeping) read(f *store.Folder) *store.State {
	kept, err := f.Read()
	if err != nil {
		slog.Error("state: put aside, from nothing", "err", err)
		k.dropped.Inc()
	}
	return kept
}

// openLater takes the folder when the process before has left it, until ctx ends.
func (k *keeping) openLater(ctx context.Context) {
	t := time.NewTicker(lockAgain)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		f, err := store.Open(k.disk, k.dir, k.node)
		if _, used := errors.AsType[*store.InUseError](err); used {
			continue
		}
		if err != nil {
			slog.Warn("state: not kept", "err", err)
			return
		}
		// What the process before had marked goes on: its customers may not send here before a crash.
		kept := k.read(f)
		if !k.loop.post(func() { k.begin(f, kept) }) {
			_ = f.Close()
		}
		return
	}
}

func (k *keeping) begin(f *store.Folder, from *store.State) {
	most := k.set.MaxTenants
	if most <= 0 {
		most = marksMost
	}
	k.keeper = store.NewPersister(f, from, 2*most, func(err error, bytes int, took time.Duration) {
		if err != nil {
			k.failed.Inc()
		} else {
			k.states.Inc()
			k.written.Add(float64(bytes))
			k.seconds.Observe(took.Seconds())
			k.writtenAt.Store(time.Now().UnixMilli())
		}
		k.loop.post(func() { k.wrote(err == nil) })
	})
}

// recall takes what is kept and still of worth.
func (k *keeping) recall(n *Node, s *store.State) {
	now := k.loop.now()
	var from legacy
	err := json.Unmarshal(s.Parts[learntPart], &from)
	if err == nil && from.Version != handoverVersion {
		err = errors.New("of another version")
	}
	if err == nil {
		err = from.List.Check()
	}
	if err == nil {
		err = k.loop.ctl.RestoreSnapshot(now, from.Module, learntFor)
	}
	if err == nil {
		n.takeList(from, false)
	} else {
		k.dropped.Inc()
		slog.Warn("state: what was learnt is not taken", "err", err)
	}
	restored := 0
	for _, r := range s.Checkpoints {
		units, ok := k.left(r, now)
		if !ok {
			continue // full again, or a clock that went back
		}
		if err := k.loop.ctl.RestoreTenant(now, r.Plan, r.Tenant, r.Nodes, units); err != nil {
			k.dropped.Inc()
			continue
		}
		restored++
	}
	k.restored.Add(float64(restored))
	slog.Info("state: taken", "generation", s.Generation, "age_ms", time.Now().UnixMilli()-s.Written, "stores", restored)
}

// left is what a store holds now by its mark; ok is false where it is full.
func (k *keeping) left(r store.Checkpoint, now time.Duration) (units float64, ok bool) {
	for _, p := range k.set.Plans {
		if p.Name == r.Plan {
			since := now - time.Duration(r.At)*time.Millisecond
			units = r.Level + p.Rate*max(0, since).Seconds() // a clock that went back refills nothing
			return units, units < p.Burst
		}
	}
	return 0, false
}

// granted notes that a customer's request was sent on.
func (k *keeping) granted(r *control.Request) {
	units, rate, depth, spread, ok := k.loop.ctl.TenantLevel(r.Plan, r.Tenant)
	if !ok {
		return
	}
	now := k.loop.now()
	if k.marks.Granted(store.Key{Plan: r.Plan, Tenant: r.Tenant}, store.Level{Tokens: units, Rate: rate, Burst: depth, Nodes: spread}, now) {
		k.arm()
	}
	k.uncovered.Store(k.marks.Uncovered)
}

func (k *keeping) arm() {
	if k.armed || k.keeper == nil {
		return
	}
	k.armed = true
	time.AfterFunc(writeAfter, func() { k.loop.post(k.flush) })
}

// flush has a state written, unless one is on its way.
func (k *keeping) flush() {
	k.armed = false
	now := time.Now()
	records := k.marks.NextBatch(k.loop.now(), now)
	if records == nil {
		return
	}
	var parts map[string][]byte
	if now.Sub(k.learntAt) >= learntEach {
		if raw, err := k.learnt(); err != nil {
			slog.Warn("state: what was learnt", "err", err)
		} else {
			parts, k.learntAt = map[string][]byte{learntPart: raw}, now
		}
	}
	if !k.keeper.Submit(records, parts) {
		k.marks.BatchWritten(false)
		k.arm()
	}
}

// learnt is what was learnt of all but customers, with the list and the names of its servers.
func (k *keeping) learnt() ([]byte, error) {
	module, err := k.loop.ctl.Snapshot(k.loop.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(k.loop.legacy(k.discovery(), module))
}

// wrote takes that a state has come to the disk, or has not.
func (k *keeping) wrote(ok bool) {
	k.marks.BatchWritten(ok)
	if k.marks.Due() {
		k.arm()
	}
}

// end writes what is known last, once the loop has ended.
func (k *keeping) end() {
	if k.keeper == nil || k.loop.failed != nil {
		return
	}
	if raw, err := k.learnt(); err == nil {
		k.keeper.Submit(k.marks.Final(k.loop.now(), time.Now()), map[string][]byte{learntPart: raw})
	}
	if err := k.keeper.Close(closeWait); err != nil {
		slog.Warn("state: the last is not written", "err", err)
	}
}
