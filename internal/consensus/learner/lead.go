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

// confirm has a majority confirm the leadership, one round at a time.
func (l *Learner) confirm(ctx context.Context) {
	if !l.leads || l.verifying {
		return
	}
	round, ok := l.node.BeginConfirmation()
	if !ok {
		return
	}
	l.verifying = true
	l.running.Go(func() {
		err := l.config.Consensus.Verify()
		l.post(ctx, func() {
			l.verifying = false
			if err != nil {
				l.Counts.Unverified.Add(1)
				return
			}
			l.Counts.Verified.Add(1)
			l.node.LeadershipConfirmed(Clock(), round)
		})
	})
}

// propose has the voters agree to the leader's own steps of an activation, one at a time.
func (l *Learner) propose(ctx context.Context) {
	if !l.leads || l.proposing || Clock() < l.proposeAfter {
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
				l.proposeAfter = Clock() + proposeRetryInterval
				return
			}
			l.Counts.Proposed.Add(1)
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
