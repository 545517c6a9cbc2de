// Package learn has a node learn the rule sets that the voters have agreed on, and act by them under
// leases: it carries the messages of fleet/rules between nodes, fetches texts from neighbours, keeps the
// number of the version acted by on the disk, and at the leader has the voters confirm and agree.
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

// Kinds of messages, by their first byte. None is that of a CBOR map, with which others' begin.
const (
	kindRules = 1
	kindWant  = 2
	kindPart  = 3
	kindState = 4
)

const (
	inboxMost     = 256 // messages and other news that wait; a message beyond is lost
	proposeWithin = time.Second
	proposeAgain  = 200 * time.Millisecond // after one that came to nothing
	stepMost      = 10 * time.Second       // between two looks at all, where nothing is due
	meetAfter     = 2 * time.Second        // without a word of anybody
	meetMost      = 30 * time.Second       // between two such, doubled until then
)

// Member is another node that can be sent to.
type Member struct {
	Index int
	Name  string
	Zone  string
}

// Council is what a voter's node has of the agreement.
type Council interface {
	// Verify asks a majority whether this voter leads, by a round that begins after the call.
	Verify() error
	Propose(machine byte, command []byte, within time.Duration) (any, error)
	Leader() string // its name; "" is not known
}

// Config is a node's.
type Config struct {
	Self, Group int
	Name, Zone  string
	Voters      []string // names
	Settings    rules.Settings
	Terms       rules.Terms
	Dir         string // on a disk that outlives the process
	Disk        disk.FS
	Send        func(to int, raw []byte) error
	Meet        func(to int) error // has a node that does not answer learn of this one; it waits
	Act         func()             // is told that Acting has another version, and does not wait
	Council     Council
	Registry    *Registry // with Council, at a voter; else nil
}

// Acting is by what a request goes that begins now.
type Acting struct {
	Number uint64          // of the version; 0 is the settings alone
	Rules  *rules.Compiled // nil with 0
	Until  time.Duration   // by Clock: the lease's end
	Why    rules.Reason    // of 0
}

// Counts are figures for the operators.
type Counts struct {
	Sent, Unsent, Heard, Spoilt, Dropped              atomic.Int64
	Fetched, FetchedBytes, Served, Refused, Marks     atomic.Int64
	Activations, Gaps, Verified, Unverified, Proposed atomic.Int64
}

// Learner is a node's. All its state but what is said otherwise is its own goroutine's.
type Learner struct {
	Counts  Counts
	cfg     Config
	node    *rules.Node
	life    uint64
	in      chan func()
	ended   chan struct{} // closed with Run
	timer   *time.Timer
	work    sync.WaitGroup
	members []Member
	leads   bool
	heard   time.Duration // when a message about leases came last
	meetAt  time.Duration
	pause   time.Duration // until it is tried again
	meeting bool
	met     int

	texts     []text // latest last
	fetch     *fetching
	keeping   bool
	verifying bool
	proposing bool
	notBefore time.Duration // of the next proposal
	states    states

	acting  atomic.Pointer[Acting]
	refusal atomic.Pointer[error] // of the version that the lease is on, or of the next; nil is none
	word    atomic.Pointer[rules.VersionState]
	sum     atomic.Pointer[State]
}

// Clock is the time that leases are counted by: it goes on while the machine is suspended.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // each Linux has it
	}
	return time.Duration(t.Nano())
}

// New makes a learner, which does nothing before Run.
func New(cfg Config) *Learner {
	mark, err := readMark(cfg.Disk, cfg.Dir, cfg.Name)
	if err != nil {
		// What is acted by needs a lease that was asked for in this life, which is on no older version
		// than any before it: the mark is a second guard.
		slog.Error("rules: the mark of the version acted by", "err", err)
	}
	var id [8]byte
	rand.Read(id[:])
	l := &Learner{cfg: cfg, life: binary.BigEndian.Uint64(id[:]) | 1, in: make(chan func(), inboxMost), ended: make(chan struct{})}
	l.node = rules.NewNode(rules.Config{Node: cfg.Self, Incarnation: l.life, HighWaterMark: mark, Terms: cfg.Terms}, Clock())
	l.states.of, l.heard, l.pause = make(map[int]heardState), Clock(), meetAfter
	l.acting.Store(&Acting{Why: rules.NoLease})
	l.word.Store(&rules.VersionState{})
	l.sum.Store(&State{})
	return l
}

// Acting is by what a request goes that begins now; any goroutine may ask.
func (l *Learner) Acting() Acting {
	a := *l.acting.Load()
	if a.Number != 0 && Clock() >= a.Until {
		return Acting{Why: rules.NoLease}
	}
	return a
}

// Word is the newest that this node has heard of the registry.
func (l *Learner) Word() rules.VersionState { return *l.word.Load() }

// Refusal is why this node can't act by the version in force, or the next; nil is that it can.
func (l *Learner) Refusal() error {
	if e := l.refusal.Load(); e != nil {
		return *e
	}
	return nil
}

// post hands news to the learner, unless it has ended.
func (l *Learner) post(ctx context.Context, do func()) {
	select {
	case l.in <- do:
	case <-ctx.Done():
	}
}

// tell hands news on that may not be lost, without waiting: there is little of it.
func (l *Learner) tell(do func()) {
	select {
	case l.in <- do:
	default:
		go func() { // ends with Run
			select {
			case l.in <- do:
			case <-l.ended:
			}
		}()
	}
}

// Receive takes a message of another node; the bytes are the caller's after it.
func (l *Learner) Receive(raw []byte) {
	do := l.read(raw)
	if do == nil {
		l.Counts.Spoilt.Add(1)
		return
	}
	select {
	case l.in <- do:
	default:
		l.Counts.Dropped.Add(1)
	}
}

