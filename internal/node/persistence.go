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
	dir, nodeName    string
	discoveryAddress func() string
	checkpoints      *store.Checkpoints
	persister        *store.Persister // nil until the folder is this process's
	writeScheduled   bool
	snapshotAt       time.Time

	statesWritten, writeErrors, bytesWritten prometheus.Counter
	writeSeconds                             prometheus.Histogram
	restoredTenants, droppedParts            prometheus.Counter
	uncoveredGrants                          atomic.Int64
	lastWrittenAt                            atomic.Int64 // ms of Unix time
}

func newPersistence(cfg config.Config, l *loop, discoveryAddress func() string) *persistence {
	maxCheckpoints := cfg.Settings.MaxTenants
	if maxCheckpoints <= 0 {
		maxCheckpoints = defaultMaxCheckpoints
	}
	p := &persistence{loop: l, settings: &cfg.Settings, disk: cmp.Or[disk.FS](cfg.Disk, disk.Local{}), dir: cfg.Fleet.State.Dir, nodeName: cfg.Name, discoveryAddress: discoveryAddress,
		checkpoints: store.NewCheckpoints(maxCheckpoints)}
	registry := l.metricsRegistry()
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	p.statesWritten = counter("node_state_written_total", "States that came to the disk.")
	p.writeErrors = counter("node_state_errors_total", "States that could not be written.")
	p.bytesWritten = counter("node_state_writtentotal", "Bytes of the states written.")
	p.restoredTenants = counter("node_state_restored_total", "Customers' stores taken from the disk at the start.")
	p.droppedParts = counter("node_state_dropped_total", "Parts of the state on the disk that were too old or could not be.")
	p.writeSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "node_state_write_seconds", Help: "Time from a state's making until it was on the disk.",
		Buckets: []float64{.001, .003, .01, .03, .1, .3, 1, 3, 10}})
	registry.MustRegister(p.writeSeconds,
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "node_state_uncovered_total", Help: "Requests sent on that no mark on the disk covered."},
			func() float64 { return float64(p.uncoveredGrants.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_state_age_seconds", Help: "Age of the last state on the disk; -1 where there is none of this process."},
			func() float64 {
				if at := p.lastWrittenAt.Load(); at > 0 {
					return time.Since(time.UnixMilli(at)).Seconds()
				}
				return -1
			}))
	return p
}

// open locks the folder and restores what is stored there, unless another process has handed over its state. It is
// called before the loop runs. It returns false where another process has the folder.
func (p *persistence) open(n *Node, handedOver bool) bool {
	folder, err := store.Open(p.disk, p.dir, p.nodeName)
	if err != nil {
		slog.Warn("state: not persisted", "error", err)
		_, inUse := errors.AsType[*store.InUseError](err)
		return !inUse
	}
	read := make(chan *store.State, 1)
	go func() { read <- p.read(folder) }() // ends when the disk answers
	select {
	case stored := <-read:
		if stored != nil && !handedOver {
			p.restore(n, stored)
		}
		p.startPersister(folder, stored)
	case <-time.After(openTimeout):
		slog.Warn("state: the disk does not answer, starting without stored state; persisting begins when it answers", "dir", p.dir)
		go func() { // ends when the disk answers
			if stored := <-read; !p.loop.post(func() { p.startPersister(folder, stored) }) {
				_ = folder.Close()
			}
		}()
	}
	return true
}

// read returns the stored state; nil is none that can be used.
func (p *persistence) read(folder *store.Folder) *store.State {
	stored, err := folder.Read()
	if err != nil {
		slog.Error("state: stored state quarantined, starting without it", "error", err)
		p.droppedParts.Inc()
	}
	return stored
}

// openWhenFree locks the folder once the previous process has left it, or until ctx ends.
func (p *persistence) openWhenUnlocked(ctx context.Context) {
	t := time.NewTicker(lockRetryInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		folder, err := store.Open(p.disk, p.dir, p.nodeName)
		if _, inUse := errors.AsType[*store.InUseError](err); inUse {
			continue
		}
		if err != nil {
			slog.Warn("state: not persisted", "error", err)
			return
		}
		// The previous process's checkpoints stay: its tenants may not send here before a crash.
		stored := p.read(folder)
		if !p.loop.post(func() { p.startPersister(folder, stored) }) {
			_ = folder.Close()
		}
		return
	}
}

// startPersister starts to write states to the folder, beginning from the one that is stored.
func (p *persistence) startPersister(folder *store.Folder, stored *store.State) {
	maxTenants := p.settings.MaxTenants
	if maxTenants <= 0 {
		maxTenants = defaultMaxCheckpoints
	}
	p.persister = store.NewPersister(folder, stored, 2*maxTenants, func(err error, bytes int, took time.Duration) {
		if err != nil {
			p.writeErrors.Inc()
		} else {
			p.statesWritten.Inc()
			p.bytesWritten.Add(float64(bytes))
			p.writeSeconds.Observe(took.Seconds())
			p.lastWrittenAt.Store(time.Now().UnixMilli())
		}
		p.loop.post(func() { p.stateWritten(err == nil) })
	})
}

