package consensus

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// A voter with an identity on its disk requests reports from the other voters before it takes part. It does so at every
// start: no mark of a clean shutdown can be relied on, because a faulty disk may restore an old one.
//
// Of n voters, n/2+1 others have to report, and so does each voter that a report names as the leader. Of the voters
// that report an empty log and an unknown identity, because they have lost their disks, only one counts: at most one
// disk is taken to be faulty at a time. An operator can waive this; see RejoinWithoutQuorum.
//
// If a report shows that this voter has acknowledged more than its disk has, or that the group has replaced its
// identity, the voter starts again with a new identity. Otherwise it rejoins. It casts no more votes in any term up to
// the highest that a report names. Until its log has the latest entry that the reports name, it does not stand for
// election and does not vote for a candidate whose log ends before that entry.

const (
	reportInterval    = 300 * time.Millisecond // pause between two rounds of report requests
	reportTimeout     = time.Second            // time limit for one round
	quorumGracePeriod = time.Second            // wait for the remaining reports after a quorum has reported
)

// diskState is the state on a voter's disk when it starts.
type diskState struct {
	lastEntry          logPosition
	term, votedTerm    uint64
	configuration      raft.Configuration
	configurationIndex uint64
	empty              bool // there is neither an entry nor a snapshot
	identity           raft.ServerID
}

// readDiskState reads the state from the opened log.
func (v *Voter) readDiskState(log *raftlog.Log) (d diskState, err error) {
	d.empty = log.Empty
	d.identity = raft.ServerID(v.config.Name + "#" + log.Identity)
	if d.lastEntry.Term, d.lastEntry.Index, err = log.LastPosition(); err != nil {
		return d, err
	}
	if d.term, d.votedTerm, err = log.Term(); err != nil {
		return d, err
	}
	d.configuration, d.configurationIndex, err = log.Configuration()
	return d, err
}

// rejoin requests reports from the other voters until this voter can decide how to take part. A non-nil renewReason
// means that it has to start again with a new identity. Otherwise minPosition is the latest entry that the reports
// name, or zero if the disk has that entry; see guardedTransport.
func (v *Voter) rejoin(ctx context.Context, log *raftlog.Log) (renewReason error, minPosition logPosition, err error) {
	onDisk, err := v.readDiskState(log)
	if err != nil {
		return nil, minPosition, err
	}
	reports := make(map[string]*voterReport)
	var quorumAt time.Time
	for {
		for name, report := range v.collectReports(ctx, onDisk.identity) {
			reports[name] = report
		}
		if ctx.Err() != nil {
			return nil, minPosition, ctx.Err()
		}
		if evidence := onDisk.lossEvidence(reports); evidence != nil {
			return evidence, minPosition, nil
		}
		allReported := len(reports) == len(v.peers)-1
		// An empty disk has no state to rejoin with, and no report shows that it had any: the voter joins as a new one.
		if onDisk.empty && (allReported || anyLeaderKnown(reports)) {
			return nil, minPosition, nil
		}
		if quorumAt.IsZero() && v.hasQuorum(reports, onDisk.configuration) {
			quorumAt = time.Now()
		}
		graceEnded := !quorumAt.IsZero() && (allReported || time.Since(quorumAt) > quorumGracePeriod)
		if v.isQuorumWaived() || (graceEnded && allLeadersReported(reports)) {
			break
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return nil, minPosition, ctx.Err()
		}
	}
	term := onDisk.term
	for _, report := range reports {
		term = max(term, report.Term)
		if report.LastEntry.isAfter(minPosition) {
			minPosition = report.LastEntry
		}
	}
	if !minPosition.isAfter(onDisk.lastEntry) {
		minPosition = logPosition{}
	}
	slog.Info("consensus: rejoining with the state on disk", "index", onDisk.lastEntry.Index, "term", term, "reports", len(reports), "behind", minPosition.Index)
	return nil, minPosition, log.ForbidVotesThrough(term)
}

// isQuorumWaived reports whether RejoinWithoutQuorum was called.
func (v *Voter) isQuorumWaived() bool {
	select {
	case <-v.quorumWaived:
		return true
	default:
		return false
	}
}

// lossEvidence returns an error if a report shows that the disk has lost state, or that the group has replaced the
// identity; nil means that none does. A newer configuration shows a loss if it lists the identity while the disk is
// empty, and a replacement if it does not list the identity while the disk has a log.
func (d *diskState) lossEvidence(reports map[string]*voterReport) error {
	for name, report := range reports {
		if loss := report.CallerRecord.lossEvidence(d.lastEntry, d.term, d.votedTerm); loss != "" {
			return fmt.Errorf("voter %s reports that this voter %s", name, loss)
		}
		listed := slices.Contains(report.Voters, string(d.identity))
		if report.ConfigurationIndex > d.configurationIndex && listed == d.empty {
			return fmt.Errorf("voter %s has a newer configuration, which lists this voter: %v, its disk ends with entry %d", name, listed, d.lastEntry.Index)
		}
	}
	return nil
}

// lossEvidence returns what the voter of this record has done that its disk, with the given state, does not show; ""
// means nothing. lastEntry, term and votedTerm are the disk's.
func (r *peerRecord) lossEvidence(lastEntry logPosition, term, votedTerm uint64) string {
	switch {
	case r.LastEntry.isAfter(lastEntry):
		return fmt.Sprintf("acknowledged entry %d of term %d, its disk ends with entry %d of term %d", r.LastEntry.Index, r.LastEntry.Term, lastEntry.Index, lastEntry.Term)
	case r.Term > term:
		return fmt.Sprintf("was in term %d, its disk has term %d", r.Term, term)
	case r.VotedTerm > votedTerm:
		return fmt.Sprintf("voted in term %d, the last vote on its disk is in term %d", r.VotedTerm, votedTerm)
	}
	return ""
}

// hasQuorum reports whether enough other voters have reported. One with an empty log counts if known, the configuration
// on this voter's disk, lists its identity. Of the others with an empty log, which have lost their disks, only one
// counts.
func (v *Voter) hasQuorum(reports map[string]*voterReport, known raft.Configuration) bool {
	count := 0
	lostDisks := 0 // 0 or 1
	for _, report := range reports {
		if report.Empty && !isListed(known.Servers, raft.ServerID(report.Identity)) {
			lostDisks = 1
			continue
		}
		count++
	}
	return count+lostDisks >= v.quorum
}

// allLeadersReported reports whether each leader that a report names has itself reported, with the same identity: the
// leader's report has the record of what this voter acknowledged to it.
func allLeadersReported(reports map[string]*voterReport) bool {
	for _, report := range reports {
		if report.Leader == "" {
			continue
		}
		leader := reports[voterName(raft.ServerID(report.Leader))]
		if leader == nil || leader.Identity != report.Leader {
			return false
		}
	}
	return true
}

// anyLeaderKnown reports whether a report names a leader.
func anyLeaderKnown(reports map[string]*voterReport) bool {
	for _, report := range reports {
		if report.Leader != "" {
			return true
		}
	}
	return false
}
