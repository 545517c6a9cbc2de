package request

import (
	"context"
	"encoding/json"
	"time"

	"sloestile/control"
	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
	"sloestile/internal/testbed/scale"
)

// Machine events of the target: 14,430 a day, and 100 times as many in one minute.
const (
	eventsPerDay = 14430
	minutesOfDay = 24 * 60
	burstMinute  = 100 * eventsPerDay / minutesOfDay
)

// changeRates measures a node whose list changes often. The list has all servers of the target.
func changeRates() scale.Sweep {
	return scale.Sweep{Name: "changes", Dimension: "list changes in one minute", Target: burstMinute,
		Sizes: []int{10, 32, 100, 316, burstMinute}, Quick: []int{10, 100},
		Costs: []scale.Cost{
			{Name: "changes/plain-core", Unit: scale.CorePercent, Budget: coreBudget, Exponent: 1, Timed: true},
			{Name: "changes/subset-core", Unit: scale.CorePercent, Budget: coreBudget, Exponent: 1, Timed: true},
		},
		Measure: measureChanges}
}

func measureChanges(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
	all := servers(targetServers)
	plain, err := changedFor(ctx, all, size, seed, wholeList)
	if err != nil {
		return nil, err
	}
	chosen, err := changedFor(ctx, all, size, seed, subsetOf)
	return []scale.Reading{{Cost: "changes/plain-core", Value: plain}, {Cost: "changes/subset-core", Value: chosen}}, err
}

// The minute of changes is measured several times: after the collection of a heap with all servers of the target, the
// runtime's background work takes a millisecond of CPU in some runs, twenty times what ten changes take.
const (
	changeRuns     = 6
	changeRunsTime = 4 * time.Second
)

// changedFor gives the part of a core, in percent, that a minute with so many list changes takes.
func changedFor(ctx context.Context, all []subset.Server, changes int, seed uint64, choose choice) (float64, error) {
	var failed error
	took, err := scale.LeastCPU(ctx, changeRuns, changeRunsTime, func() func() {
		work, err := changesOfAMinute(ctx, all, changes, seed, choose)
		if err != nil {
			failed = err
			return func() {}
		}
		return func() { failed = first(failed, work()) }
	})
	return 100 * took.Seconds() / time.Minute.Seconds(), first(failed, err)
}

// changesOfAMinute prepares a node with the whole list, and returns what handles so many changes of it.
func changesOfAMinute(ctx context.Context, all []subset.Server, changes int, seed uint64, choose choice) (work func() error, err error) {
	k, err := choose(all, targetNodes)
	if err != nil {
		return nil, err
	}
	set, err := Settings(targetNodes)
	if err != nil {
		return nil, err
	}
	c, err := control.New(set, seed)
	if err != nil {
		return nil, err
	}
	c.Handle(start, k.list)
	gap := time.Minute / time.Duration(changes)
	return func() error {
		for i := 0; i < changes && ctx.Err() == nil; i++ {
			told, any, err := k.apply([]subset.Server{drained(all, i)})
			if err != nil {
				return err
			}
			if any {
				c.Handle(start+time.Duration(i+1)*gap, told)
			}
		}
		return ctx.Err()
	}, nil
}

// listBytes measures what discovery sends for one change.
func listBytes() scale.Sweep {
	return scale.Sweep{Name: "list-bytes", Dimension: "servers in the list", Target: targetServers,
		Sizes: []int{20, 200, 2000, 20000, 85000}, Quick: []int{200, 20000},
		Costs:   []scale.Cost{{Name: "list-bytes/change", Unit: scale.Bytes}},
		Measure: func(_ context.Context, size int, _ uint64) ([]scale.Reading, error) { return changeBytes(size, delta) }}
}

// delta is the message of one change: the entry that changed.
func delta(all []subset.Server, change int) discovery.Update {
	return listing([]subset.Server{drained(all, change)}, false)
}

// changeBytes gives the mean size of the messages of some changes.
func changeBytes(size int, message func(all []subset.Server, change int) discovery.Update) ([]scale.Reading, error) {
	const changes = 20
	all := servers(size)
	sum := 0
	for i := range changes {
		raw, err := json.Marshal(message(all, i))
		if err != nil {
			return nil, err
		}
		sum += len(raw)
	}
	return []scale.Reading{{Cost: "list-bytes/change", Value: float64(sum) / changes}}, nil
}
