package request

import (
	"context"
	"fmt"
	"time"

	"sloestile/control"
	"sloestile/fleet/subset"
	"sloestile/internal/testbed/scale"
)

// Budgets of the target for control at an edge node.
const (
	requestBudget    = 82 // us: 4.4% of a core over 534 requests a second
	coreBudget       = 4.4
	listChangeBudget = 50 // us
	serverSetBudget  = 16 << 20
	heapBudget       = memoryMB << 20
	inForceBudget    = 7 // s
	addedBudget      = 6 // ms, p99
)

// heapSlack is the factor on a heap's ratio: maps and slices grow in steps of two.
const heapSlack = 2.2

// serverSet measures a node that is told of all servers, by the costs named plain, and one that uses a
// subset of them. Up to the subset's size both use all, and each change concerns them.
func serverSet() scale.Sweep {
	return scale.Sweep{Name: "servers", Dimension: "servers known to a node", Target: targetServers,
		Sizes: []int{20, 200, 2000, 20000, 85000}, Quick: []int{200, 2000, 20000},
		Costs: append(setCosts("plain", 1), setCosts("subset", 0)...),
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			plain, err := measureSet(ctx, size, seed, "plain", wholeList)
			if err != nil {
				return nil, err
			}
			chosen, err := measureSet(ctx, size, seed, "subset", subsetOf)
			return append(plain, chosen...), err
		}}
}

// setCosts gives the costs of a node's servers; exponent is that of its CPU time. Either kind of node
// holds the whole list.
func setCosts(node string, exponent float64) []scale.Cost {
	return []scale.Cost{
		{Name: node + "/request-cpu", Unit: scale.Microseconds, Budget: requestBudget, Exponent: exponent, Timed: true},
		{Name: node + "/other-change-cpu", Unit: scale.Microseconds, Budget: listChangeBudget, Exponent: exponent, Timed: true},
		{Name: node + "/own-change-cpu", Unit: scale.Microseconds, Budget: listChangeBudget, Exponent: exponent, Timed: true},
		{Name: node + "/server-heap", Unit: scale.Bytes, Budget: serverSetBudget, Exponent: 1, Slack: heapSlack},
		{Name: node + "/in-force-delay", Unit: scale.Seconds, Budget: inForceBudget},
	}
}

// measureSet measures a node that makes a choice among the servers.
func measureSet(ctx context.Context, size int, seed uint64, node string, choose choice) ([]scale.Reading, error) {
	all := servers(size)
	k, err := choose(all, nodesFor(size))
	if err != nil {
		return nil, err
	}
	s := standard(size, seed)
	s.list = &k.list
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	f.recording.handle = k.handle
	heap := f.setHeap(size, choose)
	requests := requestsFor(len(k.list.Endpoints))
	if err := f.run(ctx, requests, requests); err != nil {
		return nil, err
	}
	delay, err := f.inForce(ctx, requests, k)
	if err != nil {
		return nil, err
	}
	spent, err := f.recording.Costs(ctx)
	if err != nil {
		return nil, err
	}
	other, own, err := f.changeCosts(ctx, k, all)
	return []scale.Reading{{Cost: node + "/request-cpu", Value: spent.request}, {Cost: node + "/other-change-cpu", Value: other},
		{Cost: node + "/own-change-cpu", Value: own}, {Cost: node + "/server-heap", Value: heap},
		{Cost: node + "/in-force-delay", Value: delay.Seconds()}}, err
}

// setHeap gives the bytes of what a node holds of its servers: its choice, and a controller that knows
// the list and nothing else. The settings and the choice were taken before.
func (f *fleet) setHeap(size int, choose choice) float64 {
	return scale.HeapOf(func() any {
		k, err := choose(servers(size), f.recording.settings.FleetSize)
		if err != nil {
			panic(err)
		}
		c, err := control.New(f.recording.settings, f.recording.seed)
		if err != nil {
			panic(err)
		}
		c.Handle(start, k.list)
		return []any{k.held, c}
	})
}

// inForce drains the server that is sent to most and gives for how long after it was told the node
// still sends there.
func (f *fleet) inForce(ctx context.Context, requests int, k *known) (time.Duration, error) {
	f.node.Record(nil)
	most := uint32(0)
	for server, sends := range f.node.counts.SentTo {
		if now := f.node.counts.SentTo[most]; sends > now || sends == now && server < most {
			most = server
		}
	}
	entry, ok := k.server(most)
	if !ok {
		return 0, fmt.Errorf("hollow node: it sent to server %d, which is not among its %d; that is a fault of the sweep", most, len(k.chosen))
	}
	entry.State = subset.Draining
	f.clock.Run(f.clock.Now() + f.load.gap())
	told := f.clock.Now()
	f.node.ResetCounts()
	if err := f.change(k, entry); err != nil {
		return 0, err
	}
	if err := f.node.Run(ctx, requests, f.load.gap, f.load.next); err != nil {
		return 0, err
	}
	last, sent := f.node.counts.LastTo[most]
	entry.State = subset.Available
	if err := f.change(k, entry); err != nil || !sent {
		return 0, err
	}
	return last - told, nil
}

// change has the node take in a changed entry.
func (f *fleet) change(k *known, entry subset.Server) error {
	told, any, err := k.apply([]subset.Server{entry})
	if any {
		f.node.List(told)
	}
	return err
}

// changeCosts gives the CPU time of one changed entry, in us, at a node that it does not concern and at
// one that it does, with what its controller does. Where all servers are used each concerns it.
func (f *fleet) changeCosts(ctx context.Context, k *known, all []subset.Server) (other, own float64, err error) {
	f.settle()
	if own, err = f.changeCost(ctx, k, k.chosen); err != nil {
		return 0, 0, err
	}
	others := k.others(all)
	if len(others) == 0 {
		return own, own, nil
	}
	other, err = f.changeCost(ctx, k, others)
	return other, own, err
}

// changesFor is how many list changes a measurement takes where one costs in proportion to the servers.
func changesFor(servers int) int { return min(400, max(20, 400_000/servers)) }

// changeCost gives the CPU time of one change of servers that drain and come back, in us.
func (f *fleet) changeCost(ctx context.Context, k *known, changing []subset.Server) (float64, error) {
	changes := changesFor(len(k.list.Endpoints))
	var failed error
	took, err := scale.LeastCPU(ctx, runsMost, runsTime, func() func() {
		return func() {
			for i := range changes {
				told, any, err := k.apply([]subset.Server{drained(changing, i)})
				if err != nil {
					failed = err
				}
				if any {
					f.node.control.Handle(f.clock.Now(), told)
				}
			}
		}
	})
	return microseconds(took) / float64(changes), first(failed, err)
}
