// Package learner puts the rule versions that the voters have committed into effect at a node, under leases. A Learner
// sends and receives the messages of package rules (fleet/rules), fetches the texts of rule sets from other nodes, and
// persists the high-water mark: the highest version number that has been in effect at the node. At the leader it also
// has the voters confirm the leadership and commit the steps of an activation.
//
// The state of a Learner belongs to the goroutine of Run. Other goroutines pass tasks to it and read what it publishes
// through atomics.
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
	maxTasks             = 256              // queued tasks; a message that arrives at a full queue is dropped
	maxStepInterval      = 10 * time.Second // maximum time between two steps of Run
	minIntroduceInterval = 2 * time.Second  // silence before an introduction; also the first pause between two
	maxIntroduceInterval = 30 * time.Second // the pause between introductions doubles up to this
)

// Member is another node that is live and can receive messages.
type Member struct {
	Index int
	Name  string
	Zone  string
}

// Consensus is the part of the consensus group that a learner uses at a voter.
type Consensus interface {
	// Verify confirms with a majority, in a round that begins after the call, that this voter leads.
	Verify() error
	// Propose replicates a command of a state machine and returns the state machine's result.
	Propose(machine byte, command []byte, timeout time.Duration) (any, error)
	// Leader returns the name of the leader; "" means that none is known.
	Leader() string
}

// Config is the configuration of a learner.
type Config struct {
	NodeIndex, FleetSize int      // index of this node in the fleet, and number of nodes in the fleet
	Name, Zone           string   // name and zone of this node
	Voters               []string // names of the voters
	Settings             rules.Settings
	LeaseParams          rules.LeaseParams
	Dir                  string // directory of the high-water mark, on a disk that outlives the process
	Disk                 disk.FS
	Send                 func(to int, raw []byte) error // sends a message to the node with an index
	Introduce            func(to int) error             // makes this node known to the node with an index; it may block
	// OnVersionChange is called when the version in effect changes. It must not block. Nil disables it.
	OnVersionChange func()
	Consensus       Consensus // nil at a node that is not a voter
	Registry        *Registry // set together with Consensus
}

// EffectiveVersion is the rule version in effect at this node: the one that a request uses if it begins now.
type EffectiveVersion struct {
	Number uint64          // 0 means that no version is in effect and only the node's settings apply
	Rules  *rules.Compiled // nil if Number is 0
	Until  time.Duration   // end of the lease, by Clock
	Reason rules.Reason    // why no version is in effect; rules.InEffect if one is
}

// Counts are counters for metrics. They are safe for concurrent use.
type Counts struct {
	MessagesSent, SendErrors                           atomic.Int64
	MessagesReceived, MessagesCorrupt, MessagesDropped atomic.Int64
	TextsFetched, TextBytesFetched                     atomic.Int64
	PartsSent                                          atomic.Int64 // parts of texts sent to other nodes
	VersionsUnusable, VersionsPersisted                atomic.Int64
	Activations                                        atomic.Int64 // changes to another version in effect
	Fallbacks                                          atomic.Int64 // changes to no version in effect
	Verifications, FailedVerifications                 atomic.Int64 // rounds to confirm the leadership
	Proposals                                          atomic.Int64 // commands of activations that were committed
}

// Learner puts the committed rule versions into effect at a node. All its state except the atomics belongs to the
// goroutine of Run.
type Learner struct {
	Counts      Counts
	config      Config
	node        *rules.Node
	incarnation uint64
	tasks       chan func()
	ended       chan struct{} // closed when Run ends
	timer       *time.Timer
	running     sync.WaitGroup // goroutines that wait for a disk, a voter or another node
	members     []Member
	leads       bool

	receivedAt         time.Duration // time of the last message about leases
	nextIntroductionAt time.Duration
	introduceInterval  time.Duration
	introducing        bool
	introductions      int // number of introductions so far

	texts          []fetchedText // the latest is last
	fetch          *textFetch
	persisting     bool
	confirming     bool
	proposing      bool
	nextProposalAt time.Duration
	reports        statusReports

	effective    atomic.Pointer[EffectiveVersion]
	unusableErr  atomic.Pointer[error] // why the active or the prepared version is unusable; nil if both are usable
	versionState atomic.Pointer[rules.VersionState]
	fleetStatus  atomic.Pointer[FleetStatus]
}

