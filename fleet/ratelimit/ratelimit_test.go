package ratelimit

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// When one of n nodes goes, its own customers move and no other; they are at most 1.5/n of all.
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
						t.Fatalf("customer %d moves from %d to %d when %d goes", tenant, before, after, lost)
					}
				}
			}
			if maxMoved := 1.5 * tenants / float64(n); float64(moved) > maxMoved {
				t.Errorf("%d of %d customers move when one of %d goes", moved, tenants, n)
			}
		}
	}
}

// Of the sides of a partition one has a quorum at most, and an owner is one of its set.
func TestAtMostOneSideHasQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize := rapid.IntRange(1, 40).Draw(t, "group")
		nodes := NodeRange{rapid.IntRange(0, fleetSize-1).Draw(t, "first"), rapid.IntRange(1, fleetSize).Draw(t, "spread")}
		side := rapid.SliceOfN(rapid.IntRange(0, 2), fleetSize, fleetSize).Draw(t, "sides")
		tenant, withQuorum := rapid.Uint64().Draw(t, "customer"), 0
		for k := range 3 {
			owner, quorum := Owner(tenant, nodes, fleetSize, func(i int) bool { return side[i] == k })
			if quorum {
				withQuorum++
			}
			if owner >= 0 && (side[owner] != k || (owner-nodes.First+fleetSize)%fleetSize >= nodes.Count) {
				t.Fatalf("owner %d of set %v is on side %d, asked for %d", owner, nodes, side[owner], k)
			}
			if owner < 0 && quorum {
				t.Fatal("a quorum of nobody")
			}
		}
		if withQuorum > 1 {
			t.Fatalf("%d sides have a quorum", withQuorum)
		}
	})
}

// A store never holds more than its depth, nor less than nothing, and grants no more than its rate
// has brought.
func TestBucketGrantsNoMoreThanItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.1, 50).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "depth")}
		bucket := NewBucket(q, q.Burst, 0)
		now, granted := time.Duration(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "uses") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			tokens := float64(rapid.IntRange(0, 8).Draw(t, "units"))
			before := bucket.Level(now)
			bucket.Consume(tokens, now)
			if before >= tokens {
				granted += tokens
			}
			if level := bucket.Level(now); level < 0 || level > q.Burst || granted > q.Burst+q.Rate*now.Seconds()+1e-6 {
				t.Fatalf("level %g of %g, %g sent by %v", level, q.Burst, granted, now)
			}
		}
	})
}

// Uses that come after a cut leave the store as if each had come when it was sent, to half a second of
// refill, as long as it was never empty; and a follower's store that is merged does.
func TestLateUsesCountAsOfThen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(1, 20).Draw(t, "rate"), rapid.Float64Range(5, 100).Draw(t, "depth")}
		reference, late, merged := NewBucket(q, q.Burst, 0), NewBucket(q, q.Burst, 0), NewBucket(q, q.Burst, 0)
		type consumption struct {
			tokens     float64
			consumedAt time.Duration
		}
		var delayed []consumption
		now, delayedTokens := time.Duration(0), 0.0
		for now < 8*time.Second {
			now += time.Duration(rapid.IntRange(10, 900).Draw(t, "pause")) * time.Millisecond
			tokens := rapid.Float64Range(0, 4).Draw(t, "units")
			if reference.Level(now) < tokens {
				continue
			}
			reference.Consume(tokens, now)
			if rapid.Bool().Draw(t, "far") {
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
		lowest := reference.Level(now) - 1e-3 // bins are single floats
		assert.InDelta(t, late.Level(now), lowest, q.Rate*overflowBinWidth.Seconds()*1.001+2e-3)
		assert.GreaterOrEqual(t, late.Level(now), lowest)
		merged.Merge(q.Burst, delayedTokens, true, now, now)
		assert.GreaterOrEqual(t, merged.Level(now), lowest)
	})
}

// Whatever the order in which levels are heard, and however often, the view is the same: the newest,
// of two of one time the lower; and it is used for Life and no longer.
func TestCachedLevelIsIndependentOfReportOrder(t *testing.T) {
	type report struct {
		level   float64
		validAt time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) report {
			return report{float64(rapid.IntRange(0, 40).Draw(t, "level")), time.Duration(rapid.IntRange(1, 5).Draw(t, "at")) * 100 * time.Millisecond}
		}), 1, 8).Draw(t, "told")
		var ordered, shuffled CachedLevel
		for _, r := range reports {
			ordered.Update(r.level, r.validAt)
		}
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "again") {
			shuffled.Update(r.level, r.validAt)
		}
		if ordered != shuffled {
			t.Fatalf("heard in another order and twice: %+v, not %+v", shuffled, ordered)
		}
		if !ordered.Fresh(ordered.validAt+ReportLifetime) || ordered.Fresh(ordered.validAt+ReportLifetime+1) {
			t.Fatalf("a level of %v is fresh until another time than %v", ordered.validAt, ordered.validAt+ReportLifetime)
		}
	})
}

