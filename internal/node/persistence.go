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
	writeDelay            = 500 * time.Millisecond // from a grant that needs a checkpoint to the writing of a state
	snapshotInterval      = 2 * time.Second        // least, between two states with a snapshot of servers and shares
	maxSnapshotAge        = 10 * time.Minute       // at a start; an older snapshot is not used
	openTimeout           = time.Second            // for reading the stored state at the start
	lockRetryInterval     = time.Second            // between two tries for a folder that the previous process still has
	stateCloseTimeout     = 300 * time.Millisecond // for writing the last state
	defaultMaxCheckpoints = 4096                   // tenants, where there is no memory limit

	snapshotPart = "learnt" // name of the snapshot in the stored state
)

// persistence stores what the node has learned, so that it outlives the process. It is owned by the event loop; its
// persister writes in a goroutine of its own.
type persistence struct {
	loop             *loop
	settings         *control.Settings
	disk             disk.FS
	dir, node        string
	discoveryAddress func() string
	checkpoints      *store.Checkpoints
	persister        *store.Persister // nil until the folder is this process's
	writeScheduled   bool
	snapshotAt       time.Time

	states, failed, bytesWritten prometheus.Counter
	seconds                      prometheus.Histogram
	restored, dropped            prometheus.Counter
	uncovered                    atomic.Int64
	writtenAt                    atomic.Int64 // ms of Unix time
}

func newPersistence(cfg config.Config, l *loop, discovery func() string) *persistence {
	most := cfg.Settings.MaxTenants
	if most <= 0 {
		most = defaultMaxCheckpoints
	}
	k := &persistence{loop: l, settings: &cfg.Settings, disk: cmp.Or[disk.FS](cfg.Disk, disk.Local{}), dir: cfg.Fleet.State.Dir, node: cfg.Name, discoveryAddress: discovery,
		checkpoints: store.NewCheckpoints(most)}
	figures := l.metricsRegistry()
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		figures.MustRegister(c)
		return c
	}
	k.states = counter("node_state_written_total", "States that came to the disk.")
	k.failed = counter("node_state_errors_total", "States that could not be written.")
	k.bytesWritten = counter("node_state_writtentotal", "Bytes of the states written.")
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

// open locks the folder and restores what is stored there, unless another process has handed over its state. It is
// called before the loop runs. It returns false where another process has the folder.
func (k *persistence) open(n *Node, inherited bool) bool {
	f, err := store.Open(k.disk, k.dir, k.node)
	if err != nil {
		slog.Warn("state: not persisted", "error", err)
		_, used := errors.AsType[*store.InUseError](err)
		return !used
	}
	read := make(chan *store.State, 1)
	go func() { read <- k.read(f) }() // ends when the disk answers
	select {
	case kept := <-read:
		if kept != nil && !inherited {
			k.restore(n, kept)
		}
		k.startPersister(f, kept)
	case <-time.After(openTimeout):
		slog.Warn("state: the disk does not answer, starting without stored state; persisting begins when it answers", "dir", k.dir)
		go func() { // ends when the disk answers
			if kept := <-read; !k.loop.post(func() { k.startPersister(f, kept) }) {
				_ = f.Close()
			}
		}()
	}
	return true
}

// read returns the stored state; nil is none that can be used.
func (k *persistence) read(f *store.Dir) *store.State {
	kept, err := f.Read()
	if err != nil {
		slog.Error("state: stored state quarantined, starting without it", "error", err)
		k.dropped.Inc()
	}
	return kept
}

// openWhenFree locks the folder once the previous process has left it, or until ctx ends.
func (k *persistence) openWhenFree(ctx context.Context) {
	t := time.NewTicker(lockRetryInterval)
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
			slog.Warn("state: not persisted", "error", err)
			return
		}
		// The previous process's checkpoints stay: its tenants may not send here before a crash.
		kept := k.read(f)
		if !k.loop.post(func() { k.startPersister(f, kept) }) {
			_ = f.Close()
		}
		return
	}
}

// startPersister starts to write states to the folder, beginning from the one that is stored.
func (k *persistence) startPersister(f *store.Dir, from *store.State) {
	most := k.settings.MaxTenants
	if most <= 0 {
		most = defaultMaxCheckpoints
	}
	k.persister = store.NewPersister(f, from, 2*most, func(err error, bytes int, took time.Duration) {
		if err != nil {
			k.failed.Inc()
		} else {
			k.states.Inc()
			k.bytesWritten.Add(float64(bytes))
			k.seconds.Observe(took.Seconds())
			k.writtenAt.Store(time.Now().UnixMilli())
		}
		k.loop.post(func() { k.stateWritten(err == nil) })
	})
}

