package consensus

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// Configuration of the raft library.
const (
	heartbeatTimeout    = 600 * time.Millisecond // minimum time without a heartbeat before a voter stands for election
	leaderLeaseTimeout  = 400 * time.Millisecond // a leader without a majority steps down after this time
	commitInterval      = 200 * time.Millisecond // interval of commit index updates while no entries are sent
	rpcTimeout          = time.Second
	streamsPerVoter     = 2 // pooled streams to each voter, so that entries and heartbeats have one each
	maxEntriesPerAppend = 16

	snapshotInterval         = 30 * time.Second // minimum interval between the library's checks for a due snapshot
	snapshotThresholdEntries = 256              // log entries since the last snapshot after which the library takes one
	snapshotThresholdBytes   = 1 << 20          // log size after which watchLog requests a snapshot
	minSnapshotEntries       = 16               // minimum entries between two snapshots that watchLog requests
	trailingEntries          = 32               // log entries kept before a snapshot, for followers that are behind
)

func raftConfig(identity raft.ServerID, leading chan<- bool, logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = identity
	c.Logger = logger
	c.HeartbeatTimeout = heartbeatTimeout
	c.ElectionTimeout = heartbeatTimeout
	c.LeaderLeaseTimeout = leaderLeaseTimeout
	c.CommitTimeout = commitInterval
	c.SnapshotInterval = snapshotInterval
	c.SnapshotThreshold = snapshotThresholdEntries
	c.TrailingLogs = trailingEntries
	c.MaxAppendEntries = maxEntriesPerAppend
	c.ShutdownOnRemove = false
	c.NoLegacyTelemetry = true
	c.NotifyCh = leading
	return c
}

// runRaft runs the raft library until ctx ends, the log fails or this identity is removed from the group, and returns
// the reason. While the log ends before minPosition, this voter does not stand for election and rejects vote requests
// of candidates whose logs end before it too. The zero minPosition disables the check.
func (v *Voter) runRaft(ctx context.Context, log *raftlog.Log, identity raft.ServerID, minPosition logPosition) error {
	layer := v.transport.NewStreamLayer(string(identity))
	logger := raftlog.NewLogger("consensus: ")
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:          layer,
		MaxPool:         streamsPerVoter,
		MaxRPCsInFlight: 1,
		Timeout:         rpcTimeout,
		Logger:          logger,
	})
	guarded := newGuardedTransport(network, v.records, log, minPosition)
	defer func() {
		_ = layer.Close()
		_ = guarded.Close() // an error does not matter: closing ends all streams either way
	}()
	machines := &stateMachines{byKind: v.config.StateMachines}
	if err := machines.reset(); err != nil {
		return err
	}
	leading := make(chan bool, 8)
	r, err := raft.NewRaft(raftConfig(identity, leading, logger), machines, log, log, log.Snapshots(), guarded)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	isVoting := v.setRaft(r, identity)
	running, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup // its goroutines end when running is canceled
	tasks.Go(func() { v.watchLeadership(running, r, leading) })
	if !isVoting {
		tasks.Go(func() { v.joinGroup(running, r, identity) })
	}
	err = v.watchLog(ctx, log, r, identity)
	stop()
	// Sending stops first: what this voter would send after its log has failed might not be on its disk.
	_ = guarded.Close()
	if shutdown := r.Shutdown().Error(); shutdown != nil && err == nil {
		err = shutdown
	}
	tasks.Wait()
	return err
}

// setRaft stores the running library, sets the phase, and reports whether the log's last configuration lists identity
// as a voter.
func (v *Voter) setRaft(r *raft.Raft, identity raft.ServerID) bool {
	isVoting := isVoter(r.GetConfiguration().Configuration(), identity)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raft = r
	v.phase = PhaseVoting
	if !isVoting {
		v.phase = PhaseAwaitingAdmission
	}
	return isVoting
}

// watchLog waits until ctx ends, the log fails or this identity is removed from the group, and returns the reason.
// Meanwhile it requests a snapshot whenever the log has grown large.
func (v *Voter) watchLog(ctx context.Context, log *raftlog.Log, r *raft.Raft, identity raft.ServerID) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	snapshotIndex := uint64(0) // index of the last log entry when watchLog last requested a snapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-log.Failed():
			return log.Err()
		case <-ticker.C:
		}
		servers := r.GetConfiguration().Configuration().Servers
		if len(servers) > 0 && !isListed(servers, identity) && !v.isAwaitingAdmission() {
			return errRemoved
		}
		if log.Size() > snapshotThresholdBytes && r.LastIndex() >= snapshotIndex+minSnapshotEntries {
			snapshotIndex = r.LastIndex()
			go r.Snapshot() // ends with the library; if it fails, the next one is requested after more entries
		}
	}
}

func (v *Voter) isAwaitingAdmission() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.phase == PhaseAwaitingAdmission
}

// watchLeadership calls OnLeading when this voter gains or loses leadership, and OnLeaderChange at each change of the
// leader, until ctx ends. At its end it reports that this voter does not lead.
func (v *Voter) watchLeadership(ctx context.Context, r *raft.Raft, leading <-chan bool) {
	defer v.setLeading(0)
	changes := make(chan raft.Observation, 8)
	isLeaderChange := func(o *raft.Observation) bool {
		_, ok := o.Data.(raft.LeaderObservation)
		return ok
	}
	observer := raft.NewObserver(changes, false, isLeaderChange)
	r.RegisterObserver(observer)
	defer r.DeregisterObserver(observer)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
			if v.config.OnLeaderChange != nil {
				v.config.OnLeaderChange()
			}
		case isLeading := <-leading:
			if !isLeading {
				v.setLeading(0)
				continue
			}
			// The barrier returns once all entries committed in earlier terms are applied. The term must not have
			// changed meanwhile.
			term := r.CurrentTerm()
			if err := r.Barrier(0).Error(); err == nil && r.CurrentTerm() == term {
				v.setLeading(term)
			}
		}
	}
}

// setLeading stores and reports the term in which this voter leads; 0 means that it does not lead.
func (v *Voter) setLeading(term uint64) {
	v.leadingTerm.Store(term)
	if v.config.OnLeading != nil {
		v.config.OnLeading(term)
	}
}

func isVoter(c raft.Configuration, id raft.ServerID) bool {
	for _, s := range c.Servers {
		if s.ID == id && s.Suffrage == raft.Voter {
			return true
		}
	}
	return false
}
