package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConsumptionIsAppliedOnce guards against consumption that is lost or applied twice: each message is lost,
// delivered or duplicated at random, and in the end the owner must have counted exactly what all nodes consumed.
func TestConsumptionIsAppliedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "nodes"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		consumed, owner := 0.0, f.owner()
		for range 40 {
			tokens := float64(1 + rng.IntN(5))
			f.consume(rng.IntN(len(f.limiters)), tokens)
			consumed += tokens
			f.run(t, time.Duration(10+rng.IntN(100))*time.Millisecond, func(int, int) int { return rng.IntN(3) })
		}
		f.run(t, 2*time.Second, deliverOnce)
		if got := f.consumed(owner); got != consumed {
			t.Fatalf("owner counted %g tokens, want %g", got, consumed)
		}
	})
}

// TestExpiredReportsAreNotUsed guards against the use of an expired report: the owner of an empty bucket is partitioned
// from the others, whose clocks differ by hours. They must not use its level for longer than ReportLifetime after the
// partition.
func TestExpiredReportsAreNotUsed(t *testing.T) {
	for nodes := 3; nodes <= 9; nodes += 3 {
		f := newFleet(nodes)
		owner := f.owner()
		for range 30 {
			for i := range f.limiters {
				f.consume(i, 1)
			}
			f.run(t, 100*time.Millisecond, deliverOnce)
		}
		for i := range f.limiters {
			if k, ok := f.level(i); !ok || k.Tokens > quota.Burst*lowFraction+1 {
				t.Fatalf("%d nodes: node %d has level %+v, %v of an empty bucket", nodes, i, k, ok)
			}
		}
		partitionedAt := f.now
		withoutOwner := func(a, b int) int {
			if a == owner || b == owner {
				return 0
			}
			return 1
		}
		for f.now < partitionedAt+3*ReportLifetime {
			f.run(t, 50*time.Millisecond, withoutOwner)
			for i := range f.limiters {
				if k, ok := f.level(i); ok && i != owner && f.now > partitionedAt+ReportLifetime+10*time.Millisecond {
					t.Fatalf("%d nodes: %v after the partition, node %d uses %+v", nodes, f.now-partitionedAt, i, k)
				}
			}
		}
	}
}

// TestOwnerIsQuietAfterSuspension guards against an owner that publishes or uses outdated levels after its process was
// suspended. It must do neither until it has had the time to read the messages received meanwhile.
func TestOwnerIsQuietAfterSuspension(t *testing.T) {
	f := newFleet(4)
	owner := f.owner()
	for range 10 {
		f.consume((owner+1)%4, 1)
		f.run(t, 50*time.Millisecond, deliverOnce)
	}
	f.alive[owner] = false // suspended; messages to it are lost here, while real ones would wait in its socket
	f.run(t, 3*time.Second, deliverOnce)
	f.alive[owner] = true
	for _, o := range f.limiters[owner].Flush(f.clock(owner)) {
		if len(o.Message.Levels)+len(o.Message.Owners) > 0 {
			t.Errorf("owner publishes %+v immediately after a suspension", o.Message)
		}
	}
	if k, ok := f.level(owner); ok {
		t.Errorf("owner uses %+v immediately after a suspension", k)
	}
	f.run(t, 2*time.Second, deliverOnce)
	if _, ok := f.level(owner); !ok {
		t.Error("owner has no level 2 s after a suspension")
	}
}

// TestPartitionGrantsNoMoreThanItsBound guards against overrunning a quota in a partition. On the side with a minority
// of the tenant's nodes, each node may admit at most a full bucket and the refill of ReportLifetime, by the formula in
// docs/design.md; no node may use an expired report. After the partition there must be a single bucket again.
func TestPartitionGrantsNoMoreThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(3, 9).Draw(t, "nodes")
		f := newFleet(nodes)
		minority := make([]bool, nodes)
		minoritySize := rapid.IntRange(1, (nodes-1)/2).Draw(t, "minoritySize")
		for _, i := range rapid.Permutation(seq(nodes)).Draw(t, "order")[:minoritySize] {
			minority[i] = true
		}
		warmUp := time.Duration(rapid.IntRange(200, 1500).Draw(t, "warmUp")) * time.Millisecond
		for f.now < warmUp {
			f.consume(rapid.IntRange(0, nodes-1).Draw(t, "node"), 1)
			f.run(t, 50*time.Millisecond, deliverOnce)
		}
		partitionedAt, admitted := f.now, 0.0
		// detectionDelay is the time until the membership detects the partition.
		detectionDelay := time.Duration(rapid.IntRange(500, 4000).Draw(t, "detectionDelay")) * time.Millisecond
		withinSides := func(a, b int) int {
			if minority[a] != minority[b] {
				return 0
			}
			return 1
		}
		for detected := false; f.now < partitionedAt+6*time.Second; {
			if !detected && f.now >= partitionedAt+detectionDelay {
				detected = true
				f.updateMembership(func(a, b int) bool { return minority[a] == minority[b] })
			}
			admitted += f.consumeAllAdmitted(t, minority, partitionedAt)
			f.run(t, 50*time.Millisecond, withinSides)
		}
		admittedByOwner := 0.0 // an owner in the minority continues until the partition is detected
		if minority[f.owner()] {
			admittedByOwner = quota.Rate * (detectionDelay + time.Second).Seconds()
		}
		if maxAdmitted := float64(minoritySize)*(quota.Burst+quota.Rate*ReportLifetime.Seconds()) + admittedByOwner; admitted > maxAdmitted {
			t.Fatalf("a minority of %d of %d nodes admitted %g tokens, want at most %g", minoritySize, nodes, admitted, maxAdmitted)
		}
		f.updateMembership(func(a, b int) bool { return true })
		f.run(t, 2*time.Second, deliverOnce)
		buckets := 0
		for _, limiter := range f.limiters {
			buckets += len(limiter.ownedTenants)
		}
		if buckets > 1 {
			t.Fatalf("%d buckets of a tenant 2 s after the end of the partition", buckets)
		}
	})
}

