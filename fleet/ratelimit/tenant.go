package ratelimit

import "time"

// tenantState is the state of one tenant at this node.
type tenantState struct {
	key   uint64
	plan  uint32
	quota Quota     // zero until known
	nodes NodeRange // nodes that the tenant's requests may reach; empty until known

	epoch          uint64 // Limiter.epoch for which the owner was chosen; 0 means that it is to be chosen anew
	owner          int    // negative if there is none
	hasQuorum      bool   // whether a majority of nodes is live
	ownerChanged   bool
	ownerChangedAt time.Duration // valid if ownerChanged

	cached CachedLevel // level from the owner's reports, if another node owns the bucket
	bucket *Bucket     // nil unless this node holds the bucket
}

// tenantWithQuota returns the state of a tenant, after updating its plan, its quota and, if the range is larger than
// the known one, its nodes. It returns nil if the plan has no quota.
func (l *Limiter) tenantWithQuota(key uint64, plan uint32, nodes NodeRange, now time.Duration) *tenantState {
	quota, ok := l.config.Quotas[plan]
	if !ok || quota.Rate <= 0 {
		return nil
	}
	t := l.tenant(key, now)
	t.plan = plan
	t.quota = quota
	if nodes.Count > t.nodes.Count {
		t.nodes = NodeRange{nodes.First, min(nodes.Count, l.config.FleetSize)}
		t.epoch = 0
	}
	return t
}

// tenant returns the state of a tenant, which is created if there is none. Tenants that have not been used for
// tenantRetention are forgotten; if there are more than MaxTenants, the least recently used ones are forgotten earlier.
func (l *Limiter) tenant(key uint64, now time.Duration) *tenantState {
	if now > l.rotatedAt+tenantRetention || len(l.recentTenants) >= l.config.MaxTenants/2 {
		l.rotateTenants(now)
	}
	t := l.recentTenants[key]
	if t != nil {
		return t
	}
	t = l.olderTenants[key]
	if t == nil {
		t = &tenantState{key: key, owner: -1}
	}
	l.recentTenants[key] = t
	return t
}

// rotateTenants forgets the tenants that have not been used since the last rotation.
func (l *Limiter) rotateTenants(now time.Duration) {
	for key, t := range l.olderTenants {
		if l.recentTenants[key] == nil && t.bucket != nil {
			delete(l.ownedTenants, key)
			delete(l.lowTenants, key)
		}
	}
	l.olderTenants = l.recentTenants
	l.recentTenants = make(map[uint64]*tenantState)
	l.rotatedAt = now
}

// ownerOf returns the owner of a tenant among the live nodes, or -1 if there is none. It chooses the owner anew after a
// membership change.
func (l *Limiter) ownerOf(t *tenantState, now time.Duration) int {
	if t.epoch == l.epoch || t.nodes.Count == 0 {
		return t.owner
	}
	previous := t.owner
	live := func(node int) bool { return l.alive[node] }
	t.owner, t.hasQuorum = Owner(t.key, t.nodes, l.config.FleetSize, live)
	t.epoch = l.epoch
	if previous >= 0 && previous != t.owner {
		t.ownerChanged = true
		t.ownerChangedAt = now
	}
	return t.owner
}

// bucketOf returns the bucket of a tenant that this node owns, which is created if there is none. If the previous owner
// has transferred no bucket, the initial level is estimated from its last report or, without one, as lowFraction of the
// burst, because no level is reported while a bucket is not low.
func (l *Limiter) bucketOf(t *tenantState, now time.Duration) *Bucket {
	if t.bucket != nil {
		return t.bucket
	}
	provisional := t.ownerChanged && now < t.ownerChangedAt+publishDuration
	level := t.quota.Burst
	switch {
	case t.cached.known && now < t.cached.validAt+publishDuration:
		level = t.cached.Level(t.quota, now)
	case provisional:
		level = lowFraction * t.quota.Burst
	}
	t.bucket = NewBucket(t.quota, level, now)
	t.bucket.createdAt = now
	t.bucket.provisional = provisional
	l.ownedTenants[t.key] = t
	return t.bucket
}

// LevelEstimate is this node's estimate of the level of a tenant's bucket.
type LevelEstimate struct {
	Tokens       float64       // tokens in the bucket, less this node's consumption since the report
	IsLowerBound bool          // whether the bucket may hold more than Tokens
	Age          time.Duration // time since the owner's report; 0 if this node is the owner
}

// Level returns the estimated level of a tenant's bucket. ok is false if the plan has no quota or the level must not be
// used: without a report younger than ReportLifetime, for ownershipSettleTime after the owner changed, without a quorum
// of the tenant's nodes, or, at the owner, in the quiet period after a suspension.
func (l *Limiter) Level(now time.Duration, key uint64, plan uint32, nodes NodeRange) (estimate LevelEstimate, ok bool) {
	t := l.tenantWithQuota(key, plan, nodes, now)
	if t == nil {
		return estimate, false
	}
	owner := l.ownerOf(t, now)
	settling := t.ownerChanged && now < t.ownerChangedAt+ownershipSettleTime
	if owner < 0 || !t.hasQuorum || settling {
		return estimate, false
	}
	if owner == l.config.Node {
		if now < l.quietUntil {
			return estimate, false
		}
		return LevelEstimate{Tokens: l.bucketOf(t, now).Level(now)}, true
	}
	l.applyOwnerReport(t, now)
	if !t.cached.Fresh(now) {
		return estimate, false
	}
	level := t.cached.Level(t.quota, now)
	return LevelEstimate{Tokens: level, IsLowerBound: t.cached.isLowerBound, Age: now - t.cached.validAt}, true
}