// Clock returns the time since boot, by which leases are counted. It also advances while the machine is suspended.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // all supported versions of Linux have this clock
	}
	return time.Duration(t.Nano())
}

// New returns a learner that is inactive until Run. If the high-water mark cannot be read, it starts with none.
func New(cfg Config) *Learner {
	persisted, err := readHighWaterMark(cfg.Disk, cfg.Dir, cfg.Name)
	if err != nil {
		// This does not put an older version into effect: a version needs a lease that this process has requested, and
		// such a lease is never on an older version than earlier ones. The high-water mark is a second guard.
		slog.Error("rules: reading the high-water mark failed", "error", err)
	}
	now := Clock()
	l := &Learner{
		config:            cfg,
		incarnation:       newIncarnation(),
		tasks:             make(chan func(), maxTasks),
		ended:             make(chan struct{}),
		receivedAt:        now,
		introduceInterval: minIntroduceInterval,
		reports:           statusReports{byNode: make(map[int]receivedStatus)},
	}
	l.node = rules.NewNode(rules.Config{
		Node:          cfg.NodeIndex,
		Incarnation:   l.incarnation,
		HighWaterMark: persisted,
		LeaseParams:   cfg.LeaseParams,
	}, now)
	l.effective.Store(&EffectiveVersion{Reason: rules.NoLease})
	l.versionState.Store(&rules.VersionState{})
	l.fleetStatus.Store(&FleetStatus{})
	return l
}

// newIncarnation returns a random number that is not 0.
func newIncarnation() uint64 {
	var raw [8]byte
	rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) | 1
}

// EffectiveVersion returns the version in effect, or none once its lease has expired. It is safe for concurrent use.
func (l *Learner) EffectiveVersion() EffectiveVersion {
	a := *l.effective.Load()
	if a.Number != 0 && Clock() >= a.Until {
		return EffectiveVersion{Reason: rules.NoLease}
	}
	return a
}

// State returns the newest version state that this node has observed. It is safe for concurrent use.
func (l *Learner) State() rules.VersionState { return *l.versionState.Load() }

// UnusableReason returns why this node can't use the active or the prepared version; nil means that it can use both, or
// does not have their texts yet. It is safe for concurrent use.
func (l *Learner) UnusableReason() error {
	if e := l.unusableErr.Load(); e != nil {
		return *e
	}
	return nil
}

// post passes a task to Run. It blocks while the queue is full, and drops the task once ctx ends.
func (l *Learner) post(ctx context.Context, task func()) {
	select {
	case l.tasks <- task:
	case <-ctx.Done():
	}
}

// postAlways passes a task to Run without blocking, also when the queue is full. It starts a goroutine then, so it is
// for rare tasks that must not be dropped.
func (l *Learner) postAlways(task func()) {
	select {
	case l.tasks <- task:
	default:
		go func() { // ends with Run at the latest
			select {
			case l.tasks <- task:
			case <-l.ended:
			}
		}()
	}
}

// SetMembers sets the live members without this node. It does not block; the learner keeps the slice.
func (l *Learner) SetMembers(members []Member) {
	l.postAlways(func() { l.members = members })
}

// LeaderChanged makes the learner use the leader that Consensus.Leader returns now. It does not block.
func (l *Learner) LeaderChanged() { l.postAlways(func() {}) }

// Observe passes on the version state of the registry after a change. It does not block.
func (l *Learner) Observe(s rules.VersionState) {
	l.postAlways(func() { l.node.Observe(Clock(), s) })
}

// SetLeading sets whether this voter leads. With true, the entries committed before its term must have been applied to
// the registry. It does not block.
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

// Run runs the learner until ctx ends. After that no version is in effect. It must be called once.
func (l *Learner) Run(ctx context.Context) {
	l.timer = time.NewTimer(0)
	for ctx.Err() == nil {
		select {
		case task := <-l.tasks:
			task()
			for range len(l.tasks) { // handle all queued tasks before the next step
				(<-l.tasks)()
			}
		case <-l.timer.C:
		case <-ctx.Done():
		}
		l.step(ctx)
	}
	l.timer.Stop()
	l.effective.Store(&EffectiveVersion{Reason: rules.NoLease})
	close(l.ended)
	l.running.Wait()
}

