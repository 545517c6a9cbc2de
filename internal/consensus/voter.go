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
	checkInterval   = time.Second // interval of watchLog's checks; also the shortest restart pause
	maxRestartPause = 10 * time.Second
	minStableRun    = time.Minute // run time after which the restart pause begins at checkInterval again
)

// Peer is the name and the address of a voter, as listed in the fleet file.
type Peer struct{ Name, Address string }

// StateMachine is one of the state machines that share the log. Its methods are called by one goroutine at a time. It
// must be deterministic: the same commands produce the same state and results at every voter.
type StateMachine interface {
	// Apply applies a committed command. At the leader, Propose returns its result.
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot; nil restores the initial state.
	Restore(state []byte) error
}

// Config is the configuration of a voter.
type Config struct {
	Label         string // label of the fleet; streams with another label are rejected
	Name          string // name of this node
	Voters        []Peer // all voters, including this one
	Dir           string // directory of the log, on a disk that outlives the process
	Disk          disk.FS
	DialAddresses map[string]string     // addresses to dial in place of peer addresses, by peer address
	StateMachines map[byte]StateMachine // by the first byte of their commands
	// CallHandlers answer calls of other nodes, by the call's first byte; 'v' is reserved for this package. A nil
	// answer closes the call.
	CallHandlers map[byte]func(from string, body []byte) []byte
	// OnLeading is called with the term when this voter has become leader and has applied all entries committed in
	// earlier terms, and with 0 when it no longer leads. It must not block. Nil disables it.
	OnLeading func(term uint64)
	// OnLeaderChange is called when the known leader has changed, also when there is none now. It must not block. Nil
	// disables it.
	OnLeaderChange func()
}

// Phases of a voter, as the console shows them.
const (
	// PhaseNotRunning means that the log or the listener is not open.
	PhaseNotRunning = "waits for its folder or port"
	// PhaseRequestingReports means that the voter compares its disk with the reports of the others.
	PhaseRequestingReports = "asks the others what they have seen of it"
	// PhaseAwaitingAdmission means that the voter runs with an identity that is not a voter of the group yet. A voter
	// with a new disk is in it too, and so are the voters of a new group until it is bootstrapped, although they have
	// lost nothing.
	PhaseAwaitingAdmission = "has lost what it agreed to and waits to be admitted"
	// PhaseVoting means that the identity is a voter of the group.
	PhaseVoting = "votes"
)

// Status is the state of a voter at one moment, for operators. Leader, Term, CommitIndex, AppliedIndex and Voters are
// zero while the raft library does not run.
type Status struct {
	Phase            string
	Identity         string // name of the node, "#" and a random number stored on the voter's disk
	Leader           string // name of the leader; "" means that none is known
	Term             uint64
	CommitIndex      uint64
	AppliedIndex     uint64
	Voters           []string // identities in the latest configuration of the group
	LastError        string   // why the last run ended or the identity was renewed, whichever was later; "" means none
	IdentityRenewals int      // identities replaced since the process started, because of the disk or by the group
	RejectedStreams  uint64   // number of incoming streams that were rejected; see transport.Transport.RejectedStreams
}

// Voter is this node's voter of the consensus group. It is active while Run runs.
type Voter struct {
	config      Config
	peers       map[string]Peer // by name
	quorum      int             // number of other voters that must report before this one rejoins
	leadingTerm atomic.Uint64   // term in which this voter leads, once earlier entries are applied; 0 if not

	mu               sync.Mutex
	transport        *transport.Transport
	phase            string
	log              *raftlog.Log // nil between two runs
	raft             *raft.Raft   // nil while the raft library does not run
	identity         raft.ServerID
	records          *peerRecords
	lastError        error
	identityRenewals int
	quorumWaived     chan struct{} // closed by RejoinWithoutQuorum
	admissionMu      sync.Mutex    // held during a step of an admission
}

// New checks the configuration and returns a voter that is inactive until Run.
func New(cfg Config) (*Voter, error) {
	v := &Voter{
		config:       cfg,
		peers:        make(map[string]Peer),
		phase:        PhaseNotRunning,
		records:      newPeerRecords(),
		quorumWaived: make(chan struct{}),
	}
	if n := len(cfg.Voters); n != 3 && n != 5 && n != 7 {
		return nil, fmt.Errorf("council: %d voters are configured; list 3, 5 or 7", n)
	}
	for _, p := range cfg.Voters {
		v.peers[p.Name] = p
	}
	if _, ok := v.peers[cfg.Name]; !ok || len(v.peers) != len(cfg.Voters) {
		return nil, fmt.Errorf("council: %s is not one of the %d voters, or two of them have the same name", cfg.Name, len(cfg.Voters))
	}
	v.quorum = len(cfg.Voters)/2 + 1
	return v, nil
}

