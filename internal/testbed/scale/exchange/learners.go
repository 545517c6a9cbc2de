package exchange

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/fleet/rules"
	"sloestile/internal/consensus/learner"
	"sloestile/internal/store/disk"
	"sloestile/internal/testbed/scale"
)

const (
	learnersWhile  = 1500 * time.Millisecond // in which messages and CPU are counted
	learnersWithin = 20 * time.Second        // until a version is in force
	learnersSmall  = 24                      // members up to which all take part
	learnersZone   = 1                       // whose first relay group takes part
	learnersText   = 8 << 10                 // bytes of the rule set that is measured, about
)

// learners measures the learners of rule sets as the program runs them, by the number of members. They
// have a clock and goroutines of their own, so this is in real time: a leader and one whole relay group
// take part, and all are told of all members.
func learners() scale.Sweep {
	const name = "learners/"
	timed := func(cost string, unit scale.Unit, budget, exponent float64) scale.Cost {
		return scale.Cost{Name: name + cost, Unit: unit, Budget: budget, Exponent: exponent, Timed: true}
	}
	costs := []scale.Cost{
		timed("messages", scale.PerSecond, 0, 0.2),
		timed("bytes", scale.BytesPerSecond, budgetBytes, 0.2),
		timed("relay-messages", scale.PerSecond, 0, 0.75), // in and out, of a group of about the root of all
		timed("message-cpu", scale.Microseconds, 0, 0.6),  // a look at what is due goes over all members
		timed("cpu", scale.CorePercent, budgetCPU, 0.6),
		timed("relay-cpu", scale.CorePercent, budgetCPU, 1.1), // its messages at the mean cost of one
		timed("in-force-max", scale.Milliseconds, inForceMost, 0.3),
	}
	return scale.Sweep{Name: "learners", Dimension: "members that a learner knows", Target: targetNodes,
		Sizes: []int{10, 60, 300, 1000, 5800, 11600}, Quick: []int{60, 1000}, Costs: costs,
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			values, err := measureLearners(ctx, size, seed)
			if err != nil {
				return nil, err
			}
			return readings(costs, values), nil
		}}
}

// learnerFleet is a leader and a relay group.
type learnerFleet struct {
	members  []learner.Member
	learners map[int]*learner.Learner
	sent     map[int]*learnerCounts
	registry *learner.Registry
	applied  uint64
	mu       sync.Mutex
	acting   chan struct{} // gets a token where a learner acts by another version
	work     sync.WaitGroup
}

type learnerCounts struct{ out, bytes, in atomic.Int64 }

