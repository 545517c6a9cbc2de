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
	heartbeatTimeout    = 600 * time.Millisecond // without a heartbeat, at least, before a voter stands for election
	leaderLeaseTimeout  = 400 * time.Millisecond // that a leader goes on without a majority
	commitInterval      = 200 * time.Millisecond // at which voters learn what is agreed where nothing else is sent
	rpcTimeout          = time.Second
	streamsPerVoter     = 2 // for heartbeats and records
	maxEntriesPerAppend = 16

	snapshotInterval         = 30 * time.Second // at least, between two checks whether a snapshot is due
	snapshotThresholdEntries = 256              // records after which one is due
	snapshotThresholdBytes   = 1 << 20          // of the log, after which one is due
	minSnapshotEntries       = 16               // since the last one, where the log has snapshotBytes
	trailingEntries          = 32               // that are kept before a snapshot
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

// runRaft runs the library until ctx ends or the log fails. A voter with less in its log than minimum neither votes for
// others with less nor stands for election.
func (v *Voter) runRaft(ctx context.Context, log *raftlog.Log, identity raft.ServerID, minimum logPosition) error {
	layer := v.transport.Layer(string(identity))
	logger := raftlog.Logger("consensus: ")
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:          layer,
		MaxPool:         streamsPerVoter,
		MaxRPCsInFlight: 1,
		Timeout:         rpcTimeout,
		Logger:          logger,
	})
	guarded := newGuardedTransport(network, v.records, log, minimum)
	defer func() {
		_ = layer.Close()
		_ = guarded.Close() // all streams end with them
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
	votes := v.setRaft(r, identity)
	running, stop := context.WithCancel(ctx)
	var parts sync.WaitGroup // end with running
	parts.Go(func() { v.watchLeadership(running, r, leading) })
	if !votes {
		parts.Go(func() { v.joinGroup(running, r, identity) })
	}
	err = v.watchLog(ctx, log, r, identity)
	stop()
	// What this voter sends from here on might not be on its disk.
	_ = guarded.Close()
	if shutdown := r.Shutdown().Error(); shutdown != nil && err == nil {
		err = shutdown
	}
	parts.Wait()
	return err
}

// setRaft notes that the library runs, and reports whether this voter votes.
func (v *Voter) setRaft(r *raft.Raft, identity raft.ServerID) bool {
	votes := isVoter(r.GetConfiguration().Configuration(), identity)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raft = r
	v.phase = PhaseVoting
	if !votes {
		v.phase = PhaseAwaitingAdmission
	}
	return votes
}

// watchLog returns why this run ends, and has snapshots taken of a log that has grown large.
func (v *Voter) watchLog(ctx context.Context, log *raftlog.Log, r *raft.Raft, identity raft.ServerID) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	snapshotIndex := uint64(0) // up to where a snapshot was asked for
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
			go r.Snapshot() // ends with the library; one that fails is tried again with more records
		}
	}
}

func (v *Voter) isAwaitingAdmission() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.phase == PhaseAwaitingAdmission
}

// watchLeadership reports the times in which this voter leads, and each change of the leader.
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
		case leads := <-leading:
			if !leads {
				v.setLeading(0)
				continue
			}
			// What was agreed before is applied first, in the term that is reported.
			term := r.CurrentTerm()
			if err := r.Barrier(0).Error(); err == nil && r.CurrentTerm() == term {
				v.setLeading(term)
			}
		}
	}
}

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