// A store that is not low tells nothing. While one is low the others reckon with its level to a
// step, for as long as it is told of uses.
func TestCachedLevelFollowsLowBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.5, 20).Draw(t, "rate"), 40}
		bucket, now := NewBucket(q, q.Burst, 0), time.Duration(0)
		var cached CachedLevel
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			bucket.Consume(rapid.Float64Range(-2, 8).Draw(t, "units"), now)
			if level, ok := bucket.DueReport(now); ok {
				cached.Update(level, now)
			}
			if level := bucket.Level(now); bucket.isLow(level) && (!cached.Fresh(now) || math.Abs(cached.Level(q, now)-level) > minReportChange*q.Burst) {
				t.Fatalf("at %v the store holds %g, the others reckon with %g of %v", now, level, cached.level, cached.validAt)
			}
		}
	})
}

// A store that is handed on stands less what was taken since; what was taken on the other side of a
// cut is gone on both; and whatever the case there is no more than either held.
func TestMergeBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{2, 40}
		localLevel, remoteLevel := rapid.Float64Range(0, 40).Draw(t, "a"), rapid.Float64Range(0, 40).Draw(t, "b")
		localProvisional, remoteProvisional := rapid.Bool().Draw(t, "here"), rapid.Bool().Draw(t, "there")
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
			t.Fatalf("%g less 3 (guessed: %v) and %g after 5 (guessed: %v) come to %g, wanted %g", localLevel, localProvisional, remoteLevel, remoteProvisional, bucket.Level(0), want)
		}
	})
}

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
			t.Fatalf("%+v can't be written again: %v", m, err)
		}
		limiter := NewLimiter(Config{Node: 0, FleetSize: 4, Incarnation: 1, Quotas: map[uint32]Quota{1: {2, 20}}, MaxTenants: 100}, 0)
		limiter.SetLivePeers(0, []Peer{{1, m.Incarnation}, {2, 5}, {3, 6}})
		m.Sender = 1
		limiter.Receive(time.Second, m)
		limiter.Flush(2 * time.Second)
	})
}

// A set meets the nodes of a range where it holds one of them, and each live node has a live head of
// its own cell.
func TestNodeRangesAndRelayGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize := rapid.IntRange(1, 50).Draw(t, "group")
		nodes := NodeRange{rapid.IntRange(0, fleetSize-1).Draw(t, "first"), rapid.IntRange(1, fleetSize).Draw(t, "spread")}
		low := rapid.IntRange(0, fleetSize-1).Draw(t, "lo")
		high := rapid.IntRange(low+1, fleetSize).Draw(t, "hi")
		overlaps := false
		for n := low; n < high; n++ {
			overlaps = overlaps || nodes.contains(n, fleetSize)
		}
		if got := nodes.overlaps(low, high, fleetSize); got != overlaps {
			t.Fatalf("set %v of %d meets %d to %d: %v", nodes, fleetSize, low, high, got)
		}
		node, distance := rapid.IntRange(0, fleetSize-1).Draw(t, "node"), rapid.IntRange(0, fleetSize-1).Draw(t, "reach")
		for n := range fleetSize {
			actual := min((n-node+fleetSize)%fleetSize, (node-n+fleetSize)%fleetSize)
			if got := rangeAround(node, distance, fleetSize).contains(n, fleetSize); got != (actual <= distance) {
				t.Fatalf("%d within %d of %d in %d: %v", n, distance, node, fleetSize, got)
			}
		}
		live := rapid.SliceOfNDistinct(rapid.IntRange(0, fleetSize-1), 1, fleetSize, rapid.ID).Draw(t, "live")
		groups := newRelayGroups(fleetSize, live)
		for _, n := range live {
			if relay := groups.relays[groups.groupOf(n)]; relay < 0 || groups.groupOf(relay) != groups.groupOf(n) {
				t.Fatalf("node %d has head %d", n, relay)
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

// A wait longer than any that a node tells is a spoilt message: nobody has the refill of a minute on its word.
func TestDecodeRejectsExcessiveAges(t *testing.T) {
	for _, m := range []*Message{{ConsumptionAge: maxAgeMillis}, {ConsumptionAge: maxAgeMillis + 1}, {TransferAge: maxAgeMillis + 1}} {
		m.Number = 1
		raw, err := m.Encode()
		assert.NoError(t, err)
		_, err = Decode(raw, 3)
		assert.Equal(t, m.ConsumptionAge > maxAgeMillis || m.TransferAge > maxAgeMillis, err != nil, "%+v", m)
	}
}
