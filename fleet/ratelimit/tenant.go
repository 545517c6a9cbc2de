package ratelimit

import "time"

// tenantState is what is known of one tenant.
type tenantState struct {
	key   uint64
	plan  uint32
	quota Quota
	nodes NodeRange // that the tenant may come through; empty until that is known

	epoch          uint64 // of the membership by which the owner was chosen
	owner          int    // below zero is none
	hasQuorum      bool
	ownerChanged   bool
	ownerChangedAt time.Duration

	cached CachedLevel // by reports, where another node owns the bucket
	bucket *Bucket     // nil: another node owns it
}

// lookUp returns what is known of a tenant, with its plan and the largest range of nodes that was told; nil where the
// plan has no quota.
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

// tenant returns what is known of a tenant. Tenants that were not used for tenantRetention are forgotten, and beyond
// MaxTenants those that were not used for longest.
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

// ownerOf returns the owner of a tenant among the live nodes, or -1.
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

// bucketOf returns the bucket of a tenant that this node owns. One that follows an owner that handed nothing over
// begins with the level that was reported last; of buckets that are not low nothing is reported.
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

// LevelEstimate is what a node knows of a tenant's bucket.
type LevelEstimate struct {
	Tokens       float64       // that it holds, less what this node has consumed since
	IsLowerBound bool          // it holds Tokens or more
	Age          time.Duration // since it was true
}

// Level returns what is known of a tenant's bucket, if it may be used: no report older than ReportLifetime, none for
// ownershipSettleTime after the owner changed, and none without a quorum of the tenant's nodes.
func (l *Limiter) Level(now time.Duration, key uint64, plan uint32, nodes NodeRange) (k LevelEstimate, ok bool) {
	t := l.tenantWithQuota(key, plan, nodes, now)
	if t == nil {
		return k, false
	}
	owner := l.ownerOf(t, now)
	settling := t.ownerChanged && now < t.ownerChangedAt+ownershipSettleTime
	if owner < 0 || !t.hasQuorum || settling {
		return k, false
	}
	if owner == l.config.Node {
		if now < l.quietUntil {
			return k, false
		}
		return LevelEstimate{Tokens: l.bucketOf(t, now).Level(now)}, true
	}
	l.applyOwnerReport(t, now)
	if !t.cached.Fresh(now) {
		return k, false
	}
	level := t.cached.Level(t.quota, now)
	return LevelEstimate{Tokens: level, IsLowerBound: t.cached.isLowerBound, Age: now - t.cached.validAt}, true
}

// applyCoverage takes that an owner has reported all its low buckets and not this one: it held lowFraction at least. A
// bucket that was low when last reported is low until that report expires, as owners report no small change.
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

// deductUnacknowledged takes from a cached level the own consumption that the owner may not have applied.
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

// Consume takes tokens that this node has consumed of a tenant's quota and notifies the owner. A correction of what was
// consumed before may wait for longer.
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

// notifyOwner has consumption applied by the owner: here, or by a message that is sent by a time. since is when it was
// to be reported first.
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

// consume takes tokens that have waited for a time from the bucket that is owned here, and reports its level if that is
// due.
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

// reportIfDue queues a report on a bucket's level if one is due.
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