func measureLearners(ctx context.Context, size int, seed uint64) ([]float64, error) {
	dir, err := os.MkdirTemp("", "learners")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer slog.SetLogLoggerLevel(slog.SetLogLoggerLevel(slog.LevelWarn)) // each learner logs each version
	ctx, end := context.WithCancel(ctx)
	f := newLearnerFleet(dir, size)
	f.start(ctx)
	defer func() { end(); f.work.Wait() }()
	if _, err := f.publish(ctx, 1, ruleText(1, seed)); err != nil {
		return nil, err
	}
	before, cpu, from := f.total(), scale.CPUTime(), time.Now()
	select {
	case <-time.After(learnersWhile):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	after, spent, s := f.total(), scale.CPUTime()-cpu, time.Since(from).Seconds()
	n := float64(len(f.learners))
	inForce, err := f.publish(ctx, 2, ruleText(learnersText/52, seed))
	handled := after.out + after.in - before.out - before.in
	relay, each := (after.busiest-before.busiest)/s, spent.Seconds()/handled
	return []float64{(after.out - before.out) / n / s, (after.bytes - before.bytes) / n / s, relay,
		1e6 * each, 100 * spent.Seconds() / n / s, 100 * relay * each, 1000 * inForce.Seconds()}, err
}

// newLearnerFleet makes the learners, which do nothing yet.
func newLearnerFleet(dir string, size int) *learnerFleet {
	f := &learnerFleet{learners: make(map[int]*learner.Learner), sent: make(map[int]*learnerCounts), acting: make(chan struct{}, 1)}
	// The leader is the only voter: others, which take no part here, would be asked in vain.
	cfg := learner.Config{FleetSize: size, Voters: []string{memberName(0)}, LeaseParams: rules.DefaultLeaseParams, Disk: disk.Local{}, Settings: ruleSettings()}
	cfg.Settings.Zones = nil
	for z := range memberZones {
		cfg.Settings.Zones = append(cfg.Settings.Zones, memberZone(z))
	}
	for i := range size {
		f.members = append(f.members, learner.Member{Index: i, Name: memberName(i), Zone: memberZone(i)})
	}
	f.registry = learner.NewRegistry(func(w rules.VersionState) { f.learners[0].Observe(w) })
	group := int(math.Ceil(math.Sqrt(float64(size)))) * memberZones
	for i := range size {
		if i == 0 || size <= learnersSmall || i%memberZones == learnersZone && i < group {
			f.learners[i] = f.learner(cfg, dir, i)
		}
	}
	return f
}

func (f *learnerFleet) learner(cfg learner.Config, dir string, index int) *learner.Learner {
	counts := &learnerCounts{}
	f.sent[index] = counts
	cfg.NodeIndex, cfg.Name, cfg.Zone, cfg.Dir = index, memberName(index), memberZone(index), filepath.Join(dir, memberName(index))
	cfg.Introduce = func(int) error { return nil }
	cfg.OnVersionChange = func() {
		select {
		case f.acting <- struct{}{}:
		default:
		}
	}
	cfg.Send = func(to int, raw []byte) error {
		counts.out.Add(1)
		counts.bytes.Add(int64(len(raw) + datagramOverhead))
		if other := f.learners[to]; other != nil {
			f.sent[to].in.Add(1)
			other.Receive(raw)
		}
		return nil
	}
	if index == 0 {
		cfg.Consensus, cfg.Registry = f, f.registry
	}
	return learner.New(cfg)
}

func (f *learnerFleet) start(ctx context.Context) {
	for i, l := range f.learners {
		f.work.Go(func() { l.Run(ctx) })
		var others []learner.Member
		for _, m := range f.members {
			if m.Index != i {
				others = append(others, m)
			}
		}
		l.SetMembers(others)
	}
	f.learners[0].SetLeading(true)
}

// Verify tells that the leader leads.
func (f *learnerFleet) Verify() error { return nil }

// Leader is its name.
func (f *learnerFleet) Leader() string { return memberName(0) }

// Propose has a command applied at once: the agreement of the voters is not measured here.
func (f *learnerFleet) Propose(_ byte, command []byte, _ time.Duration) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied++
	out := f.registry.Apply(f.applied, command)
	if o, ok := out.(learner.Outcome); ok && o.Err != nil {
		return out, o.Err
	}
	return out, nil
}

// publish has a text activated, and gives the time until all learners act by it.
func (f *learnerFleet) publish(ctx context.Context, number uint64, text []byte) (time.Duration, error) {
	from := time.Now()
	for _, c := range []rules.Command{{Publish: &rules.Publish{Parent: number - 1, Text: text}},
		{Activate: &rules.Activate{Number: number, Kind: rules.Overlap}}, {Prepare: &rules.Prepare{Number: number}}} {
		raw, err := c.Encode()
		if err == nil {
			_, err = f.Propose(learner.StateMachineKind, raw, 0)
		}
		if err != nil && !errors.As(err, new(*rules.NoVersionError)) {
			return 0, fmt.Errorf("version %d: %w", number, err)
		}
	}
	ctx, end := context.WithTimeout(ctx, learnersWithin)
	defer end()
	for {
		behind := 0
		for _, l := range f.learners {
			if l.EffectiveVersion().Number != number {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(from), nil
		}
		select {
		case <-f.acting:
		case <-ctx.Done():
			return 0, fmt.Errorf("version %d: %d of %d learners do not act by it: %w", number, behind, len(f.learners), ctx.Err())
		}
	}
}

// learnerTotal is what all learners have sent and heard, and the messages of the busiest but the leader.
type learnerTotal struct{ out, in, bytes, busiest float64 }

func (f *learnerFleet) total() (t learnerTotal) {
	for i, c := range f.sent {
		t.out += float64(c.out.Load())
		t.in += float64(c.in.Load())
		t.bytes += float64(c.bytes.Load())
		if i != 0 {
			t.busiest = max(t.busiest, float64(c.out.Load()+c.in.Load()))
		}
	}
	return t
}
