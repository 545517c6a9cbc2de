package ratelimit

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// init fixes the seed, so that each run draws the same values and has the same result; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestNodeLossMovesOnlyItsTenants guards against needless changes of owner: the loss of one of n nodes must move only
// the tenants that it owned, at most 1.5/n of all.
func TestNodeLossMovesOnlyItsTenants(t *testing.T) {
	const tenants = 20000
	for _, n := range []int{3, 10, 60, 300} {
		for _, lost := range []int{0, n / 2, n - 1} {
			moved, nodes := 0, NodeRange{n / 3, n}
			for tenant := range uint64(tenants) {
				before, _ := Owner(tenant, nodes, n, func(int) bool { return true })
				after, _ := Owner(tenant, nodes, n, func(i int) bool { return i != lost })
				if before != after {
					moved++
					if before != lost {
						t.Fatalf("tenant %d moves from node %d to %d when node %d is lost", tenant, before, after, lost)
					}
				}
			}
			if maxMoved := 1.5 * tenants / float64(n); float64(moved) > maxMoved {
				t.Errorf("%d of %d tenants move when one of %d nodes is lost", moved, tenants, n)
			}
		}
	}
}

// TestAtMostOneSideHasQuorum guards against two owners with a quorum: of the sides of a partition, at most one may have
// it, and an owner must be a live node of the tenant's range.
func TestAtMostOneSideHasQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize := rapid.IntRange(1, 40).Draw(t, "fleetSize")
		nodes := NodeRange{rapid.IntRange(0, fleetSize-1).Draw(t, "first"), rapid.IntRange(1, fleetSize).Draw(t, "count")}
		side := rapid.SliceOfN(rapid.IntRange(0, 2), fleetSize, fleetSize).Draw(t, "sides")
		tenant, withQuorum := rapid.Uint64().Draw(t, "tenant"), 0
		for k := range 3 {
			owner, quorum := Owner(tenant, nodes, fleetSize, func(i int) bool { return side[i] == k })
			if quorum {
				withQuorum++
			}
			if owner >= 0 && (side[owner] != k || (owner-nodes.First+fleetSize)%fleetSize >= nodes.Count) {
				t.Fatalf("owner %d of range %v is on side %d, want a node of the range on side %d", owner, nodes, side[owner], k)
			}
			if owner < 0 && quorum {
				t.Fatal("quorum without an owner")
			}
		}
		if withQuorum > 1 {
			t.Fatalf("%d sides have a quorum", withQuorum)
		}
	})
}

// TestBucketGrantsNoMoreThanItsRate guards against a bucket that exceeds its quota: its level must stay between 0 and
// the burst, and it must grant no more than the burst and the refill.
func TestBucketGrantsNoMoreThanItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.1, 50).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "burst")}
		bucket := NewBucket(q, q.Burst, 0)
		now, granted := time.Duration(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			tokens := float64(rapid.IntRange(0, 8).Draw(t, "tokens"))
			before := bucket.Level(now)
			bucket.Consume(tokens, now)
			if before >= tokens {
				granted += tokens
			}
			if level := bucket.Level(now); level < 0 || level > q.Burst || granted > q.Burst+q.Rate*now.Seconds()+1e-6 {
				t.Fatalf("level %g with burst %g, %g tokens granted by %v", level, q.Burst, granted, now)
			}
		}
	})
}

