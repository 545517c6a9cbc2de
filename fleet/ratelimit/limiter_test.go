package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each use is counted once, whatever is lost, doubled or comes late, and in the end by one node.
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
			t.Fatalf("%g units counted, %g sent", got, consumed)
		}
	})
}

// What was told is not used beyond its life, counted from before the owner was cut off, whatever
// the clocks; the others go on.
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
				t.Fatalf("%d nodes, node %d: told %+v, %v of a store that is empty", nodes, i, k, ok)
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
					t.Fatalf("%d nodes: %v after the cut node %d is told %+v", nodes, f.now-partitionedAt, i, k)
				}
			}
		}
	}
}

// An owner that stood still knows that what it holds is old: it says nothing of it until it has heard.
func TestOwnerIsQuietAfterSuspension(t *testing.T) {
	f := newFleet(4)
	owner := f.owner()
	for range 10 {
		f.consume((owner+1)%4, 1)
		f.run(t, 50*time.Millisecond, deliverOnce)
	}
	f.alive[owner] = false // it is stopped: what is sent to it waits in its sockets, and is lost here
	f.run(t, 3*time.Second, deliverOnce)
	f.alive[owner] = true
	for _, o := range f.limiters[owner].Flush(f.clock(owner)) {
		if len(o.Message.Levels)+len(o.Message.Owners) > 0 {
			t.Errorf("just woken, it tells %+v", o.Message)
		}
	}
	if k, ok := f.level(owner); ok {
		t.Errorf("just woken, it decides by %+v", k)
	}
	f.run(t, 2*time.Second, deliverOnce)
	if _, ok := f.level(owner); !ok {
		t.Error("it does not come back")
	}
}

// A partition: the side without most of the set uses nothing told, and what its nodes let pass by
// what they knew when they were cut off is bounded by the formula of docs/design.md: what a store
// holds and Life refills, for each of them. When it is whole again there is one store.
func TestPartitionGrantsNoMoreThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(3, 9).Draw(t, "nodes")
		f := newFleet(nodes)
		minority := make([]bool, nodes)
		minoritySize := rapid.IntRange(1, (nodes-1)/2).Draw(t, "few")
		for _, i := range rapid.Permutation(seq(nodes)).Draw(t, "order")[:minoritySize] {
			minority[i] = true
		}
		warmUp := time.Duration(rapid.IntRange(200, 1500).Draw(t, "warm")) * time.Millisecond
		for f.now < warmUp {
			f.consume(rapid.IntRange(0, nodes-1).Draw(t, "at"), 1)
			f.run(t, 50*time.Millisecond, deliverOnce)
		}
		partitionedAt, admitted := f.now, 0.0
		detectionDelay := time.Duration(rapid.IntRange(500, 4000).Draw(t, "found")) * time.Millisecond // until the membership sees it
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
		admittedByOwner := 0.0 // an owner on that side goes on until it sees that it is alone
		if minority[f.owner()] {
			admittedByOwner = quota.Rate * (detectionDelay + time.Second).Seconds()
		}
		if maxAdmitted := float64(minoritySize)*(quota.Burst+quota.Rate*ReportLifetime.Seconds()) + admittedByOwner; admitted > maxAdmitted {
			t.Fatalf("%g units passed on the side of %d of %d nodes, the formula has %g", admitted, minoritySize, nodes, maxAdmitted)
		}
		f.updateMembership(func(a, b int) bool { return true })
		f.run(t, 2*time.Second, deliverOnce)
		buckets := 0
		for _, limiter := range f.limiters {
			buckets += len(limiter.ownedTenants)
		}
		if buckets > 1 {
			t.Fatalf("%d stores 2 s after the partition has healed", buckets)
		}
	})
}

// sendAllAdmitted lets the nodes of the side that was cut off send as much as they admit, and returns the units that
// passed. None may decide by a report that is older than its lifetime, unless the owner is on that side.
func (f *fleet) consumeAllAdmitted(t *rapid.T, minority []bool, partitionedAt time.Duration) (admitted float64) {
	for i := range f.limiters {
		for k, ok := f.level(i); minority[i] && ok && k.Tokens >= 1; k, ok = f.level(i) {
			if f.now > partitionedAt+ReportLifetime+20*time.Millisecond && !minority[f.owner()] {
				t.Fatalf("node %d decides by %+v %v after it was cut off", i, k, f.now-partitionedAt)
			}
			f.consume(i, 1)
			admitted++
		}
	}
	return admitted
}

// A store goes with its owner when that leaves, and its successor knows what it held.
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
	f.updateMembership(func(a, b int) bool { return true }) // it goes on for a while, and hears of who comes and goes
	f.consume(owner, 1)
	if _, ok := f.level(owner); ok || len(f.limiters[owner].ownedTenants) > 0 {
		t.Error("one that has left owns a store")
	}
	f.run(t, 200*time.Millisecond, deliverOnce)
	successor := f.limiters[f.owner()]
	tenant := successor.ownedTenants[tenantKey]
	if tenant == nil {
		t.Fatal("the next owner has no store")
	}
	if got := tenant.bucket.Level(f.clock(f.owner())); got > before.Tokens+quota.Rate+0.5 || got < before.Tokens-0.5 {
		t.Errorf("the store held %g, and 0.2 s later %g at its next owner", before.Tokens, got)
	}
}

// A node that leaves while nobody else of a customer's set is there keeps its store, whatever changes
// after that, and owns again when it returns.
func TestLeaveWithoutSuccessorKeepsBucket(t *testing.T) {
	f := newFleet(3)
	limiter, nodes := f.limiters[0], NodeRange{0, 1}
	limiter.Consume(f.now, 77, 1, nodes, 1, false)
	limiter.Leave(f.now)
	limiter.SetLivePeers(f.now, nil)
	limiter.SetLivePeers(f.now, []Peer{{1, limiter.incarnations[1]}})
	if limiter.ownedTenants[77] == nil {
		t.Fatal("the store is gone")
	}
	limiter.Rejoin()
	limiter.SetLivePeers(f.now, nil)
	if k, ok := limiter.Level(f.now+ownershipSettleTime+1, 77, 1, nodes); !ok || k.Tokens >= limiter.config.Quotas[1].Burst+1 {
		t.Fatalf("after its return: %+v, %v", k, ok)
	}
}

// The bounds that are broken on purpose: customers beyond the most are forgotten, a message never
// outgrows a datagram, and a fleet at rest says nothing.
func TestTenantsMessagesAndIdleTrafficAreBounded(t *testing.T) {
	f := newFleet(4)
	for c := range uint64(3000) {
		for i := range 2 {
			f.limiters[i].Consume(f.clock(i), c, planID, f.nodes, 39, false)
		}
		if c%500 == 0 {
			f.run(t, 100*time.Millisecond, deliverOnce) // hear fails for a message that is too long
		}
	}
	for i, limiter := range f.limiters {
		if n := len(limiter.recentTenants) + len(limiter.olderTenants); n > limiter.config.MaxTenants {
			t.Errorf("node %d remembers %d customers of %d at most", i, n, limiter.config.MaxTenants)
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
		t.Errorf("%d messages in 5 s at rest", -sentDifference)
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