// restore has the loop use a stored state as far as it is not too old.
func (k *persistence) restore(n *Node, s *store.State) {
	now := k.loop.now()
	var from handoverState
	err := json.Unmarshal(s.Parts[snapshotPart], &from)
	if err == nil && from.Version != handoverVersion {
		err = errors.New("of another version")
	}
	if err == nil {
		err = from.List.Check()
	}
	if err == nil {
		err = k.loop.controller.RestoreSnapshot(now, from.Module, maxSnapshotAge)
	}
	if err == nil {
		n.takeList(from, false)
	} else {
		k.dropped.Inc()
		slog.Warn("state: stored snapshot not used", "error", err)
	}
	restored := 0
	for _, r := range s.Checkpoints {
		units, ok := k.tokensNow(r, now)
		if !ok {
			continue // the bucket is full again, or the clock went back
		}
		if err := k.loop.controller.RestoreTenantLevel(now, r.Plan, r.Tenant, r.Nodes, units); err != nil {
			k.dropped.Inc()
			continue
		}
		restored++
	}
	k.restored.Add(float64(restored))
	slog.Info("state: restored", "generation", s.Generation, "age_ms", time.Now().UnixMilli()-s.WrittenAt, "tenants", restored)
}

// tokensNow returns the tokens that a bucket holds now by its checkpoint; ok is false where it is full.
func (k *persistence) tokensNow(r store.Checkpoint, now time.Duration) (units float64, ok bool) {
	for _, p := range k.settings.Plans {
		if p.Name == r.Plan {
			since := now - time.Duration(r.LevelAt)*time.Millisecond
			units = r.Level + p.Rate*max(0, since).Seconds() // no refill where the clock went back
			return units, units < p.Burst
		}
	}
	return 0, false
}

// granted takes that a tenant's request was admitted and sent.
func (k *persistence) granted(r *control.Request) {
	units, rate, depth, spread, ok := k.loop.controller.TenantLevel(r.Plan, r.Tenant)
	if !ok {
		return
	}
	now := k.loop.now()
	if k.checkpoints.RecordGrant(store.TenantKey{Plan: r.Plan, Tenant: r.Tenant}, store.BucketState{Tokens: units, Rate: rate, Burst: depth, Nodes: spread}, now) {
		k.scheduleWrite()
	}
	k.uncovered.Store(k.checkpoints.UncoveredGrants)
}

// scheduleWrite has a state written soon, unless that is scheduled.
func (k *persistence) scheduleWrite() {
	if k.writeScheduled || k.persister == nil {
		return
	}
	k.writeScheduled = true
	time.AfterFunc(writeDelay, func() { k.loop.post(k.write) })
}

// write has a state written, unless one is being written.
func (k *persistence) write() {
	k.writeScheduled = false
	now := time.Now()
	records := k.checkpoints.NextBatch(k.loop.now(), now)
	if records == nil {
		return
	}
	var parts map[string][]byte
	if now.Sub(k.snapshotAt) >= snapshotInterval {
		if raw, err := k.snapshot(); err != nil {
			slog.Warn("state: encoding a snapshot failed", "error", err)
		} else {
			parts, k.snapshotAt = map[string][]byte{snapshotPart: raw}, now
		}
	}
	if !k.persister.Submit(records, parts) {
		k.checkpoints.BatchDone(false)
		k.scheduleWrite()
	}
}

// snapshot returns what was learned of all but tenants, with the endpoint list and the server IDs.
func (k *persistence) snapshot() ([]byte, error) {
	module, err := k.loop.controller.Snapshot(k.loop.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(k.loop.handoverState(k.discoveryAddress(), module))
}

// stateWritten takes whether the state that was submitted last came to the disk.
func (k *persistence) stateWritten(ok bool) {
	k.checkpoints.BatchDone(ok)
	if k.checkpoints.Due() {
		k.scheduleWrite()
	}
}

// close writes the last state, once the loop has ended.
func (k *persistence) close() {
	if k.persister == nil || k.loop.failure != nil {
		return
	}
	if raw, err := k.snapshot(); err == nil {
		k.persister.Submit(k.checkpoints.FinalBatch(k.loop.now(), time.Now()), map[string][]byte{snapshotPart: raw})
	}
	if err := k.persister.Close(stateCloseTimeout); err != nil {
		slog.Warn("state: the final write failed", "error", err)
	}
}