// step sends the messages that are due, starts what is due in the background, and publishes the state.
func (l *Learner) step(ctx context.Context) {
	l.node.SetGrantors(Clock(), l.grantors())
	for _, outgoing := range l.node.Flush(Clock()) {
		if raw, err := outgoing.Message.Encode(); err == nil {
			l.send(outgoing.To, kindRules, raw)
		}
	}
	l.fetchMissingTexts()
	l.persistHighWaterMark(ctx)
	l.confirmLeadership(ctx)
	l.proposeNextCommand(ctx)
	l.introduce(ctx)
	l.flushStatus()
	l.publish()
	l.setTimer()
}

// introduce makes this node known to one grantor after another while none of them answers: a voter that has restarted
// can't answer a node that it does not know.
func (l *Learner) introduce(ctx context.Context) {
	grantors := l.grantors()
	now := Clock()
	if l.leads || l.introducing || len(grantors) == 0 || now < l.receivedAt+minIntroduceInterval || now < l.nextIntroductionAt {
		return
	}
	to := grantors[l.introductions%len(grantors)]
	l.introductions++
	l.nextIntroductionAt = now + l.introduceInterval
	l.introduceInterval = min(2*l.introduceInterval, maxIntroduceInterval)
	l.introducing = true
	l.running.Go(func() {
		if err := l.config.Introduce(to); err != nil {
			slog.Debug("rules: introduction failed", "to", to, "error", err)
		}
		l.post(ctx, func() { l.introducing = false })
	})
}

// publish publishes the state for other goroutines, and logs and reports a change of the version in effect.
func (l *Learner) publish() {
	state := l.node.State()
	l.versionState.Store(&state)
	l.unusableErr.Store(l.findUnusable(state))
	before := l.effective.Load()
	effective := l.currentVersion()
	l.effective.Store(effective)
	if effective.Number == before.Number {
		return
	}
	if effective.Number != 0 {
		l.Counts.Activations.Add(1)
	} else {
		l.Counts.Fallbacks.Add(1)
	}
	slog.Info("rules: version in effect changed", "version", effective.Number, "before", before.Number, "why", effective.Reason.String())
	if l.config.OnVersionChange != nil {
		l.config.OnVersionChange()
	}
}

// currentVersion returns the version in effect by the leases and texts that this node has now.
func (l *Learner) currentVersion() *EffectiveVersion {
	number, until, reason := l.node.EffectiveVersion(Clock())
	if number == 0 {
		return &EffectiveVersion{Until: until, Reason: reason}
	}
	t := l.textByNumber(number)
	if t == nil {
		return &EffectiveVersion{Reason: rules.NoText}
	}
	return &EffectiveVersion{Number: number, Rules: t.rules, Until: until, Reason: reason}
}

// findUnusable returns why this node can't use the active or the prepared version of a state; nil means that it can use
// both, or does not have their texts yet.
func (l *Learner) findUnusable(state rules.VersionState) *error {
	var unusable *error
	for i := range l.texts {
		t := &l.texts[i]
		if t.err != nil && (t.version == state.Active || t.version == state.Prepared) {
			unusable = &t.err
		}
	}
	return unusable
}

// setTimer sets the timer to the time at which the next step is due.
func (l *Learner) setTimer() {
	now := Clock()
	at := min(now+maxStepInterval, l.reports.sendAt)
	if t, ok := l.node.NextWake(now); ok {
		at = min(at, t)
	}
	if a := l.effective.Load(); a.Number != 0 {
		at = min(at, a.Until)
	}
	if l.fetch != nil {
		at = min(at, l.fetch.retryAt)
	}
	if l.leads && !l.proposing {
		if _, due, ok := l.config.Registry.NextActivation(); ok {
			wait := time.Duration(int64(due)-time.Now().UnixMilli()) * time.Millisecond
			at = min(at, max(l.nextProposalAt, now+wait))
		}
	}
	l.timer.Reset(max(at-now, time.Millisecond))
}
