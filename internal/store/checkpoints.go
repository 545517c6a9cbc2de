package store

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// reserveFraction is the fraction of its burst that a checkpoint leaves for requests until the next one: what a
	// crash costs a tenant at most.
	reserveFraction = 0.25
	// renewFraction is the fraction of the reserve below which a new checkpoint is due.
	renewFraction = 0.5
)

// Checkpoints is the pure part of persisting tenants' token buckets: which checkpoints are durable, and which have to
// be written before the requests that they are to cover. Times are on the caller's clock.
//
// A checkpoint is a level that a bucket has at least, at a time. Recovery takes the level and the refill since. A
// granted request is covered if recovery after it would give no more than the bucket then holds.
type Checkpoints struct {
	UncoveredGrants int64 // granted requests that no durable checkpoint covers
	tenants         map[TenantKey]*tenantCheckpoint
	maxTenants      int
	writing         []TenantKey // of the batch on its way to the disk
	due             map[TenantKey]bool
}

// TenantKey names a tenant.
type TenantKey struct{ Plan, Tenant string }

// BucketState is what a bucket holds, and its quota.
type BucketState struct {
	Tokens float64
	Rate   float64 // tokens per second
	Burst  float64 // tokens at most
	Nodes  int     // that the tenant may come through
}

// tenantCheckpoint is what is known of a tenant's bucket here and on the disk.
type tenantCheckpoint struct {
	last      BucketState // as last granted from
	lastAt    time.Duration
	durable   levelAt
	isDurable bool
	pending   levelAt // on its way to the disk
}

// levelAt is a level at a time.
type levelAt struct {
	level float64
	at    time.Duration
}

// recovered returns the level that recovery would take now.
func (l levelAt) recovered(quota BucketState, now time.Duration) float64 {
	return math.Min(quota.Burst, l.level+quota.Rate*math.Max(0, (now-l.at).Seconds()))
}

// untilFull returns how long it takes from the level's time until the bucket is full.
func (l levelAt) untilFull(quota BucketState) time.Duration {
	return time.Duration((quota.Burst - l.level) / quota.Rate * float64(time.Second))
}

// NewCheckpoints returns checkpoints of at most some tenants.
func NewCheckpoints(maxTenants int) *Checkpoints {
	return &Checkpoints{tenants: make(map[TenantKey]*tenantCheckpoint), maxTenants: maxTenants, due: make(map[TenantKey]bool)}
}

// RecordGrant notes what a bucket holds after a request was granted. It reports whether a checkpoint is due.
func (c *Checkpoints) RecordGrant(k TenantKey, l BucketState, now time.Duration) bool {
	t := c.tenants[k]
	if t == nil {
		if len(c.tenants) >= c.maxTenants {
			c.UncoveredGrants++
			return false
		}
		t = &tenantCheckpoint{}
		c.tenants[k] = t
	}
	t.last = l
	t.lastAt = now
	reserve := math.Inf(-1)
	if t.isDurable {
		reserve = l.Tokens - t.durable.recovered(l, now)
	}
	if reserve < 0 {
		c.UncoveredGrants++
	}
	if reserve < renewFraction*reserveFraction*l.Burst {
		c.due[k] = true
	}
	return c.Due()
}

// Due reports whether a checkpoint is to be written.
func (c *Checkpoints) Due() bool { return len(c.due) > 0 }

// NextBatch returns the checkpoints that are to be written now, with the next state; none where a batch is still on
// its way or nothing is due. Where there are many tenants, those whose buckets are full again are dropped.
func (c *Checkpoints) NextBatch(now time.Duration, wall time.Time) []Checkpoint {
	if c.writing != nil || !c.Due() {
		return nil
	}
	var batch []Checkpoint
	for k := range c.due {
		t := c.tenants[k]
		level := math.Min(t.last.Burst, t.levelNow(now)) - reserveFraction*t.last.Burst
		t.pending = levelAt{level, now}
		batch = append(batch, t.pending.checkpoint(k, t.last, wall))
		c.writing = append(c.writing, k)
	}
	slices.SortFunc(batch, func(a, b Checkpoint) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Tenant, b.Tenant))
	})
	clear(c.due)
	if len(c.tenants) > c.maxTenants/2 {
		maps.DeleteFunc(c.tenants, func(_ TenantKey, t *tenantCheckpoint) bool {
			full := t.isDurable && t.durable.recovered(t.last, now) >= t.last.Burst
			return full && t.pending == t.durable
		})
	}
	return batch
}

// levelNow returns the least that the bucket holds now, as nothing was granted since the last note.
func (t *tenantCheckpoint) levelNow(now time.Duration) float64 {
	return t.last.Tokens + t.last.Rate*(now-t.lastAt).Seconds()
}

// checkpoint returns the stored form of a level.
func (l levelAt) checkpoint(k TenantKey, quota BucketState, wall time.Time) Checkpoint {
	return Checkpoint{
		Plan:    k.Plan,
		Tenant:  k.Tenant,
		Nodes:   quota.Nodes,
		Level:   l.level,
		LevelAt: wall.UnixMilli(),
		FullAt:  wall.Add(l.untilFull(quota)).UnixMilli(),
	}
}

// FinalBatch returns checkpoints of all buckets as they are, for the end: nothing is granted after it.
func (c *Checkpoints) FinalBatch(now time.Duration, wall time.Time) []Checkpoint {
	var all []Checkpoint
	for k, t := range c.tenants {
		level := levelAt{math.Min(t.last.Burst, t.levelNow(now)), now}
		all = append(all, level.checkpoint(k, t.last, wall))
	}
	return all
}

// BatchDone takes that the last batch is durable, or was not written.
func (c *Checkpoints) BatchDone(ok bool) {
	for _, k := range c.writing {
		t := c.tenants[k]
		switch {
		case t == nil:
		case ok:
			t.durable = t.pending
			t.isDurable = true
		default:
			c.due[k] = true
		}
	}
	c.writing = nil
}
