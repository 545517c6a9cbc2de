package store

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// reserveFraction is the fraction of the burst by which a checkpoint is below the bucket's tokens. Requests granted
	// before the next checkpoint use this reserve. A crash costs a tenant at most this fraction of its burst.
	reserveFraction = 0.25
	// renewFraction is a fraction of the reserve. A new checkpoint is due when the bucket's tokens exceed those that
	// recovery from the durable checkpoint would give by less than this.
	renewFraction = 0.5
)

// Checkpoints tracks which checkpoints of tenants' token buckets are durable and which have to be written. It does no
// I/O itself. It is not safe for concurrent use. Times are on the caller's clock.
//
// A checkpoint is a lower bound of the tokens in a bucket at one time, its level. After a crash, the bucket gets the
// level plus the refill since that time. A granted request is covered by a durable checkpoint if this is at most what
// the bucket has after the request, so that a crash does not return tokens that were used.
type Checkpoints struct {
	UncoveredGrants int64 // granted requests that no durable checkpoint covers
	tenants         map[TenantKey]*tenantCheckpoint
	maxTenants      int
	inFlight        []TenantKey // tenants of the batch being written; nil if there is none
	due             map[TenantKey]bool
}

// TenantKey identifies a tenant.
type TenantKey struct{ Plan, Tenant string }

// BucketState is the state of a tenant's token bucket, with its quota.
type BucketState struct {
	Tokens float64
	Rate   float64 // refill in tokens per second
	Burst  float64 // maximum number of tokens
	Nodes  int     // number of nodes that the tenant's requests may come through
}

// tenantCheckpoint is the state of a tenant's bucket in memory and on disk.
type tenantCheckpoint struct {
	latest     BucketState   // state after the last granted request
	latestAt   time.Duration // time of latest
	durable    timedLevel    // durable checkpoint, if hasDurable
	hasDurable bool
	pending    timedLevel // checkpoint in the last batch
}

// timedLevel is the level of a checkpoint, with its time.
type timedLevel struct {
	level float64 // tokens
	at    time.Duration
}

// recovered returns the tokens that the bucket would get if it were recovered from this level now.
func (l timedLevel) recovered(quota BucketState, now time.Duration) float64 {
	return math.Min(quota.Burst, l.level+quota.Rate*math.Max(0, (now-l.at).Seconds()))
}

// untilFull returns the time from the level's time until the bucket is full.
func (l timedLevel) untilFull(quota BucketState) time.Duration {
	return time.Duration((quota.Burst - l.level) / quota.Rate * float64(time.Second))
}

// NewCheckpoints returns checkpoints for up to maxTenants tenants. Granted requests of further tenants are uncovered.
func NewCheckpoints(maxTenants int) *Checkpoints {
	return &Checkpoints{tenants: make(map[TenantKey]*tenantCheckpoint), maxTenants: maxTenants, due: make(map[TenantKey]bool)}
}

// RecordGrant records the state of a tenant's bucket after a request was granted. It reports whether a checkpoint of
// any tenant is due.
func (c *Checkpoints) RecordGrant(key TenantKey, bucket BucketState, now time.Duration) bool {
	t := c.tenants[key]
	if t == nil {
		if len(c.tenants) >= c.maxTenants {
			c.UncoveredGrants++
			return false
		}
		t = &tenantCheckpoint{}
		c.tenants[key] = t
	}
	t.latest = bucket
	t.latestAt = now
	margin := math.Inf(-1)
	if t.hasDurable {
		margin = bucket.Tokens - t.durable.recovered(bucket, now)
	}
	if margin < 0 {
		c.UncoveredGrants++
	}
	if margin < renewFraction*reserveFraction*bucket.Burst {
		c.due[key] = true
	}
	return c.Due()
}

// Due reports whether a checkpoint has to be written.
func (c *Checkpoints) Due() bool { return len(c.due) > 0 }

// NextBatch returns the checkpoints to write with the next state, or nil if a batch is still being written or no
// checkpoint is due. BatchDone ends the batch. The arguments are the same time on the caller's clock and on the wall
// clock. If c tracks more than maxTenants/2 tenants, NextBatch also stops tracking those whose buckets are full again
// according to their durable checkpoints.
func (c *Checkpoints) NextBatch(now time.Duration, wall time.Time) []Checkpoint {
	if c.inFlight != nil || !c.Due() {
		return nil
	}
	var batch []Checkpoint
	for k := range c.due {
		t := c.tenants[k]
		level := math.Min(t.latest.Burst, t.tokensNow(now)) - reserveFraction*t.latest.Burst
		t.pending = timedLevel{level, now}
		batch = append(batch, t.pending.checkpoint(k, t.latest, wall))
		c.inFlight = append(c.inFlight, k)
	}
	slices.SortFunc(batch, func(a, b Checkpoint) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Tenant, b.Tenant))
	})
	clear(c.due)
	if len(c.tenants) > c.maxTenants/2 {
		maps.DeleteFunc(c.tenants, func(_ TenantKey, t *tenantCheckpoint) bool {
			full := t.hasDurable && t.durable.recovered(t.latest, now) >= t.latest.Burst
			return full && t.pending == t.durable
		})
	}
	return batch
}

// tokensNow returns the tokens of the bucket now, not limited by the burst. No request was granted since latestAt.
func (t *tenantCheckpoint) tokensNow(now time.Duration) float64 {
	return t.latest.Tokens + t.latest.Rate*(now-t.latestAt).Seconds()
}

// checkpoint returns the checkpoint to store for a level; wall is the level's time on the wall clock.
func (l timedLevel) checkpoint(k TenantKey, quota BucketState, wall time.Time) Checkpoint {
	return Checkpoint{
		Plan:    k.Plan,
		Tenant:  k.Tenant,
		Nodes:   quota.Nodes,
		Level:   l.level,
		LevelAt: wall.UnixMilli(),
		FullAt:  wall.Add(l.untilFull(quota)).UnixMilli(),
	}
}

// FinalBatch returns checkpoints of all buckets for the last state before shutdown. They have no reserve, because no
// request is granted afterwards.
func (c *Checkpoints) FinalBatch(now time.Duration, wall time.Time) []Checkpoint {
	var all []Checkpoint
	for k, t := range c.tenants {
		level := timedLevel{math.Min(t.latest.Burst, t.tokensNow(now)), now}
		all = append(all, level.checkpoint(k, t.latest, wall))
	}
	return all
}

// BatchDone ends the batch of the last NextBatch. If ok, its checkpoints are durable; otherwise they were not written
// and are due again.
func (c *Checkpoints) BatchDone(ok bool) {
	for _, k := range c.inFlight {
		t := c.tenants[k]
		switch {
		case t == nil:
		case ok:
			t.durable = t.pending
			t.hasDurable = true
		default:
			c.due[k] = true
		}
	}
	c.inFlight = nil
}
