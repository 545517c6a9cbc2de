// Package learner has a node learn the rule sets that the voters have agreed on, and act by them under leases: it carries
// the messages of fleet/rules between nodes, fetches texts from neighbours, persists the number of the version acted by,
// and at the leader has the voters confirm and agree.
//
// All of a Learner's state belongs to the goroutine of its Run. Other goroutines hand it tasks, and read what it publishes
// by atomics.
package learner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sloestile/fleet/rules"
	"sloestile/internal/store/disk"
)

const (
	maxTasks          = 256 // that wait; a message beyond is dropped
	maxStepInterval   = 10 * time.Second
	introduceAfter    = 2 * time.Second  // without a message of anybody
	maxIntroducePause = 30 * time.Second // between two introductions, doubled until then
)

// Member is another node that can be sent to.
type Member struct {
	Index int
	Name  string
	Zone  string
}

// Consensus is what a voter's node has of the consensus group.
type Consensus interface {
	// Verify asks a majority whether this voter leads, by a round that begins after the call.
	Verify() error
	Propose(machine byte, command []byte, within time.Duration) (any, error)
	Leader() string // its name; "" is not known
}

// Config is a node's.
type Config struct {
	Node, FleetSize int // index of this node, and number of nodes
	Name, Zone      string
	Voters          []string // names
	Settings        rules.Settings
	Terms           rules.LeaseParams
	Dir             string // on a disk that outlives the process
	Disk            disk.FS
	Send            func(to int, raw []byte) error
	Introduce       func(to int) error // has a node that does not answer learn of this one; it waits
	OnActing        func()             // is called when Acting has another version, and does not wait
	Consensus       Consensus
	Registry        *Registry // with Consensus, at a voter; else nil
}

// Acting is what a request goes by that begins now.
type Acting struct {
	Number uint64          // of the version; 0 is the settings alone
	Rules  *rules.Compiled // nil with 0
	Until  time.Duration   // by Clock: the lease's end
	Why    rules.Reason    // of 0
}

// Counts are counters for the operators' metrics.
type Counts struct {
	Sent, Unsent, Received, Corrupt, Dropped atomic.Int64 // messages
	Fetched, FetchedBytes, Served            atomic.Int64 // texts, their bytes, parts sent to others
	Unusable, Persisted, Activations, Gaps   atomic.Int64 // versions
	Verified, Unverified, Proposed           atomic.Int64 // rounds and commands, at the leader
}

// Learner is a node's part. All its state but the atomics belongs to the goroutine of Run.
type Learner struct {
	Counts      Counts
	config      Config
	node        *rules.Node
	incarnation uint64
	tasks       chan func()
	ended       chan struct{} // closed with Run
	timer       *time.Timer
	running     sync.WaitGroup // goroutines that wait for a disk, a voter or another node
	members     []Member
	leads       bool

	receivedAt     time.Duration // when a message about leases came last
	introduceAt    time.Duration
	introducePause time.Duration
	introducing    bool
	introductions  int

	texts        []fetchedText // latest last
	fetch        *textFetch
	persisting   bool
	verifying    bool
	proposing    bool
	proposeAfter time.Duration
	reports      statusReports

	acting      atomic.Pointer[Acting]
	unusable    atomic.Pointer[error] // of the active version, or of the prepared one; nil is none
	state       atomic.Pointer[rules.VersionState]
	fleetStatus atomic.Pointer[FleetStatus]
}

// Clock returns the time that leases are counted by: it goes on while the machine is suspended.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // each Linux has it
	}
	return time.Duration(t.Nano())
}

// New returns a learner, which does nothing before Run.
func New(cfg Config) *Learner {
	persisted, err := readHighWaterMark(cfg.Disk, cfg.Dir, cfg.Name)
	if err != nil {
		// What is acted by needs a lease that was requested by this process, which is on no older version than any
		// before it: the number is a second guard.
		slog.Error("rules: reading the version acted by failed", "error", err)
	}
	now := Clock()
	l := &Learner{
		config:         cfg,
		incarnation:    newIncarnation(),
		tasks:          make(chan func(), maxTasks),
		ended:          make(chan struct{}),
		receivedAt:     now,
		introducePause: introduceAfter,
		reports:        statusReports{byNode: make(map[int]receivedStatus)},
	}
	l.node = rules.NewNode(rules.Config{
		Node:          cfg.Node,
		Incarnation:   l.incarnation,
		HighWaterMark: persisted,
		LeaseParams:   cfg.Terms,
	}, now)
	l.acting.Store(&Acting{Why: rules.NoLease})
	l.state.Store(&rules.VersionState{})
	l.fleetStatus.Store(&FleetStatus{})
	return l
}

// newIncarnation returns a random number that is not 0.
func newIncarnation() uint64 {
	var raw [8]byte
	rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) | 1
}

// Acting returns what a request goes by that begins now. It is safe for concurrent use.
func (l *Learner) Acting() Acting {
	a := *l.acting.Load()
	if a.Number != 0 && Clock() >= a.Until {
		return Acting{Why: rules.NoLease}
	}
	return a
}

// State returns the newest state of the registry that this node has observed. It is safe for concurrent use.
func (l *Learner) State() rules.VersionState { return *l.state.Load() }

// Unusable returns why this node can't use the active version, or the prepared one; nil is that it can. It is safe for
// concurrent use.
func (l *Learner) Unusable() error {
	if e := l.unusable.Load(); e != nil {
		return *e
	}
	return nil
}

