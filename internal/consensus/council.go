// Package council is what the voters of a fleet decide together: one log that a majority of them has
// on its disks, and state machines that all of them lead through it. A voter whose disk has lost or
// spoilt what it agreed to takes no part until it was admitted anew; see join.go.
package consensus

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
	"sloestile/internal/consensus/transport"
	"sloestile/internal/store/disk"
)

const (
	heartbeat  = 600 * time.Millisecond // without word of a leader, at least, before a voter stands for election
	leadLease  = 400 * time.Millisecond // that a leader goes on without word of a majority
	commitEach = 200 * time.Millisecond // voters hear what is agreed where nothing else is sent
	rpcWithin  = time.Second
	streamPool = 2 // to each voter: heartbeats and records

	snapshotEach  = 30 * time.Second // at least, between two looks whether a snapshot is due
	snapshotAfter = 256              // records
	snapshotBytes = 1 << 20          // of the log
	snapshotLeast = 16               // records since the last, where the log has so many bytes
	trailing      = 32               // records that are kept before a snapshot
	recordsAtOnce = 16

	lookEach  = time.Second // whether this voter is still one
	againMost = 10 * time.Second
)

// Peer is a voter as the fleet file names it.
type Peer struct{ Name, Address string }

// Machine is one of the state machines that share the log. It is called by one goroutine at a time,
// and does the same with the same commands in each process.
type Machine interface {
	// Apply takes a command that is agreed; what it gives is Propose's answer at the leader.
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(state []byte) error // nil is the begin
}

// Config is a voter's.
type Config struct {
	Label, Self string
	Voters      []Peer // all of them, this one too
	Dir         string // on a disk that outlives the process
	Disk        disk.FS
	Via         map[string]string // addresses by which others are reached, where links stand between
	Machines    map[byte]Machine  // by the first byte of their commands
	// Calls answers others' calls by their first byte; 'v' is the council's own.
	Calls map[byte]func(from string, body []byte) []byte
	// Leading is told that this voter leads in a term, once all that was agreed before is applied,
	// and that it leads no more, with term 0. It must not wait.
	Leading func(term uint64)
	// Changed is told that another voter leads, or none. It must not wait.
	Changed func()
}

// Phases of a voter.
const (
	PhaseWaiting  = "waits for its folder or port"
	PhaseAsking   = "asks the others what they have seen of it"
	PhaseAdmitted = "has lost what it agreed to and waits to be admitted"
	PhaseVoting   = "votes"
)

// Status is how a voter is.
type Status struct {
	Phase    string
	Identity string
	Leader   string // its name; "" is none
	Term     uint64
	Commit   uint64
	Applied  uint64
	Voters   []string // identities, as agreed last
	Why      string   // the last failure; "" is none
	Renewed  int      // times that it began with another identity
	Refused  uint64   // streams of strangers
}

// Voter takes part until its Run ends.
type Voter struct {
	cfg   Config
	peers map[string]Peer
	need  int           // of the others that have to be heard before it votes
	ready atomic.Uint64 // term that it leads in with all before it applied; 0 is none

	mu       sync.Mutex
	link     *transport.Link
	phase    string
	log      *raftlog.Log // nil between two lives
	raft     *raft.Raft   // nil until it takes part
	id       raft.ServerID
	seen     *witness
	why      error
	renewed  int
	trust    chan struct{} // closed by Trust
	admitted sync.Mutex    // held by one admission at a time
}

// New makes a voter, which does nothing before Run.
func New(cfg Config) (*Voter, error) {
	v := &Voter{cfg: cfg, peers: make(map[string]Peer), phase: PhaseWaiting, seen: newWitness(), trust: make(chan struct{})}
	if n := len(cfg.Voters); n != 3 && n != 5 && n != 7 {
		return nil, fmt.Errorf("council: %d voters; name 3, 5 or 7", n)
	}
	for _, p := range cfg.Voters {
		v.peers[p.Name] = p
	}
	if _, ok := v.peers[cfg.Self]; !ok || len(v.peers) != len(cfg.Voters) {
		return nil, fmt.Errorf("council: %s is not one of %d voters with different names", cfg.Self, len(cfg.Voters))
	}
	v.need = len(cfg.Voters)/2 + 1
	return v, nil
}

