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

// A voter with an identity on its disk requests reports of the others before it takes part, each time, as a faulty disk may bring back any
// mark of a clean end. It needs reports of a majority of all (itself not counted; one that has lost its disk counts once,
// as one disk is taken to be faulty). If it has acknowledged more to one of them than its disk has, or another one has its
// place, it begins with another identity. Else it bars itself from the terms that the others know of, and from electing
// anybody who has less than the others had.

const (
	reportInterval    = 300 * time.Millisecond // between two rounds of report requests
	reportTimeout     = time.Second
	quorumGracePeriod = time.Second // for those that have not answered yet, once a quorum has
)

// diskState is what a voter has on its disk.
type diskState struct {
	lastEntry          logPosition
	term, votedTerm    uint64
	configuration      raft.Configuration
	configurationIndex uint64
	empty              bool
	identity           raft.ServerID
}

func (v *Voter) readDiskState(log *raftlog.Log) (d diskState, err error) {
	d.empty = log.Empty
	d.identity = raft.ServerID(v.config.Name + "#" + log.Identity)
	if d.lastEntry.Term, d.lastEntry.Index, err = log.Last(); err != nil {
		return d, err
	}
	if d.term, d.votedTerm, err = log.Term(); err != nil {
		return d, err
	}
	d.configuration, d.configurationIndex, err = log.Configuration()
	return d, err
}

// rejoin requests reports of the others until enough have answered. renew is why this voter can't go by its disk; minimum is what the
// others have, where that is more than this voter has.
func (v *Voter) rejoin(ctx context.Context, log *raftlog.Log) (renew error, minimum logPosition, err error) {
	have, err := v.readDiskState(log)
	if err != nil {
		return nil, minimum, err
	}
	reports := make(map[string]*voterReport)
	var quorumAt time.Time
	for {
		for name, report := range v.collectReports(ctx, have.identity) {
			reports[name] = report
		}
		if ctx.Err() != nil {
			return nil, minimum, ctx.Err()
		}
		if renew := have.lossEvidence(reports); renew != nil {
			return renew, minimum, nil
		}
		all := len(reports) == len(v.peers)-1
		if have.empty && (all || anyLeaderKnown(reports)) {
			return nil, minimum, nil
		}
		if quorumAt.IsZero() && v.hasQuorum(reports, have.configuration) {
			quorumAt = time.Now()
		}
		waited := !quorumAt.IsZero() && (all || time.Since(quorumAt) > quorumGracePeriod)
		if v.isQuorumWaived() || (waited && allLeadersReported(reports)) {
			break
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return nil, minimum, ctx.Err()
		}
	}
	term := have.term
	for _, report := range reports {
		term = max(term, report.Term)
		if report.LastEntry.isAfter(minimum) {
			minimum = report.LastEntry
		}
	}
	if !minimum.isAfter(have.lastEntry) {
		minimum = logPosition{}
	}
	slog.Info("consensus: voter goes by its disk", "index", have.lastEntry.Index, "term", term, "reports", len(reports), "behind", minimum.Index)
	return nil, minimum, log.BarVotes(term)
}

func (v *Voter) isQuorumWaived() bool {
	select {
	case <-v.quorumWaived:
		return true
	default:
		return false
	}
}

// lossEvidence returns what the others know that the disk does not have; nil is nothing.
func (d *diskState) lossEvidence(reports map[string]*voterReport) error {
	for name, report := range reports {
		if less := report.CallerRecord.lossEvidence(d.lastEntry, d.term, d.votedTerm); less != "" {
			return fmt.Errorf("%s has heard %s", name, less)
		}
		listed := slices.Contains(report.Voters, string(d.identity))
		if report.ConfigurationIndex > d.configurationIndex && listed == d.empty {
			return fmt.Errorf("%s knows it as a voter: %v, and it has %d records", name, listed, d.lastEntry.Index)
		}
	}
	return nil
}

// lossEvidence returns what a voter has sent that its disk does not have; "" is nothing.
func (r *peerRecord) lossEvidence(has logPosition, term, voted uint64) string {
	switch {
	case r.LastEntry.isAfter(has):
		return fmt.Sprintf("that it has record %d of term %d, it has %d of %d", r.LastEntry.Index, r.LastEntry.Term, has.Index, has.Term)
	case r.Term > term:
		return fmt.Sprintf("of term %d from it, it has %d", r.Term, term)
	case r.VotedTerm > voted:
		return fmt.Sprintf("its vote in term %d, its last is in %d", r.VotedTerm, voted)
	}
	return ""
}

// hasQuorum reports whether those that reported are a majority. One that has agreed to nothing counts if its identity is known; of
// those that have lost what they had, one.
func (v *Voter) hasQuorum(reports map[string]*voterReport, known raft.Configuration) bool {
	count := 0
	lost := 0
	for _, report := range reports {
		if report.Empty && !isListed(known.Servers, raft.ServerID(report.Identity)) {
			lost = 1
			continue
		}
		count++
	}
	return count+lost >= v.quorum
}

// allLeadersReported reports whether each leader that one of them knows has reported itself: what this voter had acknowledged to it
// counts there.
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

func anyLeaderKnown(reports map[string]*voterReport) bool {
	for _, report := range reports {
		if report.Leader != "" {
			return true
		}
	}
	return false
}
