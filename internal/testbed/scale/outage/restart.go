package outage

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sloestile/fleet/subset"
	"sloestile/internal/testbed/scale"
)

const rollingRestartName = "rolling-restart"

const (
	restartFull  = 3 // nodes that are given the whole list
	restartQuick = 2
	restartFor   = 24 * time.Hour
)

// rollingRestart is a restart of all nodes in 24 hours, each of which fetches the whole list.
func rollingRestart() scale.Event {
	return scale.Event{
		Name: rollingRestartName,
		About: "all nodes restart in 24 hours; each fetches the whole list; a sample of the nodes decodes it, in another order " +
			"than before, and chooses",
		Costs: costsOf(rollingRestartName,
			scale.Cost{Name: "list-bytes", Unit: scale.Bytes},
			scale.Cost{Name: "discovery-mean-bytes", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "fetch-at-control-budget", Unit: scale.Seconds},
			scale.Cost{Name: "fetch-at-least-rate", Unit: scale.Seconds, Budget: fetchMost.Seconds()},
			scale.Cost{Name: "fetch-rate-needed", Unit: scale.BytesPerSecond},
			scale.Cost{Name: "subset-differs", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "part-of-list-differs", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "decode-cpu", Unit: scale.Milliseconds, Timed: true},
			scale.Cost{Name: "choose-cpu", Unit: scale.Milliseconds, Timed: true},
		),
		Play: measure(rollingRestartName, measureRollingRestart),
	}
}

func measureRollingRestart(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	rng := rand.New(rand.NewPCG(seed, 61))
	l := newServerList(f, seed)
	raw, err := message(l.servers, true)
	if err != nil {
		return err
	}
	bytes := float64(len(raw))
	out.add("list-bytes", bytes)
	out.add("discovery-mean-bytes", bytes*float64(f.nodes)/restartFor.Seconds())
	out.add("fetch-at-control-budget", bytes/controlBytesPerSecond)
	out.add("fetch-at-least-rate", bytes/fetchLeastRate)
	out.add("fetch-rate-needed", bytes/fetchMost.Seconds())
	count := restartFull
	if f == quickSize {
		count = restartQuick
	}
	r := restartRun{list: l, raw: raw}
	for range count {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.restart(rng.IntN(f.nodes), rng); err != nil {
			return err
		}
	}
	out.add("subset-differs", float64(r.differs))
	out.add("part-of-list-differs", float64(r.partDiffers))
	out.add("decode-cpu", r.decode/float64(count)/1000)
	out.add("choose-cpu", r.choose/float64(count)/1000)
	return nil
}

// restartRun are restarts of some nodes, and what they took in us.
type restartRun struct {
	list                 *serverList
	raw                  []byte
	decode, choose       float64
	differs, partDiffers int // servers
}

// restart has a node choose twice from the whole list in different orders, and from its part of it.
func (r *restartRun) restart(node int, rng *rand.Rand) error {
	began := time.Now()
	servers, err := decode(r.raw)
	if err != nil {
		return err
	}
	r.decode += micros(began)
	began = time.Now()
	first, err := newSet(node, servers)
	if err != nil {
		return err
	}
	r.choose += micros(began)
	rng.Shuffle(len(servers), func(i, k int) { servers[i], servers[k] = servers[k], servers[i] })
	again, err := newSet(node, servers)
	if err != nil {
		return err
	}
	part, err := newSet(node, r.list.near(node))
	if err != nil {
		return err
	}
	r.differs += differences(first.Chosen(), again.Chosen())
	r.partDiffers += differences(first.Chosen(), part.Chosen())
	return nil
}

// differences returns how many servers are in only one of two subsets.
func differences(a, b []subset.Server) (count int) {
	for _, s := range a {
		if !slices.Contains(b, s) {
			count++
		}
	}
	for _, s := range b {
		if !slices.Contains(a, s) {
			count++
		}
	}
	return count
}