// read gives what a message asks to be done; nil is that it can't be read.
func (l *Learner) read(raw []byte) func() {
	if len(raw) < 2 {
		return nil
	}
	switch raw[0] {
	case kindRules:
		m, err := rules.Decode(raw[1:], l.cfg.Group)
		if err != nil {
			slog.Debug("rules: a spoilt message", "err", err)
			return nil
		}
		return func() {
			l.heard, l.pause = Clock(), meetAfter
			l.node.Receive(l.heard, m)
		}
	case kindWant:
		if q := decode[want](raw[1:]); q != nil && q.From >= 0 && q.From < l.cfg.Group {
			return func() { l.serve(q) }
		}
	case kindPart:
		if p := decode[part](raw[1:]); p != nil {
			return func() { l.part(p) }
		}
	case kindState:
		if s := decode[told](raw[1:]); s != nil && s.From >= 0 && s.From < l.cfg.Group {
			return func() { l.states.hear(Clock(), s) }
		}
	}
	return nil
}

// Members takes the live members, but this one.
func (l *Learner) Members(members []Member) {
	l.tell(func() { l.members = members })
}

// Changed takes that another voter leads, or none, as Council.Leader tells.
func (l *Learner) Changed() { l.tell(func() {}) }

// Learn takes the registry's word after a command was applied here.
func (l *Learner) Learn(w rules.VersionState) { l.tell(func() { l.node.Observe(Clock(), w) }) }

// Lead takes that this voter leads, once all that was agreed before its term is applied, or no more.
func (l *Learner) Lead(on bool) {
	l.tell(func() {
		if l.leads = on; !on {
			l.node.Follow()
			return
		}
		l.node.Observe(Clock(), l.cfg.Registry.Word())
		l.node.Lead(Clock())
	})
}

// Run works until ctx ends.
func (l *Learner) Run(ctx context.Context) {
	l.timer = time.NewTimer(0)
	for ctx.Err() == nil {
		select {
		case do := <-l.in:
			do()
			for range len(l.in) { // all that has come, before it is looked at once
				(<-l.in)()
			}
		case <-l.timer.C:
		case <-ctx.Done():
		}
		l.look(ctx)
	}
	l.timer.Stop()
	l.acting.Store(&Acting{Why: rules.NoLease})
	close(l.ended)
	l.work.Wait()
}

// look does what is due.
func (l *Learner) look(ctx context.Context) {
	l.node.SetGrantors(Clock(), l.parents())
	for _, o := range l.node.Flush(Clock()) {
		if raw, err := o.Message.Encode(); err == nil {
			l.send(o.To, kindRules, raw)
		}
	}
	l.text(ctx)
	l.keep(ctx)
	l.confirm(ctx)
	l.propose(ctx)
	l.meet(ctx)
	l.states.flush(l)
	l.show()
	l.arm()
}

func (l *Learner) send(to int, kind byte, raw []byte) {
	l.Counts.Sent.Add(1)
	if err := l.cfg.Send(to, append([]byte{kind}, raw...)); err != nil {
		l.Counts.Unsent.Add(1)
		slog.Debug("rules: not sent", "to", to, "err", err)
	}
}

// meet has the nodes that it asks learn of this one, where none of them answers: a voter that has
// started anew can't answer a node that it does not know.
func (l *Learner) meet(ctx context.Context) {
	p, now := l.parents(), Clock()
	if l.leads || l.meeting || len(p) == 0 || now < l.heard+meetAfter || now < l.meetAt {
		return
	}
	to := p[l.met%len(p)]
	l.met++
	l.meetAt, l.pause, l.meeting = now+l.pause, min(2*l.pause, meetMost), true
	l.work.Go(func() {
		if err := l.cfg.Meet(to); err != nil {
			slog.Debug("rules: nobody answers", "asked", to, "err", err)
		}
		l.post(ctx, func() { l.meeting = false })
	})
}

// show puts out by what requests go.
func (l *Learner) show() {
	w := l.node.State()
	l.word.Store(&w)
	now, before := Clock(), l.acting.Load()
	number, until, why := l.node.Acting(now)
	a := &Acting{Number: number, Until: until, Why: why}
	if number != 0 {
		if t := l.numbered(number); t != nil {
			a.Rules = t.rules
		} else {
			a = &Acting{Why: rules.NoText}
		}
	}
	l.acting.Store(a)
	var refused *error
	for i := range l.texts {
		if t := &l.texts[i]; t.why != nil && (t.name == w.Active || t.name == w.Prepared) {
			refused = &t.why
		}
	}
	l.refusal.Store(refused)
	if a.Number == before.Number {
		return
	}
	if a.Number != 0 {
		l.Counts.Activations.Add(1)
	} else {
		l.Counts.Gaps.Add(1)
	}
	slog.Info("rules: requests go by another version", "version", a.Number, "before", before.Number, "why", a.Why.String())
	if l.cfg.Act != nil {
		l.cfg.Act()
	}
}

// arm has look called when something is due.
func (l *Learner) arm() {
	now := Clock()
	at := now + stepMost
	sooner := func(t time.Duration) { at = min(at, t) }
	if t, ok := l.node.NextWake(now); ok {
		sooner(t)
	}
	if a := l.acting.Load(); a.Number != 0 {
		sooner(a.Until)
	}
	if l.fetch != nil {
		sooner(l.fetch.at)
	}
	sooner(l.states.at)
	if l.leads && !l.proposing {
		if _, due, ok := l.cfg.Registry.Due(); ok {
			sooner(max(l.notBefore, now+time.Duration(int64(due)-time.Now().UnixMilli())*time.Millisecond))
		}
	}
	l.timer.Reset(max(at-now, time.Millisecond))
}