// Run runs the voter until ctx ends. When a run fails, for instance because of the disk, it starts another one after a
// pause that doubles up to maxRestartPause. After an identity renewal there is no pause.
func (v *Voter) Run(ctx context.Context) {
	pause := checkInterval
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := v.runOnce(ctx)
		v.setPhase(PhaseNotRunning, err)
		if ctx.Err() != nil {
			break
		}
		took := time.Since(startedAt)
		slog.Warn("consensus: restarting the voter", "error", err, "after", took.Round(time.Millisecond))
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

// setPhase stores the phase and the last error.
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
		_ = t.Close() // an error does not matter: all streams are closed either way
	}
}

// Reasons for the end of a run.
var (
	errIdentityRenewed = errors.New("the voter restarts with a new identity")
	errRemoved         = errors.New("the group has removed this voter's identity")
)

// runOnce opens the listener and the log, rejoins or joins the group, and runs until ctx ends or the run fails. It
// returns the reason of the end, which is errIdentityRenewed when the next run has to start with a new identity.
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
			_ = log.Close() // an error does not matter: all entries are durable already
		}
	}()
	log.OnStall(v.transport.SetStalled)
	identity := raft.ServerID(v.config.Name + "#" + log.Identity)
	v.beginRun(log, identity, corrupt)
	defer v.endRun()
	var minPosition logPosition
	if !log.NewIdentity {
		renewReason, reported, err := v.rejoin(ctx, log)
		if err != nil {
			return err
		}
		if renewReason != nil {
			slog.Error("consensus: disk has lost acknowledged state, requesting admission with a new identity", "error", renewReason)
			v.recordRenewal(renewReason)
			closed = true
			return errors.Join(errIdentityRenewed, log.RenewIdentity())
		}
		minPosition = reported
	}
	return v.runRaft(ctx, log, identity, minPosition)
}

// beginRun sets the log and the identity of a run. A non-nil corrupt is the reason why the log is a new one.
func (v *Voter) beginRun(log *raftlog.Log, identity raft.ServerID, corrupt error) {
	v.mu.Lock()
	v.log = log
	v.identity = identity
	v.phase = PhaseRequestingReports
	v.mu.Unlock()
	if corrupt != nil {
		v.recordRenewal(corrupt)
		slog.Error("consensus: log is corrupt, requesting admission with a new identity", "error", corrupt)
	}
}

// endRun clears the state of a run and lets the transport send again.
func (v *Voter) endRun() {
	v.mu.Lock()
	v.log = nil
	v.raft = nil
	v.mu.Unlock()
	v.transport.SetStalled(false)
}

// recordRenewal counts an identity renewal and stores its reason.
func (v *Voter) recordRenewal(reason error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastError = reason
	v.identityRenewals++
}

// listen opens the transport, unless it is open since an earlier run.
func (v *Voter) listen() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.transport != nil {
		return nil
	}
	t, err := transport.Open(transport.Config{
		Label:         v.config.Label,
		Name:          v.config.Name,
		ListenAddress: v.peers[v.config.Name].Address,
		DialAddresses: v.config.DialAddresses,
		HandleCall:    v.handleCall,
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

// RejoinWithoutQuorum lets the voter rejoin with the state on its disk and the reports that it has, without waiting for
// a quorum of reports, in this run and in later ones. It is for an operator who knows that the disk is intact while
// other voters cannot be reached. A report that shows that the disk has lost state still forces a new identity.
func (v *Voter) RejoinWithoutQuorum() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.quorumWaived:
	default:
		close(v.quorumWaived)
	}
}

// Leader returns the name of the leader; "" means that none is known.
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

// Status returns the current state of this voter.
func (v *Voter) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Status{Phase: v.phase, Identity: string(v.identity), IdentityRenewals: v.identityRenewals}
	if v.lastError != nil {
		s.LastError = v.lastError.Error()
	}
	if v.transport != nil {
		s.RejectedStreams = v.transport.RejectedStreams()
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