// Run takes part until ctx ends. A life that a disk has ended is followed by another, after a pause.
func (v *Voter) Run(ctx context.Context) {
	pause := lookEach
	for ctx.Err() == nil {
		begun := time.Now()
		err := v.live(ctx)
		v.mu.Lock()
		v.phase, v.why = PhaseWaiting, err
		v.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
		slog.Warn("council: this voter's part has ended, it begins again", "err", err, "after", time.Since(begun).Round(time.Millisecond))
		if pause = min(2*pause, againMost); time.Since(begun) > time.Minute {
			pause = lookEach
		}
		if errors.Is(err, errRenewed) {
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	v.mu.Lock()
	l := v.link
	v.link = nil
	v.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

var (
	errRenewed = errors.New("it begins with another identity")
	errRemoved = errors.New("the others have another voter in this one's place")
)

// live is one life: from the opening of the log until it fails or ctx ends.
func (v *Voter) live(ctx context.Context) error {
	if err := v.listen(); err != nil {
		return err
	}
	log, spoilt, err := raftlog.Open(v.cfg.Disk, v.cfg.Dir, v.cfg.Self)
	if err != nil {
		return err
	}
	closed := false
	defer func() {
		if !closed {
			log.Close()
		}
	}()
	log.OnStill(v.link.Still)
	id := raft.ServerID(v.cfg.Self + "#" + log.Identity)
	v.mu.Lock()
	v.log, v.id, v.phase = log, id, PhaseAsking
	if spoilt != nil {
		v.why, v.renewed = spoilt, v.renewed+1
		slog.Error("council: what this voter agreed to is spoilt, it waits to be admitted", "err", spoilt)
	}
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		v.log, v.raft = nil, nil
		v.mu.Unlock()
		v.link.Still(false)
	}()
	var bar mark
	if !log.New {
		renew, at, err := v.settle(ctx, log)
		if err != nil {
			return err
		}
		if renew != nil {
			slog.Error("council: this voter's disk has less than it has said, it waits to be admitted", "err", renew)
			v.mu.Lock()
			v.why, v.renewed = renew, v.renewed+1
			v.mu.Unlock()
			closed = true
			return errors.Join(errRenewed, log.Renew())
		}
		bar = at
	}
	return v.take(ctx, log, id, bar)
}

func (v *Voter) listen() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.link != nil {
		return nil
	}
	l, err := transport.Open(transport.Config{Label: v.cfg.Label, Self: v.cfg.Self, Bind: v.peers[v.cfg.Self].Address, Via: v.cfg.Via, Answer: v.answer})
	if err == nil {
		v.link = l
	}
	return err
}

// take runs the library until ctx ends or the log fails.
func (v *Voter) take(ctx context.Context, log *raftlog.Log, id raft.ServerID, bar mark) error {
	layer := v.link.Layer(string(id))
	logger := raftlog.Logger("council: ")
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer, MaxPool: streamPool,
		MaxRPCsInFlight: 1, Timeout: rpcWithin, Logger: logger})
	trans := newGuardedTransport(network, v.seen, log, bar)
	defer trans.Close()
	defer layer.Close()
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = id, logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeat, heartbeat, leadLease, commitEach
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = snapshotEach, snapshotAfter, trailing
	c.MaxAppendEntries, c.ShutdownOnRemove, c.NoLegacyTelemetry = recordsAtOnce, false, true
	lead := make(chan bool, 8)
	c.NotifyCh = lead
	f := &machines{of: v.cfg.Machines}
	if err := f.reset(); err != nil {
		return err
	}
	r, err := raft.NewRaft(c, f, log, log, log.Snapshots(), trans)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	v.mu.Lock()
	v.raft = r
	votes := voter(r.GetConfiguration().Configuration(), id)
	if v.phase = PhaseVoting; !votes {
		v.phase = PhaseAdmitted
	}
	v.mu.Unlock()
	life, end := context.WithCancel(ctx)
	var parts sync.WaitGroup
	parts.Go(func() { v.lead(life, r, lead) })
	if !votes {
		parts.Go(func() { v.enter(life, r, id) })
	}
	err = v.watch(ctx, log, r, id)
	end()
	// What it says from here on might not be on its disk.
	trans.Close()
	if e := r.Shutdown().Error(); e != nil && err == nil {
		err = e
	}
	parts.Wait()
	return err
}

