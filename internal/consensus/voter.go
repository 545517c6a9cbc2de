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
	checkInterval   = time.Second // of whether this voter is still one
	maxRestartPause = 10 * time.Second
	// minStableRun is how long a voter must have run for its next restart to come at once.
	minStableRun = time.Minute
)

// Peer is a voter as the fleet file names it.
type Peer struct{ Name, Address string }

// StateMachine is one of the state machines that share the log. It is called by one goroutine at a time, and does the
// same with the same commands in each process.
type StateMachine interface {
	// Apply applies an agreed command; what it returns is Propose's result at the leader.
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(state []byte) error // nil is the initial state
}

// Config is a voter's.
type Config struct {
	Label         string // of the fleet
	Name          string // of this node
	Voters        []Peer // all of them, this one too
	Dir           string // on a disk that outlives the process
	Disk          disk.FS
	DialAddresses map[string]string     // addresses by which others are reached, where they differ
	StateMachines map[byte]StateMachine // by the first byte of their commands
	// CallHandlers answer others' calls by their first byte; 'v' is this package's own.
	CallHandlers map[byte]func(from string, body []byte) []byte
	// OnLeading is called when this voter leads in a term, once all that was agreed before is applied, and with term 0
	// when it leads no more. It must not wait.
	OnLeading func(term uint64)
	// OnLeaderChange is called when another voter leads, or none. It must not wait.
	OnLeaderChange func()
}

// Phases of a voter, as operators see them.
const (
	PhaseNotRunning        = "waits for its folder or port"
	PhaseRequestingReports = "asks the others what they have seen of it"
	PhaseAwaitingAdmission = "has lost what it agreed to and waits to be admitted"
	PhaseVoting            = "votes"
)

// Status is how a voter is.
type Status struct {
	Phase            string
	Identity         string
	Leader           string // its name; "" is none
	Term             uint64
	CommitIndex      uint64
	AppliedIndex     uint64
	Voters           []string // identities, as agreed last
	LastError        string   // "" is none
	IdentityRenewals int      // times that it began with another identity
	RejectedStreams  uint64   // without a header of this fleet
}

// Voter takes part until its Run ends.
type Voter struct {
	config      Config
	peers       map[string]Peer // by name
	quorum      int             // of all voters, itself not counted, that have to report before it votes
	leadingTerm atomic.Uint64   // in which it leads with all before it applied; 0 is none

	mu               sync.Mutex
	transport        *transport.Transport
	phase            string
	log              *raftlog.Log // nil between two runs
	raft             *raft.Raft   // nil until it takes part
	identity         raft.ServerID
	records          *peerRecords
	lastError        error
	identityRenewals int
	quorumWaived     chan struct{} // closed by RejoinWithoutQuorum
	admissionMu      sync.Mutex    // held by one admission at a time
}

// New returns a voter, which does nothing before Run.
func New(cfg Config) (*Voter, error) {
	v := &Voter{
		config:       cfg,
		peers:        make(map[string]Peer),
		phase:        PhaseNotRunning,
		records:      newPeerRecords(),
		quorumWaived: make(chan struct{}),
	}
	if n := len(cfg.Voters); n != 3 && n != 5 && n != 7 {
		return nil, fmt.Errorf("council: %d voters; name 3, 5 or 7", n)
	}
	for _, p := range cfg.Voters {
		v.peers[p.Name] = p
	}
	if _, ok := v.peers[cfg.Name]; !ok || len(v.peers) != len(cfg.Voters) {
		return nil, fmt.Errorf("council: %s is not one of %d voters with different names", cfg.Name, len(cfg.Voters))
	}
	v.quorum = len(cfg.Voters)/2 + 1
	return v, nil
}

