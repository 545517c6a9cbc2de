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
	writeDelay            = 500 * time.Millisecond // delay from a grant that needs a checkpoint to the write of a state
	snapshotInterval      = 2 * time.Second        // minimum interval between two states with a snapshot
	maxSnapshotAge        = 10 * time.Minute       // maximum age at the start; an older snapshot is not used
	openTimeout           = time.Second            // timeout for reading the stored state at the start
	lockRetryInterval     = time.Second            // interval of attempts to lock a folder that the previous process uses
	stateCloseTimeout     = 300 * time.Millisecond // timeout for writing the final state
	defaultMaxCheckpoints = 4096                   // maximum number of tenants if the settings have no MaxTenants

	snapshotPart = "learnt" // key of the snapshot in the stored state's parts
)

// persistence stores the node's state on disk, so that the next process can restore it: checkpoints of the tenants'
// token buckets, and a snapshot of the decision module's other state and the endpoint list. It is owned by the event
// loop; its persister writes in its own goroutine.
type persistence struct {
	loop             *loop
	settings         *control.Settings
	disk             disk.FS
	dir, nodeName    string
	discoveryAddress func() string
	checkpoints      *store.Checkpoints
	persister        *store.Persister // nil until this process has locked the folder
	writeScheduled   bool
	snapshotAt       time.Time     // time of the last snapshot
	closeTimeout     time.Duration // timeout for writing the final state

	statesWritten, writeErrors, bytesWritten prometheus.Counter
	writeSeconds                             prometheus.Histogram
	restoredTenants, droppedParts            prometheus.Counter
	uncoveredGrants                          atomic.Int64 // admitted requests that no checkpoint on disk covers
	lastWrittenAt                            atomic.Int64 // time of the last written state in ms of Unix time; 0 if none
}

// newPersistence returns a persistence for the state folder of the fleet file. discoveryAddress returns the current
// address of discovery.
func newPersistence(cfg config.Config, l *loop, discoveryAddress func() string) *persistence {
	maxCheckpoints := cfg.Settings.MaxTenants
	if maxCheckpoints <= 0 {
		maxCheckpoints = defaultMaxCheckpoints
	}
	p := &persistence{loop: l, settings: &cfg.Settings, disk: cmp.Or[disk.FS](cfg.Disk, disk.Local{}), dir: cfg.Fleet.State.Dir, nodeName: cfg.Name, discoveryAddress: discoveryAddress,
		checkpoints: store.NewCheckpoints(maxCheckpoints), closeTimeout: stateCloseTimeout}
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

// open locks the folder and restores the stored state, unless another process has handed over its state. It must be
// called before the loop runs. It waits at most openTimeout, and until ctx ends, for the disk. It returns false if another process uses the
// folder.
func (p *persistence) open(ctx context.Context, n *Node, handedOver bool) bool {
	folder, err := store.Open(p.disk, p.dir, p.nodeName)
	if err != nil {
		slog.Warn("state: opening the folder failed, state is not persisted", "error", err)
		_, inUse := errors.AsType[*store.InUseError](err)
		return !inUse
	}
	timeout, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	read := make(chan *store.State, 1)
	go func() { read <- p.read(folder) }() // ends when the disk responds
	select {
	case stored := <-read:
		if stored != nil && !handedOver {
			p.restore(n, stored)
		}
		p.startPersister(folder, stored)
	case <-timeout.Done():
		slog.Warn("state: disk does not respond, starting without stored state; persisting starts once it responds", "dir", p.dir)
		go func() { // ends when the disk responds
			if stored := <-read; !p.loop.post(func() { p.startPersister(folder, stored) }) {
				_ = folder.Close()
			}
		}()
	}
	return true
}

// read returns the stored state, or nil if there is none that can be used.
func (p *persistence) read(folder *store.Dir) *store.State {
	stored, err := folder.Read()
	if err != nil {
		slog.Error("state: stored state quarantined, starting without it", "error", err)
		p.droppedParts.Inc()
	}
	return stored
}

// openWhenUnlocked tries to lock the folder until the previous process has unlocked it or ctx ends.
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
			slog.Warn("state: opening the folder failed, state is not persisted", "error", err)
			return
		}
		// Keep the previous process's checkpoints: its tenants may not send a request here before a crash.
		stored := p.read(folder)
		if !p.loop.post(func() { p.startPersister(folder, stored) }) {
			_ = folder.Close()
		}
		return
	}
}