// consumeAllAdmitted consumes, at each node of the minority, as much as its level admits, and returns the tokens. It
// fails if a node uses an expired report, which is possible only if the owner is in the majority.
func (f *fleet) consumeAllAdmitted(t *rapid.T, minority []bool, partitionedAt time.Duration) (admitted float64) {
	for i := range f.limiters {
		for k, ok := f.level(i); minority[i] && ok && k.Tokens >= 1; k, ok = f.level(i) {
			if f.now > partitionedAt+ReportLifetime+20*time.Millisecond && !minority[f.owner()] {
				t.Fatalf("node %d uses %+v %v after the partition", i, k, f.now-partitionedAt)
			}
			f.consume(i, 1)
			admitted++
		}
	}
	return admitted
}

// TestLeaveTransfersBucketToNextOwner guards against a bucket that is lost or refilled when its owner leaves: the next
// owner must continue with its level.
func TestLeaveTransfersBucketToNextOwner(t *testing.T) {
	f := newFleet(5)
	owner := f.owner()
	for range 20 {
		f.consume((owner+1)%5, 1)
		f.run(t, 50*time.Millisecond, deliverOnce)
	}
	before, _ := f.level(owner)
	f.limiters[owner].Leave(f.clock(owner))
	f.flush()
	f.alive[owner] = false
	f.updateMembership(func(a, b int) bool { return true }) // the node that left still runs and receives the membership
	f.consume(owner, 1)
	if _, ok := f.level(owner); ok || len(f.limiters[owner].ownedTenants) > 0 {
		t.Error("a node that left owns a bucket")
	}
	f.run(t, 200*time.Millisecond, deliverOnce)
	successor := f.limiters[f.owner()]
	tenant := successor.ownedTenants[tenantKey]
	if tenant == nil {
		t.Fatal("the next owner has no bucket")
	}
	if got := tenant.bucket.Level(f.clock(f.owner())); got > before.Tokens+quota.Rate+0.5 || got < before.Tokens-0.5 {
		t.Errorf("bucket held %g tokens at the owner that left, and %g tokens 0.2 s later at the next owner", before.Tokens, got)
	}
}

// TestLeaveWithoutSuccessorKeepsBucket guards against a bucket that is dropped: a node that leaves while no other node
// of a tenant's range is live must keep the bucket through membership changes, and use it again after Rejoin.
func TestLeaveWithoutSuccessorKeepsBucket(t *testing.T) {
	f := newFleet(3)
	limiter, nodes := f.limiters[0], NodeRange{0, 1}
	limiter.Consume(f.now, 77, 1, nodes, 1, false)
	limiter.Leave(f.now)
	limiter.SetLivePeers(f.now, nil)
	limiter.SetLivePeers(f.now, []Peer{{1, limiter.incarnations[1]}})
	if limiter.ownedTenants[77] == nil {
		t.Fatal("the bucket was dropped")
	}
	limiter.Rejoin()
	limiter.SetLivePeers(f.now, nil)
	if k, ok := limiter.Level(f.now+ownershipSettleTime+1, 77, 1, nodes); !ok || k.Tokens >= limiter.config.Quotas[1].Burst+1 {
		t.Fatalf("level after Rejoin: %+v, %v", k, ok)
	}
}

// TestTenantsMessagesAndIdleTrafficAreBounded guards against unbounded state and traffic: with 3000 tenants, each node
// must keep at most MaxTenants of them, no message may exceed a datagram, and an idle fleet must send no messages.
func TestTenantsMessagesAndIdleTrafficAreBounded(t *testing.T) {
	f := newFleet(4)
	for c := range uint64(3000) {
		for i := range 2 {
			f.limiters[i].Consume(f.clock(i), c, planID, f.nodes, 39, false)
		}
		if c%500 == 0 {
			f.run(t, 100*time.Millisecond, deliverOnce) // fails if a message is too long
		}
	}
	for i, limiter := range f.limiters {
		if n := len(limiter.recentTenants) + len(limiter.olderTenants); n > limiter.config.MaxTenants {
			t.Errorf("node %d keeps %d tenants, want at most %d", i, n, limiter.config.MaxTenants)
		}
	}
	f.run(t, 12*time.Second, deliverOnce)
	sentDifference := int64(0)
	for _, limiter := range f.limiters {
		sentDifference += limiter.Counts.Sent
	}
	f.run(t, 5*time.Second, deliverOnce)
	for _, limiter := range f.limiters {
		sentDifference -= limiter.Counts.Sent
	}
	if sentDifference != 0 {
		t.Errorf("idle fleet sent %d messages in 5 s", -sentDifference)
	}
}

func BenchmarkExchange(b *testing.B) {
	f := newFleet(3)
	owner := f.owner()
	for i := 0; b.Loop(); i++ {
		f.level((owner + 1) % 3)
		f.consume((owner+1)%3, 1)
		f.now += 60 * time.Millisecond
		f.flush()
		for len(f.inFlight) > 0 {
			f.deliver(b, f.inFlight[0])
			f.inFlight = f.inFlight[1:]
			f.flush()
		}
	}
}