// post hands a task to Run, unless it has ended.
func (l *Learner) post(ctx context.Context, task func()) {
	select {
	case l.tasks <- task:
	case <-ctx.Done():
	}
}

// postAlways hands a task to Run that may not be dropped, without waiting: there are few of them.
func (l *Learner) postAlways(task func()) {
	select {
	case l.tasks <- task:
	default:
		go func() { // ends with Run
			select {
			case l.tasks <- task:
			case <-l.ended:
			}
		}()
	}
}

// SetMembers takes the live members, but this one.
func (l *Learner) SetMembers(members []Member) {
	l.postAlways(func() { l.members = members })
}

// LeaderChanged says that another voter leads, or none, as Consensus.Leader returns.
func (l *Learner) LeaderChanged() { l.postAlways(func() {}) }

// Observe takes the registry's state after a command was applied here.
func (l *Learner) Observe(s rules.VersionState) {
	l.postAlways(func() { l.node.Observe(Clock(), s) })
}

// SetLeading says that this voter leads, once all that was agreed before its term is applied, or leads no more.
func (l *Learner) SetLeading(leads bool) {
	l.postAlways(func() {
		l.leads = leads
		if !leads {
			l.node.BecomeFollower()
			return
		}
		l.node.Observe(Clock(), l.config.Registry.State())
		l.node.BecomeLeader(Clock())
	})
}

// Run works until ctx ends.
func (l *Learner) Run(ctx context.Context) {
	l.timer = time.NewTimer(0)
	for ctx.Err() == nil {
		select {
		case task := <-l.tasks:
			task()
			for range len(l.tasks) { // all that wait, before one step
				(<-l.tasks)()
			}
		case <-l.timer.C:
		case <-ctx.Done():
		}
		l.step(ctx)
	}
	l.timer.Stop()
	l.acting.Store(&Acting{Why: rules.NoLease})
	close(l.ended)
	l.running.Wait()
}

// step does what is due.
func (l *Learner) step(ctx context.Context) {
	l.node.SetGrantors(Clock(), l.grantors())
	for _, o := range l.node.Flush(Clock()) {
		if raw, err := o.Message.Encode(); err == nil {
			l.send(o.To, kindRules, raw)
		}
	}
	l.fetchMissing()
	l.persist(ctx)
	l.confirm(ctx)
	l.propose(ctx)
	l.introduce(ctx)
	l.flushStatus()
	l.publish()
	l.setTimer()
}

// introduce has the grantors learn of this node where none of them answers: a voter that has started anew can't answer a
// node that it does not know.
func (l *Learner) introduce(ctx context.Context) {
	grantors := l.grantors()
	now := Clock()
	if l.leads || l.introducing || len(grantors) == 0 || now < l.receivedAt+introduceAfter || now < l.introduceAt {
		return
	}
	to := grantors[l.introductions%len(grantors)]
	l.introductions++
	l.introduceAt = now + l.introducePause
	l.introducePause = min(2*l.introducePause, maxIntroducePause)
	l.introducing = true
	l.running.Go(func() {
		if err := l.config.Introduce(to); err != nil {
			slog.Debug("rules: introduction failed", "to", to, "error", err)
		}
		l.post(ctx, func() { l.introducing = false })
	})
}

// publish publishes what requests go by.
func (l *Learner) publish() {
	state := l.node.State()
	l.state.Store(&state)
	l.unusable.Store(l.unusableIn(state))
	before := l.acting.Load()
	acting := l.actingNow()
	l.acting.Store(acting)
	if acting.Number == before.Number {
		return
	}
	if acting.Number != 0 {
		l.Counts.Activations.Add(1)
	} else {
		l.Counts.Gaps.Add(1)
	}
	slog.Info("rules: requests go by another version", "version", acting.Number, "before", before.Number, "why", acting.Why.String())
	if l.config.OnActing != nil {
		l.config.OnActing()
	}
}

func (l *Learner) actingNow() *Acting {
	number, until, why := l.node.EffectiveVersion(Clock())
	if number == 0 {
		return &Acting{Until: until, Why: why}
	}
	t := l.textOf(number)
	if t == nil {
		return &Acting{Why: rules.NoText}
	}
	return &Acting{Number: number, Rules: t.rules, Until: until, Why: why}
}

// unusableIn returns why a version of a state can't be used here; nil is that both can.
func (l *Learner) unusableIn(state rules.VersionState) *error {
	var unusable *error
	for i := range l.texts {
		t := &l.texts[i]
		if t.err != nil && (t.version == state.Active || t.version == state.Prepared) {
			unusable = &t.err
		}
	}
	return unusable
}

// setTimer has step called when something is due.
func (l *Learner) setTimer() {
	now := Clock()
	at := min(now+maxStepInterval, l.reports.sendAt)
	if t, ok := l.node.NextWake(now); ok {
		at = min(at, t)
	}
	if a := l.acting.Load(); a.Number != 0 {
		at = min(at, a.Until)
	}
	if l.fetch != nil {
		at = min(at, l.fetch.retryAt)
	}
	if l.leads && !l.proposing {
		if _, due, ok := l.config.Registry.NextActivation(); ok {
			wait := time.Duration(int64(due)-time.Now().UnixMilli()) * time.Millisecond
			at = min(at, max(l.proposeAfter, now+wait))
		}
	}
	l.timer.Reset(max(at-now, time.Millisecond))
}
