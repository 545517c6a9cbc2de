package outage

import (
	"context"
	"math/rand/v2"
	"time"

	"sloestile/fleet/subset"
	"sloestile/internal/testbed/scale"
)

const zoneLossName = "zone-loss"

const (
	watchedFull  = 4 // cold servers of which all users are simulated
	watchedQuick = 1
	// keptAtOnce bounds the part of its capacity that a node loses until it has other servers: 1/17 of
	// 200 servers is 12 in the mean, and its standard deviation is 3.3.
	keptAtOnce = 0.15
	// keptAfter bounds the part that it lacks once it has them.
	keptAfter = 0.01
)

// zoneLoss is the loss of a zone's nodes and servers, and their return.
func zoneLoss() scale.Event {
	return scale.Event{
		Name: zoneLossName,
		About: "341 nodes and 5,000 servers of a zone are lost at once and come back together, cold; all nodes' subsets, the " +
			"requests of a sample of nodes, and of all nodes that use some of the cold servers",
		Costs: costsOf(zoneLossName,
			scale.Cost{Name: "capacity-lost-at-once-max", Unit: scale.Count, Budget: keptAtOnce, Bound: keptAtOnce},
			scale.Cost{Name: "capacity-lost-after-max", Unit: scale.Count, Budget: keptAfter, Bound: keptAfter},
			scale.Cost{Name: "new-servers-per-node-max", Unit: scale.Count},
			scale.Cost{Name: "new-nodes-per-server-max", Unit: scale.Count},
			scale.Cost{Name: "nodes-per-server-max", Unit: scale.Count},
			scale.Cost{Name: "subset-differs-after-return", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "node-bytes", Unit: scale.Bytes},
			scale.Cost{Name: "discovery-peak-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "restart-bytes", Unit: scale.Bytes},
			scale.Cost{Name: "consistent-max", Unit: scale.Seconds, Budget: 2 + 3},
			scale.Cost{Name: "sends-to-lost-per-node", Unit: scale.Count},
			scale.Cost{Name: "requests-unserved-per-node", Unit: scale.Count},
			scale.Cost{Name: "cold-sum-over-limit-max", Unit: scale.Count, Budget: 1, Bound: 1},
			scale.Cost{Name: "cold-capacity-used", Unit: scale.Count},
			scale.Cost{Name: "cold-refused-part", Unit: scale.Count},
			scale.Cost{Name: "cold-nodes-simulated", Unit: scale.Count},
			scale.Cost{Name: "decode-cpu", Unit: scale.Microseconds, Timed: true},
			scale.Cost{Name: "loss-change-cpu", Unit: scale.Microseconds, Timed: true},
			scale.Cost{Name: "return-change-cpu", Unit: scale.Microseconds, Timed: true},
		),
		Play: measure(zoneLossName, measureZoneLoss),
	}
}

// zoneRun is a zone's loss at all nodes.
type zoneRun struct {
	list     *serverList
	zone     string
	lost     []subset.Server
	gone     map[string]bool
	watched  map[string][]int // cold servers and the nodes that use them
	atOnce   float64          // part of the capacity
	after    float64
	newMost  int
	differ   int // servers of nodes that use others after the return than before the loss
	newNodes map[string]int
	users    map[string]int
}

func newZoneRun(f fleetSize, seed uint64) *zoneRun {
	rng := rand.New(rand.NewPCG(seed, 51))
	r := &zoneRun{list: newServerList(f, seed), zone: zoneName(rng.IntN(f.zones)), gone: map[string]bool{},
		watched: map[string][]int{}, newNodes: map[string]int{}, users: map[string]int{}}
	for _, s := range r.list.servers {
		if s.Zone == r.zone {
			r.lost = append(r.lost, s)
			r.gone[s.ID] = true
		}
	}
	count := watchedFull
	if f == quickSize {
		count = watchedQuick
	}
	for _, s := range pick(rng, r.lost, count) {
		r.watched[s.ID] = nil
	}
	return r
}

// loseAndReturn has each node outside of the zone lose its servers and get them back.
func (r *zoneRun) loseAndReturn(ctx context.Context, apply applier) error {
	for node := range r.list.size.nodes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		near := r.list.near(node)
		set, err := newSet(node, near)
		if err != nil {
			return err
		}
		before := set.Chosen()
		for _, s := range before {
			if users, ok := r.watched[s.ID]; ok {
				r.watched[s.ID] = append(users, node)
			}
			r.users[s.ID]++
		}
		if zoneName(r.list.size.zoneOf(node)) == r.zone {
			continue // it is lost itself; at the return it chooses as before: see restart.go
		}
		if err := r.loseAt(set, before, near, apply); err != nil {
			return err
		}
	}
	return nil
}

