package outage

import (
	"context"
	"math/rand/v2"
	"time"

	"sloestile/fleet/subset"
	"sloestile/internal/testbed/scale"
)

const rackLossName = "rack-loss"

const (
	rackServers = 40
	// changeWithin is the budget of one server's change at a node that it does not concern, in us.
	changeWithin = 50.0
	// changedRatio bounds the nodes whose subset a loss changes, over those that used a lost server.
	changedRatio = 1.5
)

// rackLoss is the loss of a rack of 40 servers at once.
func rackLoss() scale.Event {
	return scale.Event{
		Name: rackLossName,
		About: "40 servers of a zone are lost at once; discovery notices it in 3 s and tells a node 0.1 to 2 s later; all nodes' " +
			"subsets, and the requests of a sample of the nodes that are concerned",
		Costs: costsOf(rackLossName,
			scale.Cost{Name: "nodes-changed", Unit: scale.Count},
			scale.Cost{Name: "nodes-changed-over-ideal", Unit: scale.Count, Budget: changedRatio, Bound: changedRatio},
			scale.Cost{Name: "servers-missing-max", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "node-bytes", Unit: scale.Bytes},
			scale.Cost{Name: "discovery-peak-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "consistent-p99", Unit: scale.Seconds},
			scale.Cost{Name: "consistent-max", Unit: scale.Seconds, Budget: 2 + 3},
			scale.Cost{Name: "sends-to-lost-per-node", Unit: scale.Count},
			scale.Cost{Name: "sends-to-lost-all", Unit: scale.Count},
			scale.Cost{Name: "requests-unserved-per-node", Unit: scale.Count},
			scale.Cost{Name: "decode-cpu", Unit: scale.Microseconds, Timed: true},
			scale.Cost{Name: "unconcerned-change-cpu", Unit: scale.Microseconds, Budget: rackServers * changeWithin, Timed: true},
			scale.Cost{Name: "concerned-change-cpu", Unit: scale.Microseconds, Timed: true},
		),
		Play: measure(rackLossName, measureRackLoss),
	}
}

// rackOf draws a rack: servers of one zone that follow each other in the list.
func rackOf(l *serverList, rng *rand.Rand) []subset.Server {
	zone := rng.IntN(l.size.zones)
	first := rng.IntN(l.size.servers/l.size.zones - rackServers)
	rack := make([]subset.Server, rackServers)
	for k := range rack {
		rack[k] = l.servers[zone+l.size.zones*(first+k)]
	}
	return rack
}

// concern is what a loss of servers does to the subsets of all nodes.
type concern struct {
	concerned, unconcerned []int // nodes
	changed                int
	missing                int // servers that a node has fewer than before at most
}

// loseAtAll has each node in turn lose servers.
func loseAtAll(ctx context.Context, l *serverList, lost []subset.Server, apply applier) (c concern, err error) {
	gone := map[string]bool{}
	for _, s := range lost {
		gone[s.ID] = true
	}
	for node := range l.size.nodes {
		if ctx.Err() != nil {
			return c, ctx.Err()
		}
		set, err := newSet(node, l.near(node))
		if err != nil {
			return c, err
		}
		before := set.Chosen()
		uses := false
		for _, s := range before {
			uses = uses || gone[s.ID]
		}
		change, err := apply(set, removed(lost))
		if err != nil {
			return c, err
		}
		if uses {
			c.concerned = append(c.concerned, node)
		} else {
			c.unconcerned = append(c.unconcerned, node)
		}
		if len(change.Updated)+len(change.Removed) > 0 {
			c.changed++
		}
		c.missing = max(c.missing, missing(set.Chosen(), gone))
	}
	return c, nil
}

// applier has a set take in a delta; tests plant faults by one of their own.
type applier func(*subset.Set, []subset.Server) (subset.Change, error)

func applyDelta(set *subset.Set, delta []subset.Server) (subset.Change, error) {
	return set.Apply(delta)
}

// missing returns how many servers of the window a node lacks.
func missing(chosen []subset.Server, gone map[string]bool) int {
	usable := 0
	for _, s := range chosen {
		if s.State == subset.Available && !gone[s.ID] {
			usable++
		}
	}
	return max(0, subsetMost-usable)
}

func measureRackLoss(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	return simulateRackLoss(ctx, f, seed, applyDelta, out)
}

func simulateRackLoss(ctx context.Context, f fleetSize, seed uint64, apply applier, out *figures) error {
	rng := rand.New(rand.NewPCG(seed, 31))
	l := newServerList(f, seed)
	rack := rackOf(l, rng)
	c, err := loseAtAll(ctx, l, rack, apply)
	if err != nil {
		return err
	}
	raw, err := message(removed(rack), false)
	if err != nil {
		return err
	}
	sample, err := simulateLoss(ctx, l, pick(rng, c.concerned, sampleSize(f)), rack, seed)
	if err != nil {
		return err
	}
	delays := pushDelays(f.nodes, rng)
	out.add("nodes-changed", float64(c.changed))
	out.add("nodes-changed-over-ideal", float64(c.changed)/float64(max(1, len(c.concerned))))
	out.add("servers-missing-max", float64(c.missing))
	out.add("node-bytes", float64(len(raw)))
	out.add("discovery-peak-bytes", float64(len(raw))*float64(busiestSecond(delays)))
	out.add("consistent-p99", noticedWithin.Seconds()+quantile(delays, 0.99))
	out.add("consistent-max", noticedWithin.Seconds()+quantile(delays, 1))
	out.add("sends-to-lost-per-node", sample.perNode(sample.toGone))
	out.add("sends-to-lost-all", sample.perNode(sample.toGone)*float64(len(c.concerned)))
	out.add("requests-unserved-per-node", sample.perNode(sample.refused+sample.failed))
	return timeChange(l, raw, c.concerned, c.unconcerned, out)
}

// busiestSecond returns how many of some times, in seconds, lie in the second with most of them.
func busiestSecond(at []float64) (most int) {
	by := map[int]int{}
	for _, s := range at {
		by[int(s)]++
		most = max(most, by[int(s)])
	}
	return most
}

// timeChange measures what a delta costs a node that holds the whole list.
func timeChange(l *serverList, raw []byte, concerned, unconcerned []int, out *figures) error {
	began := time.Now()
	delta, err := decode(raw)
	if err != nil {
		return err
	}
	out.add("decode-cpu", micros(began))
	for _, side := range []struct {
		name  string
		nodes []int
	}{{"unconcerned-change-cpu", unconcerned}, {"concerned-change-cpu", concerned}} {
		took := 0.0
		if len(side.nodes) > 0 {
			set, err := newSet(side.nodes[0], l.servers)
			if err != nil {
				return err
			}
			began := time.Now()
			if _, err := set.Apply(delta); err != nil {
				return err
			}
			took = micros(began)
		}
		out.add(side.name, took)
	}
	return nil
}

func micros(since time.Time) float64 { return float64(time.Since(since)) / float64(time.Microsecond) }