// startPersister starts the persister. Its states extend the stored one; nil means that there is none. A state may thus
// hold checkpoints of twice the maximum number of tenants.
func (p *persistence) startPersister(folder *store.Dir, stored *store.State) {
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

// restore restores the decision module, the endpoint list and the tenants' token buckets from a stored state. It skips
// a snapshot that is too old or not valid.
func (p *persistence) restore(n *Node, stored *store.State) {
	now := p.loop.now()
	var snapshot handoverState
	err := json.Unmarshal(stored.Parts[snapshotPart], &snapshot)
	if err == nil && snapshot.Version != handoverVersion {
		err = errors.New("snapshot has another version")
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
		slog.Warn("state: ignoring the stored snapshot", "error", err)
	}
	restored := 0
	for _, checkpoint := range stored.Checkpoints {
		tokens, ok := p.currentTokens(checkpoint, now)
		if !ok {
			continue // the bucket is full again, or its plan no longer exists
		}
		if err := p.loop.controller.RestoreTenantLevel(now, checkpoint.Plan, checkpoint.Tenant, checkpoint.Nodes, tokens); err != nil {
			p.droppedParts.Inc()
			continue
		}
		restored++
	}
	p.restoredTenants.Add(float64(restored))
	slog.Info("state: restored", "generation", stored.Generation, "age_ms", time.Now().UnixMilli()-stored.WrittenAt, "tenants", restored)
}

// currentTokens returns the tokens that a bucket holds now according to its checkpoint. ok is false if the bucket is
// full or its plan does not exist.
func (p *persistence) currentTokens(checkpoint store.Checkpoint, now time.Duration) (tokens float64, ok bool) {
	for _, plan := range p.settings.Plans {
		if plan.Name == checkpoint.Plan {
			elapsed := now - time.Duration(checkpoint.LevelAt)*time.Millisecond
			tokens = checkpoint.Level + plan.Rate*max(0, elapsed).Seconds() // no refill if the clock went back
			return tokens, tokens < plan.Burst
		}
	}
	return 0, false
}

// recordGrant records that a tenant's request was admitted and sent, and schedules a write if a checkpoint is due.
func (p *persistence) recordGrant(r *control.Request) {
	tokens, rate, burst, nodes, ok := p.loop.controller.TenantLevel(r.Plan, r.Tenant)
	if !ok {
		return
	}
	now := p.loop.now()
	if p.checkpoints.RecordGrant(store.TenantKey{Plan: r.Plan, Tenant: r.Tenant}, store.BucketState{Tokens: tokens, Rate: rate, Burst: burst, Nodes: nodes}, now) {
		p.scheduleWrite()
	}
	p.uncoveredGrants.Store(p.checkpoints.UncoveredGrants)
}

// scheduleWrite schedules a write of the state after writeDelay, unless one is scheduled or the folder is not locked
// yet.
func (p *persistence) scheduleWrite() {
	if p.writeScheduled || p.persister == nil {
		return
	}
	p.writeScheduled = true
	time.AfterFunc(writeDelay, func() { p.loop.post(p.write) })
}

// write submits the checkpoints that are due to the persister, unless a batch is being written. At most once per
// snapshotInterval it adds a snapshot.
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
		p.checkpoints.BatchDone(false)
		p.scheduleWrite()
	}
}

// snapshot returns the encoded state of the decision module without tenants, with the endpoint list and the server IDs.
func (p *persistence) snapshot() ([]byte, error) {
	module, err := p.loop.controller.Snapshot(p.loop.now())
	if err != nil {
		return nil, err
	}
	return json.Marshal(p.loop.handoverState(p.discoveryAddress(), module))
}

// stateWritten handles the result of the last submitted write and schedules another one if checkpoints are due.
func (p *persistence) stateWritten(ok bool) {
	p.checkpoints.BatchDone(ok)
	if p.checkpoints.Due() {
		p.scheduleWrite()
	}
}

// close writes the final state. It must be called after the loop has ended. It does nothing if the loop has failed.
func (p *persistence) close() {
	if p.persister == nil || p.loop.failure != nil {
		return
	}
	if raw, err := p.snapshot(); err == nil {
		p.persister.Submit(p.checkpoints.FinalBatch(p.loop.now(), time.Now()), map[string][]byte{snapshotPart: raw})
	}
	if err := p.persister.Close(p.closeTimeout); err != nil {
		slog.Warn("state: the final write failed", "error", err)
	}
}