func (r *zoneRun) loseAt(set *subset.Set, before, near []subset.Server, apply applier) error {
	var lost []subset.Server
	for _, s := range near {
		if r.gone[s.ID] {
			lost = append(lost, s)
		}
	}
	r.atOnce = max(r.atOnce, 1-r.capacity(before)/capacityOf(before))
	if _, err := apply(set, removed(lost)); err != nil {
		return err
	}
	used := map[string]bool{}
	for _, s := range before {
		used[s.ID] = true
	}
	fresh := 0
	after := set.Chosen()
	for _, s := range after {
		if !used[s.ID] {
			fresh++
			r.newNodes[s.ID]++
		}
	}
	r.newMost = max(r.newMost, fresh)
	r.after = max(r.after, 1-r.capacity(after)/capacityOf(before))
	if _, err := apply(set, lost); err != nil {
		return err
	}
	for _, s := range set.Chosen() {
		if !used[s.ID] {
			r.differ++
		}
	}
	return nil
}

// capacity returns the capacity of the servers that are not lost.
func (r *zoneRun) capacity(chosen []subset.Server) (sum float64) {
	for _, s := range chosen {
		if !r.gone[s.ID] && s.State == subset.Available {
			sum += s.Capacity
		}
	}
	return sum
}

func capacityOf(chosen []subset.Server) (sum float64) {
	for _, s := range chosen {
		sum += s.Capacity
	}
	return sum
}

func most(counts map[string]int) (most int) {
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

func measureZoneLoss(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	return simulateZoneLoss(ctx, f, seed, applyDelta, out)
}

func simulateZoneLoss(ctx context.Context, f fleetSize, seed uint64, apply applier, out *figures) error {
	r := newZoneRun(f, seed)
	if err := r.loseAndReturn(ctx, apply); err != nil {
		return err
	}
	out.add("capacity-lost-at-once-max", r.atOnce)
	out.add("capacity-lost-after-max", max(0, r.after))
	out.add("new-servers-per-node-max", float64(r.newMost))
	out.add("new-nodes-per-server-max", float64(most(r.newNodes)))
	out.add("nodes-per-server-max", float64(most(r.users)))
	out.add("subset-differs-after-return", float64(r.differ))
	if err := r.bytes(seed, out); err != nil {
		return err
	}
	if err := r.requests(ctx, seed, out); err != nil {
		return err
	}
	return r.time(out)
}

// bytes gives what discovery sends.
func (r *zoneRun) bytes(seed uint64, out *figures) error {
	back, err := message(r.lost, false)
	if err != nil {
		return err
	}
	whole, err := message(r.list.servers, true)
	if err != nil {
		return err
	}
	delays := pushDelays(r.list.size.nodes, rand.New(rand.NewPCG(seed, 52)))
	out.add("node-bytes", float64(len(back)))
	out.add("discovery-peak-bytes", float64(len(back))*float64(busiestSecond(delays)))
	out.add("restart-bytes", float64(len(whole))*float64(r.list.size.nodes/r.list.size.zones))
	out.add("consistent-max", noticedWithin.Seconds()+quantile(delays, 1))
	return nil
}

// requests gives what becomes of requests at the loss and at the return.
func (r *zoneRun) requests(ctx context.Context, seed uint64, out *figures) error {
	var outside []int
	for node := range r.list.size.nodes {
		if zoneName(r.list.size.zoneOf(node)) != r.zone {
			outside = append(outside, node)
		}
	}
	sample := pick(rand.New(rand.NewPCG(seed, 53)), outside, sampleSize(r.list.size))
	loss, err := simulateLoss(ctx, r.list, sample, r.lost, seed)
	if err != nil {
		return err
	}
	out.add("sends-to-lost-per-node", loss.perNode(loss.toGone))
	out.add("requests-unserved-per-node", loss.perNode(loss.refused+loss.failed))
	cold, err := simulateColdStart(newColdWorld(ctx, r.list, seed), r.list, r.watched, r.gone, seed)
	if err != nil {
		return err
	}
	out.add("cold-sum-over-limit-max", cold.worst)
	out.add("cold-capacity-used", cold.used)
	out.add("cold-refused-part", cold.refused)
	out.add("cold-nodes-simulated", float64(cold.gateway))
	return nil
}

// time measures what the loss and the return cost a node that holds the whole list.
func (r *zoneRun) time(out *figures) error {
	raw, err := message(removed(r.lost), false)
	if err != nil {
		return err
	}
	set, err := newSet(1, r.list.servers)
	if err != nil {
		return err
	}
	began := time.Now()
	delta, err := decode(raw)
	if err != nil {
		return err
	}
	out.add("decode-cpu", micros(began))
	for _, change := range []struct {
		name  string
		delta []subset.Server
	}{{"loss-change-cpu", delta}, {"return-change-cpu", r.lost}} {
		began = time.Now()
		if _, err := set.Apply(change.delta); err != nil {
			return err
		}
		out.add(change.name, micros(began))
	}
	return nil
}