// Run takes part until ctx ends. A run that a disk has ended is followed by another one, after a pause.
func (v *Voter) Run(ctx context.Context) {
	pause := checkInterval
	for ctx.Err() == nil {
		begun := time.Now()
		err := v.runOnce(ctx)
		v.setPhase(PhaseNotRunning, err)
		if ctx.Err() != nil {
			break
		}
		took := time.Since(begun)
		slog.Warn("consensus: voter restarts", "error", err, "after", took.Round(time.Millisecond))
		pause = min(2*pause, maxRestartPause)
		if took > minStableRun {
			pause = checkInterval
		}
		if errors.Is(err, errIdentityRenewed) {
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	v.closeTransport()
}

func (v *Voter) setPhase(phase string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.phase = phase
	v.lastError = err
}

func (v *Voter) closeTransport() {
	v.mu.Lock()
	t := v.transport
	v.transport = nil
	v.mu.Unlock()
	if t != nil {
		_ = t.Close() // all streams end with it
	}
}

// Errors that end a run.
var (
	errIdentityRenewed = errors.New("it begins with another identity")
	errRemoved         = errors.New("the others have another voter in this one's place")
)

// runOnce takes part from the opening of the log until it fails or ctx ends.
func (v *Voter) runOnce(ctx context.Context) error {
	if err := v.listen(); err != nil {
		return err
	}
	log, corrupt, err := raftlog.Open(v.config.Disk, v.config.Dir, v.config.Name)
	if err != nil {
		return err
	}
	closed := false
	defer func() {
		if !closed {
			_ = log.Close() // what it holds is durable already
		}
	}()
	log.OnStall(v.transport.SetStalled)
	identity := raft.ServerID(v.config.Name + "#" + log.Identity)
	v.beginRun(log, identity, corrupt)
	defer v.endRun()
	var minimum logPosition
	if !log.NewIdentity {
		renew, behind, err := v.rejoin(ctx, log)
		if err != nil {
			return err
		}
		if renew != nil {
			slog.Error("consensus: the disk has less than this voter has acknowledged, it waits to be admitted", "error", renew)
			v.recordRenewal(renew)
			closed = true
			return errors.Join(errIdentityRenewed, log.RenewIdentity())
		}
		minimum = behind
	}
	return v.runRaft(ctx, log, identity, minimum)
}

func (v *Voter) beginRun(log *raftlog.Log, identity raft.ServerID, corrupt error) {
	v.mu.Lock()
	v.log = log
	v.identity = identity
	v.phase = PhaseRequestingReports
	v.mu.Unlock()
	if corrupt != nil {
		v.recordRenewal(corrupt)
		slog.Error("consensus: the log of this voter is corrupt, it waits to be admitted", "error", corrupt)
	}
}

func (v *Voter) endRun() {
	v.mu.Lock()
	v.log = nil
	v.raft = nil
	v.mu.Unlock()
	v.transport.SetStalled(false)
}

func (v *Voter) recordRenewal(why error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastError = why
	v.identityRenewals++
}

func (v *Voter) listen() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.transport != nil {
		return nil
	}
	t, err := transport.Open(transport.Config{
		Label:  v.config.Label,
		Name:   v.config.Name,
		Bind:   v.peers[v.config.Name].Address,
		Via:    v.config.DialAddresses,
		Answer: v.handleCall,
	})
	if err == nil {
		v.transport = t
	}
	return err
}

func isListed(servers []raft.Server, id raft.ServerID) bool {
	for _, s := range servers {
		if s.ID == id {
			return true
		}
	}
	return false
}

// RejoinWithoutQuorum has a voter go by its disk that waits for others which can't be reached: the way out of an operator who knows
// that the disk was not lost.
func (v *Voter) RejoinWithoutQuorum() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.quorumWaived:
	default:
		close(v.quorumWaived)
	}
}

// Leader returns the name of the voter that leads; "" is not known.
func (v *Voter) Leader() string {
	v.mu.Lock()
	r := v.raft
	v.mu.Unlock()
	if r == nil {
		return ""
	}
	_, id := r.LeaderWithID()
	return voterName(id)
}

// Status returns how this voter is.
func (v *Voter) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Status{Phase: v.phase, Identity: string(v.identity), IdentityRenewals: v.identityRenewals}
	if v.lastError != nil {
		s.LastError = v.lastError.Error()
	}
	if v.transport != nil {
		s.RejectedStreams = v.transport.Rejected()
	}
	if r := v.raft; r != nil {
		_, leader := r.LeaderWithID()
		s.Leader = voterName(leader)
		s.Term = r.CurrentTerm()
		s.CommitIndex = r.CommitIndex()
		s.AppliedIndex = r.AppliedIndex()
		for _, server := range r.GetConfiguration().Configuration().Servers {
			s.Voters = append(s.Voters, string(server.ID))
		}
	}
	return s
}
