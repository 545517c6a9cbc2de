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
	writeDelay            = 500 * time.Millisecond // from a grant that needs a mark to the state's writing
	snapshotInterval      = 2 * time.Second        // at most, between two states with what was learnt of servers and shares
	maxSnapshotAge        = 10 * time.Minute       // for which that is of worth
	openTimeout           = time.Second            // for what is kept, at the start
	lockRetryInterval     = time.Second            // between two tries for a folder that the process before still has
	closeTimeout          = 300 * time.Millisecond // for the last state, at the end
	snapshotPart          = "learnt"
	defaultMaxCheckpoints = 4096 // customers, where no limit on memory is told
)

// keeping is the node's part in keeping what it has learnt. It belongs to the loop; the keeper
// writes beside it.
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

// open takes the folder and, unless another process has handed over what it knows, what is kept
// there. It is called before the loop runs. False is that another process has the folder.
func (k *persistence) open(n *Node, inherited bool) bool {
	f, err := store.Open(k.disk, k.dir, k.node)
	if err != nil {
		slog.Warn("state: not persisted", "error", err)
		_, used := errors.AsType[*store.InUseError](err)
		return !used
	}
	read := make(chan *store.State, 1)
	go func() { read <- k.read(f) }() // ends with the disk's step
	select {
	case kept := <-read:
		if kept != nil && !inherited {
			k.restore(n, kept)
		}
		k.startPersister(f, kept)
	case <-time.After(openTimeout):
		slog.Warn("state: the disk does not answer, starting without stored state; persisting begins when it answers", "dir", k.dir)
		go func() { // likewise
			if kept := <-read; !k.loop.post(func() { k.startPersister(f, kept) }) {
				_ = f.Close()
			}
		}()
	}
	return true
}

// read gives what is kept; nil is nothing of use.
func (k *persistence) read(f *store.Folder) *store.State {
	kept, err := f.Read()
	if err != nil {
		slog.Error("state: stored state quarantined, starting without it", "error", err)
		k.dropped.Inc()
	}
	return kept
}

// openLater takes the folder when the process before has left it, until ctx ends.
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
		// What the process before had marked goes on: its customers may not send here before a crash.
		kept := k.read(f)
		if !k.loop.post(func() { k.startPersister(f, kept) }) {
			_ = f.Close()
		}
		return
	}
}

func (k *persistence) startPersister(f *store.Folder, from *store.State) {
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

// recall takes what is kept and still of worth.
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
			continue // full again, or a clock that went back
		}
		if err := k.loop.controller.RestoreTenant(now, r.Plan, r.Tenant, r.Nodes, units); err != nil {
			k.dropped.Inc()
			continue
		}
		restored++
	}
	k.restored.Add(float64(restored))
	slog.Info("state: restored", "generation", s.Generation, "age_ms", time.Now().UnixMilli()-s.Written, "tenants", restored)
}

// left is what a store holds now by its mark; ok is false where it is full.
func (k *persistence) tokensNow(r store.Checkpoint, now time.Duration) (units float64, ok bool) {
	for _, p := range k.settings.Plans {
		if p.Name == r.Plan {
			since := now - time.Duration(r.At)*time.Millisecond
			units = r.Level + p.Rate*max(0, since).Seconds() // a clock that went back refills nothing
			return units, units < p.Burst
		}
	}
	return 0, false
}

// granted notes that a customer's request was sent on.
func (k *persistence) granted(r *control.Request) {
	units, rate, depth, spread, ok := k.loop.controller.TenantLevel(r.Plan, r.Tenant)
	if !ok {
		return
	}
	now := k.loop.now()
	if k.checkpoints.Granted(store.Key{Plan: r.Plan, Tenant: r.Tenant}, store.Level{Tokens: units, Rate: rate, Burst: depth, Nodes: spread}, now) {
		k.scheduleWrite()
	}
	k.uncovered.Store(k.checkpoints.Uncovered)
}

func (k *persistence) scheduleWrite() {
	if k.writeScheduled || k.persister == nil {
		return
	}
	k.writeScheduled = true
	time.AfterFunc(writeDelay, func() { k.loop.post(k.write) })
}

// flush has a state written, unless one is on its way.
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
		k.checkpoints.BatchWritten(false)
		k.scheduleWrite()
	}
}

// learnt is what was learnt of all but customers, with the list and the names of its servers.
func (k *persistence) snapshot() ([]byte, error) {
	module, err := k.loop.controller.Snapshot(k.loop.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(k.loop.handoverState(k.discoveryAddress(), module))
}

// wrote takes that a state has come to the disk, or has not.
func (k *persistence) stateWritten(ok bool) {
	k.checkpoints.BatchWritten(ok)
	if k.checkpoints.Due() {
		k.scheduleWrite()
	}
}

// end writes what is known last, once the loop has ended.
func (k *persistence) close() {
	if k.persister == nil || k.loop.failure != nil {
		return
	}
	if raw, err := k.snapshot(); err == nil {
		k.persister.Submit(k.checkpoints.Final(k.loop.now(), time.Now()), map[string][]byte{snapshotPart: raw})
	}
	if err := k.persister.Close(closeTimeout); err != nil {
		slog.Warn("state: the final write failed", "error", err)
	}
}