// TestLateUsesCountAsOfThen guards against an empty bucket after a partition: consumption that is reported late, or
// merged from another owner's provisional bucket, must leave a bucket that was never empty at the level it would have
// if each consumption had been reported at once. Late consumption may deviate by the refill of one overflow bin.
func TestLateUsesCountAsOfThen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(1, 20).Draw(t, "rate"), rapid.Float64Range(5, 100).Draw(t, "burst")}
		reference, late, merged := NewBucket(q, q.Burst, 0), NewBucket(q, q.Burst, 0), NewBucket(q, q.Burst, 0)
		type consumption struct {
			tokens     float64
			consumedAt time.Duration
		}
		var delayed []consumption
		now, delayedTokens := time.Duration(0), 0.0
		for now < 8*time.Second {
			now += time.Duration(rapid.IntRange(10, 900).Draw(t, "pause")) * time.Millisecond
			tokens := rapid.Float64Range(0, 4).Draw(t, "tokens")
			if reference.Level(now) < tokens {
				continue
			}
			reference.Consume(tokens, now)
			if rapid.Bool().Draw(t, "delayed") {
				delayed, delayedTokens = append(delayed, consumption{tokens, now}), delayedTokens+tokens
				continue
			}
			late.Consume(tokens, now)
			merged.Consume(tokens, now)
		}
		now += minLateAge
		for _, i := range rapid.Permutation(indices(len(delayed))).Draw(t, "order") {
			late.ConsumeLate(delayed[i].tokens, now-delayed[i].consumedAt, now)
		}
		lowest := reference.Level(now) - 1e-3 // overflow bins have single precision
		assert.InDelta(t, late.Level(now), lowest, q.Rate*overflowBinWidth.Seconds()*1.001+2e-3)
		assert.GreaterOrEqual(t, late.Level(now), lowest)
		merged.Merge(q.Burst, delayedTokens, true, now, now)
		assert.GreaterOrEqual(t, merged.Level(now), lowest)
	})
}

// TestCachedLevelIsIndependentOfReportOrder guards against a cached level that depends on the order or repetition of
// reports: it must be that of the latest report, the lower of two reports of the same time, and expire after
// ReportLifetime.
func TestCachedLevelIsIndependentOfReportOrder(t *testing.T) {
	type report struct {
		level   float64
		validAt time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) report {
			return report{float64(rapid.IntRange(0, 40).Draw(t, "level")), time.Duration(rapid.IntRange(1, 5).Draw(t, "validAt")) * 100 * time.Millisecond}
		}), 1, 8).Draw(t, "reports")
		var ordered, shuffled CachedLevel
		for _, r := range reports {
			ordered.Update(r.level, r.validAt)
		}
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "shuffled") {
			shuffled.Update(r.level, r.validAt)
		}
		if ordered != shuffled {
			t.Fatalf("level after shuffled and repeated reports is %+v, want %+v", shuffled, ordered)
		}
		if !ordered.Fresh(ordered.validAt+ReportLifetime) || ordered.Fresh(ordered.validAt+ReportLifetime+1) {
			t.Fatalf("a level of %v does not expire at %v", ordered.validAt, ordered.validAt+ReportLifetime)
		}
	})
}

// TestCachedLevelFollowsLowBucket guards against outdated estimates of a low bucket: as long as its owner receives
// consumption, the level that other nodes estimate from its reports must be fresh and within minReportChange of the
// burst.
func TestCachedLevelFollowsLowBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.5, 20).Draw(t, "rate"), 40}
		bucket, now := NewBucket(q, q.Burst, 0), time.Duration(0)
		var cached CachedLevel
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			bucket.Consume(rapid.Float64Range(-2, 8).Draw(t, "tokens"), now)
			if level, ok := bucket.DueReport(now); ok {
				cached.Update(level, now)
			}
			if level := bucket.Level(now); bucket.isLow(level) && (!cached.Fresh(now) || math.Abs(cached.Level(q, now)-level) > minReportChange*q.Burst) {
				t.Fatalf("at %v the bucket holds %g, other nodes have a report of %g from %v", now, level, cached.level, cached.validAt)
			}
		}
	})
}

// TestMergeBuckets guards against a merge that forgets consumption. A transferred bucket replaces a provisional one,
// less the consumption from the latter; consumption from a provisional bucket of another owner is deducted; otherwise
// the lower level is kept.
func TestMergeBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{2, 40}
		localLevel, remoteLevel := rapid.Float64Range(0, 40).Draw(t, "localLevel"), rapid.Float64Range(0, 40).Draw(t, "remoteLevel")
		localProvisional, remoteProvisional := rapid.Bool().Draw(t, "localProvisional"), rapid.Bool().Draw(t, "remoteProvisional")
		bucket, want := NewBucket(q, localLevel, 0), math.Min(math.Max(0, localLevel-3), remoteLevel)
		bucket.provisional = localProvisional
		bucket.Consume(3, 0)
		switch {
		case localProvisional && !remoteProvisional:
			want = math.Max(0, remoteLevel-3)
		case remoteProvisional && !localProvisional:
			want = math.Min(remoteLevel, math.Max(0, math.Max(0, localLevel-3)-5))
		}
		if bucket.Merge(remoteLevel, 5, remoteProvisional, 0, 0); math.Abs(bucket.Level(0)-want) > 1e-9 {
			t.Fatalf("%g less 3 (provisional: %v) merged with %g after consuming 5 (provisional: %v) is %g, want %g",
				localLevel, localProvisional, remoteLevel, remoteProvisional, bucket.Level(0), want)
		}
	})
}