// applyOwnerReport applies the latest OwnerReport of a tenant's owner. If it is newer than the cached level, the owner
// has reported all its low buckets since then, but not this one. The bucket is therefore not low, and a cached level
// that has expired or is lower becomes lowFraction of the burst, as a lower bound. A bucket that was low in the last
// report stays low until that report expires, because owners report no small change.
func (l *Limiter) applyOwnerReport(t *tenantState, now time.Duration) {
	reportedAt, ok := l.ownerReportedAt[t.owner]
	if !ok || now > reportedAt+ReportLifetime || (t.cached.known && reportedAt <= t.cached.validAt) {
		return
	}
	minLevel := lowFraction * t.quota.Burst
	if t.cached.Fresh(now) && (t.cached.reportedLow || t.cached.Level(t.quota, now) > minLevel) {
		return
	}
	t.cached.Update(minLevel, reportedAt)
	t.cached.isLowerBound = true
	l.deductUnacknowledged(t)
}

// deductUnacknowledged deducts from a cached level this node's consumption that the owner has not acknowledged, and may
// not have applied.
func (l *Limiter) deductUnacknowledged(t *tenantState) {
	link := l.links[t.owner]
	if link == nil {
		return
	}
	if pending := link.pending[t.key]; pending != nil {
		t.cached.Consume(float64(pending.Tokens))
	}
	if link.unacknowledged == nil {
		return
	}
	for _, c := range link.unacknowledged.Consumptions {
		if c.Tenant == t.key {
			t.cached.Consume(float64(c.Tokens))
		}
	}
}

// Consume records tokens of a tenant's quota that this node has consumed, and schedules the notification of the owner.
// A correction of an earlier consumption, whose tokens may be negative, may be sent later.
func (l *Limiter) Consume(now time.Duration, key uint64, plan uint32, nodes NodeRange, tokens float64, correction bool) {
	t := l.tenantWithQuota(key, plan, nodes, now)
	if t == nil || tokens == 0 {
		return
	}
	t.cached.Consume(tokens)
	delay := batchInterval
	if correction {
		delay = correctionDelay
	}
	l.notifyOwner(t, tokens, now, now, now+delay)
}

// notifyOwner applies consumption here if this node is the owner, and otherwise adds it to a message to the owner that
// is sent at sendAt or earlier. consumedAt is the time of the consumption.
func (l *Limiter) notifyOwner(t *tenantState, tokens float64, consumedAt, now, sendAt time.Duration) {
	owner := l.ownerOf(t, now)
	if owner == l.config.Node {
		l.consume(t, tokens, now-consumedAt, now)
		return
	}
	if owner < 0 {
		l.Counts.Unowned++
		return
	}
	link := l.scheduleSend(owner, sendAt)
	pending := link.pending[t.key]
	if pending == nil {
		first := Consumption{Tenant: t.key, Plan: t.plan, First: t.nodes.First, Count: t.nodes.Count}
		pending = &pendingConsumption{first, consumedAt}
		link.pending[t.key] = pending
	}
	pending.Tokens += float32(tokens)
	pending.consumedAt = min(pending.consumedAt, consumedAt)
}

// consume removes tokens that were consumed up to age ago from a bucket owned here, and queues a report of its level if
// one is due.
func (l *Limiter) consume(t *tenantState, tokens float64, age, now time.Duration) {
	l.bucketOf(t, now).ConsumeLate(tokens, age, now)
	if l.publishAt == 0 || l.lastConsumptionAt+publishDuration < now {
		l.publishAt = now + batchInterval
	}
	l.lastConsumptionAt = now
	l.maxDistance = max(l.maxDistance, min(t.nodes.Count, l.config.FleetSize-1))
	l.scheduleFlush(max(l.publishAt, l.quietUntil))
	l.reportIfDue(t, now)
}

// reportIfDue queues a report of the level of a bucket owned here if one is due, and updates lowTenants.
func (l *Limiter) reportIfDue(t *tenantState, now time.Duration) {
	if level, ok := t.bucket.DueReport(now); ok {
		l.ownReports.addLevel(t.key, queuedLevel{level, now, t.nodes})
		l.publishAt = min(l.publishAt, now+batchInterval)
		l.scheduleFlush(max(l.publishAt, l.quietUntil))
	}
	if t.bucket.isLow(t.bucket.Level(now)) {
		l.lowTenants[t.key] = t
	} else {
		delete(l.lowTenants, t.key)
	}
}