// restore has the loop use a stored state as far as it is not too old.
func (p *persistence) restore(n *Node, stored *store.State) {
	now := p.loop.now()
	var snapshot handoverState
	err := json.Unmarshal(stored.Parts[snapshotPart], &snapshot)
	if err == nil && snapshot.Version != handoverVersion {
		err = errors.New("of another version")
	}
	if err == nil {
		err = snapshot.List.Check()
	}
	if err == nil {
		err = p.loop.controller.RestoreSnapshot(now, snapshot.Module, maxSnapshotAge)
	}
	if err == nil {
		n.adoptList(snapshot, false)
	} else {
		p.droppedParts.Inc()
		slog.Warn("state: stored snapshot not used", "error", err)
	}
	restored := 0
	for _, checkpoint := range stored.Checkpoints {
		tokens, ok := p.currentTokens(checkpoint, now)
		if !ok {
			continue // the bucket is full again, or the clock went back
		}
		if err := p.loop.controller.RestoreTenantLevel(now, checkpoint.Plan, checkpoint.Tenant, checkpoint.Nodes, tokens); err != nil {
			p.droppedParts.Inc()
			continue
		}
		restored++
	}
	p.restoredTenants.Add(float64(restored))
	slog.Info("state: restored", "generation", stored.Generation, "age_ms", time.Now().UnixMilli()-stored.Written, "tenants", restored)
}

// tokensNow returns the tokens that a bucket holds now by its checkpoint; ok is false where it is full.
func (p *persistence) currentTokens(checkpoint store.Checkpoint, now time.Duration) (tokens float64, ok bool) {
	for _, plan := range p.settings.Plans {
		if plan.Name == checkpoint.Plan {
			elapsed := now - time.Duration(checkpoint.At)*time.Millisecond
			tokens = checkpoint.Level + plan.Rate*max(0, elapsed).Seconds() // no refill where the clock went back
			return tokens, tokens < plan.Burst
		}
	}
	return 0, false
}

// granted takes that a tenant's request was admitted and sent.
func (p *persistence) recordGrant(r *control.Request) {
	tokens, rate, burst, nodes, ok := p.loop.controller.TenantLevel(r.Plan, r.Tenant)
	if !ok {
		return
	}
	now := p.loop.now()
	if p.checkpoints.Granted(store.Key{Plan: r.Plan, Tenant: r.Tenant}, store.Level{Tokens: tokens, Rate: rate, Burst: burst, Nodes: nodes}, now) {
		p.scheduleWrite()
	}
	p.uncoveredGrants.Store(p.checkpoints.Uncovered)
}

// scheduleWrite has a state written soon, unless that is scheduled.
func (p *persistence) scheduleWrite() {
	if p.writeScheduled || p.persister == nil {
		return
	}
	p.writeScheduled = true
	time.AfterFunc(writeDelay, func() { p.loop.post(p.write) })
}

// write has a state written, unless one is being written.
func (p *persistence) write() {
	p.writeScheduled = false
	now := time.Now()
	checkpoints := p.checkpoints.NextBatch(p.loop.now(), now)
	if checkpoints == nil {
		return
	}
	var parts map[string][]byte
	if now.Sub(p.snapshotAt) >= snapshotInterval {
		if raw, err := p.snapshot(); err != nil {
			slog.Warn("state: encoding a snapshot failed", "error", err)
		} else {
			parts, p.snapshotAt = map[string][]byte{snapshotPart: raw}, now
		}
	}
	if !p.persister.Submit(checkpoints, parts) {
		p.checkpoints.BatchWritten(false)
		p.scheduleWrite()
	}
}

// snapshot returns what was learned of all but tenants, with the endpoint list and the server IDs.
func (p *persistence) snapshot() ([]byte, error) {
	module, err := p.loop.controller.Snapshot(p.loop.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(p.loop.handoverState(p.discoveryAddress(), module))
}

// stateWritten takes whether the state that was submitted last came to the disk.
func (p *persistence) stateWritten(ok bool) {
	p.checkpoints.BatchWritten(ok)
	if p.checkpoints.Due() {
		p.scheduleWrite()
	}
}

// close writes the last state, once the loop has ended.
func (p *persistence) close() {
	if p.persister == nil || p.loop.failure != nil {
		return
	}
	if raw, err := p.snapshot(); err == nil {
		p.persister.Submit(p.checkpoints.Final(p.loop.now(), time.Now()), map[string][]byte{snapshotPart: raw})
	}
	if err := p.persister.Close(stateCloseTimeout); err != nil {
		slog.Warn("state: the final write failed", "error", err)
	}
}