// FuzzDecode guards against a panic on arbitrary bytes: a message that decodes must encode again, unless it is long,
// and be received.
func FuzzDecode(f *testing.F) {
	seed, err := (&Message{Sender: 1, Incarnation: 7, Number: 3, Sequence: 2, Consumptions: []Consumption{{Tenant: 9, Plan: 1, Count: 2, Tokens: 3}},
		Hop: 1, Levels: []LevelReport{{Tenant: 9, Tokens: 2, Age: 40}}, Owners: []OwnerReport{{Node: 1}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw, 4)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil && len(raw) < MaxMessageBytes/2 {
			t.Fatalf("encoding decoded message %+v: %v", m, err)
		}
		limiter := NewLimiter(Config{Node: 0, FleetSize: 4, Incarnation: 1, Quotas: map[uint32]Quota{1: {2, 20}}, MaxTenants: 100}, 0)
		limiter.SetLivePeers(0, []Peer{{1, m.Incarnation}, {2, 5}, {3, 6}})
		m.Sender = 1
		limiter.Receive(time.Second, m)
		limiter.Flush(2 * time.Second)
	})
}

// TestNodeRangesAndRelayGroups guards against reports that miss a node: ranges must agree, node by node, on what they
// contain and overlap, also around the end of the fleet, and each live node must have a live relay in its own group.
func TestNodeRangesAndRelayGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize := rapid.IntRange(1, 50).Draw(t, "fleetSize")
		nodes := NodeRange{rapid.IntRange(0, fleetSize-1).Draw(t, "first"), rapid.IntRange(1, fleetSize).Draw(t, "count")}
		low := rapid.IntRange(0, fleetSize-1).Draw(t, "low")
		high := rapid.IntRange(low+1, fleetSize).Draw(t, "high")
		overlaps := false
		for n := low; n < high; n++ {
			overlaps = overlaps || nodes.contains(n, fleetSize)
		}
		if got := nodes.overlaps(low, high, fleetSize); got != overlaps {
			t.Fatalf("range %v of %d nodes overlaps [%d, %d): %v", nodes, fleetSize, low, high, got)
		}
		node, distance := rapid.IntRange(0, fleetSize-1).Draw(t, "node"), rapid.IntRange(0, fleetSize-1).Draw(t, "distance")
		for n := range fleetSize {
			actual := min((n-node+fleetSize)%fleetSize, (node-n+fleetSize)%fleetSize)
			if got := rangeAround(node, distance, fleetSize).contains(n, fleetSize); got != (actual <= distance) {
				t.Fatalf("node %d within distance %d of node %d of %d: %v", n, distance, node, fleetSize, got)
			}
		}
		live := rapid.SliceOfNDistinct(rapid.IntRange(0, fleetSize-1), 1, fleetSize, rapid.ID).Draw(t, "live")
		groups := newRelayGroups(fleetSize, live)
		for _, n := range live {
			if relay := groups.relays[groups.groupOf(n)]; relay < 0 || groups.groupOf(relay) != groups.groupOf(n) {
				t.Fatalf("node %d has relay %d, want a live node of its group", n, relay)
			}
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestDecodeRejectsExcessiveAges guards against a corrupt age, which would let late consumption be absorbed by the
// overflow of a long time: Decode must reject ages above maxAgeMillis, which no node sends.
func TestDecodeRejectsExcessiveAges(t *testing.T) {
	for _, m := range []*Message{{ConsumptionAge: maxAgeMillis}, {ConsumptionAge: maxAgeMillis + 1}, {TransferAge: maxAgeMillis + 1}} {
		m.Number = 1
		raw, err := m.Encode()
		assert.NoError(t, err)
		_, err = Decode(raw, 3)
		assert.Equal(t, m.ConsumptionAge > maxAgeMillis || m.TransferAge > maxAgeMillis, err != nil, "%+v", m)
	}
}
