package learner

import (
	"context"
	"log/slog"
	"time"

	"sloestile/fleet/rules"
)

const (
	proposeTimeout       = time.Second
	proposeRetryInterval = 200 * time.Millisecond // after a proposal that failed
)

// confirmLeadership has a majority confirmLeadership the leadership, one round at a time.
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
			l.node.Confirmed(Clock(), round)
		})
	})
}

// proposeNextCommand has the voters agree to the leader's own steps of an activation, one at a time.
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
		slog.Error("rules: encoding a step of an activation failed", "error", err)
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

// nextCommand returns the leader's next step of an activation, if one is due.
func (l *Learner) nextCommand() (rules.Command, bool) {
	if commit, ok := l.node.CommitReady(Clock()); ok {
		return rules.Command{Commit: &commit}, true
	}
	number, at, ok := l.config.Registry.NextActivation()
	if !ok || int64(at) > time.Now().UnixMilli() {
		return rules.Command{}, false
	}
	return rules.Command{Prepare: &rules.Prepare{Number: number}}, true
}