// watch gives why this life ends.
func (v *Voter) watch(ctx context.Context, log *raftlog.Log, r *raft.Raft, id raft.ServerID) error {
	t := time.NewTicker(lookEach)
	defer t.Stop()
	snapped := uint64(0) // up to where a snapshot was asked for
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-log.Broken():
			return log.Err()
		case <-t.C:
			if servers := r.GetConfiguration().Configuration().Servers; len(servers) > 0 && !named(servers, id) && !v.entering() {
				return errRemoved
			}
			if log.Size() > snapshotBytes && r.LastIndex() >= snapped+snapshotLeast {
				snapped = r.LastIndex()
				go r.Snapshot() // which the library's end ends; one that fails is tried again with more records
			}
		}
	}
}

func (v *Voter) entering() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.phase == PhaseAdmitted
}

func named(servers []raft.Server, id raft.ServerID) bool {
	for _, s := range servers {
		if s.ID == id {
			return true
		}
	}
	return false
}

// lead tells of the times in which this voter leads.
func (v *Voter) lead(ctx context.Context, r *raft.Raft, lead <-chan bool) {
	tell := func(term uint64) {
		v.ready.Store(term)
		if v.cfg.Leading != nil {
			v.cfg.Leading(term)
		}
	}
	defer tell(0)
	news := make(chan raft.Observation, 8)
	watch := raft.NewObserver(news, false, func(o *raft.Observation) bool { _, ok := o.Data.(raft.LeaderObservation); return ok })
	r.RegisterObserver(watch)
	defer r.DeregisterObserver(watch)
	for {
		select {
		case <-ctx.Done():
			return
		case <-news:
			if v.cfg.Changed != nil {
				v.cfg.Changed()
			}
		case on := <-lead:
			if !on {
				tell(0)
				continue
			}
			// What was agreed before is applied first, in the term that is told.
			term := r.CurrentTerm()
			if err := r.Barrier(0).Error(); err == nil && r.CurrentTerm() == term {
				tell(term)
			}
		}
	}
}

// Trust has a voter take its disk for true that waits for others which can't be heard: the way out
// of an operator who knows that the disk was not lost.
func (v *Voter) Trust() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.trust:
	default:
		close(v.trust)
	}
}

// Leader gives the name of the voter that leads; "" is not known.
func (v *Voter) Leader() string {
	v.mu.Lock()
	r := v.raft
	v.mu.Unlock()
	if r == nil {
		return ""
	}
	_, id := r.LeaderWithID()
	return nameOf(id)
}

// Status tells how this voter is.
func (v *Voter) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Status{Phase: v.phase, Identity: string(v.id), Renewed: v.renewed}
	if v.why != nil {
		s.Why = v.why.Error()
	}
	if v.link != nil {
		s.Refused = v.link.Refused()
	}
	if r := v.raft; r != nil {
		_, id := r.LeaderWithID()
		s.Leader, s.Term, s.Commit, s.Applied = nameOf(id), r.CurrentTerm(), r.CommitIndex(), r.AppliedIndex()
		for _, x := range r.GetConfiguration().Configuration().Servers {
			s.Voters = append(s.Voters, string(x.ID))
		}
	}
	return s
}
