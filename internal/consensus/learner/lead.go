package learner

import (
	"context"
	"log/slog"
	"time"

	"sloestile/fleet/rules"
)

const (
	proposeTimeout       = time.Second
	proposeRetryInterval = 200 * time.Millisecond // pause after a failed proposal
)

// confirmLeadership starts a round in which a majority of the voters confirms that this node leads, if lease requests
// wait for one. One round runs at a time.
func (l *Learner) confirmLeadership(ctx context.Context) {
	if !l.leads || l.confirming {
		return
	}
	round, ok := l.node.BeginConfirmation()
	if !ok {
		return
	}
	l.confirming = true
	l.running.Go(func() {
		err := l.config.Consensus.Verify()
		l.post(ctx, func() {
			l.confirming = false
			if err != nil {
				l.Counts.FailedVerifications.Add(1)
				return
			}
			l.Counts.Verifications.Add(1)
			l.node.LeadershipConfirmed(Clock(), round)
		})
	})
}

// proposeNextCommand proposes the next command of an activation if this node leads and one is due. One proposal runs at
// a time.
func (l *Learner) proposeNextCommand(ctx context.Context) {
	if !l.leads || l.proposing || Clock() < l.nextProposalAt {
		return
	}
	command, ok := l.nextCommand()
	if !ok {
		return
	}
	raw, err := command.Encode()
	if err != nil {
		slog.Error("rules: encoding an activation command failed", "error", err)
		return
	}
	l.proposing = true
	l.running.Go(func() {
		_, err := l.config.Consensus.Propose(StateMachineKind, raw, proposeTimeout)
		l.post(ctx, func() {
			l.proposing = false
			if err != nil {
				l.nextProposalAt = Clock() + proposeRetryInterval
				return
			}
			l.Counts.Proposals.Add(1)
		})
	})
}

// nextCommand returns the command that the leader has to propose now: the commit of the prepared version, or the
// preparation of the next scheduled one. ok is false if none is due.
func (l *Learner) nextCommand() (command rules.Command, ok bool) {
	if commit, ok := l.node.CommitReady(Clock()); ok {
		return rules.Command{Commit: &commit}, true
	}
	number, at, ok := l.config.Registry.NextActivation()
	if !ok || int64(at) > time.Now().UnixMilli() {
		return rules.Command{}, false
	}
	return rules.Command{Prepare: &rules.Prepare{Number: number}}, true
}
