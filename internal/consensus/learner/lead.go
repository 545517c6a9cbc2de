package learner

import (
	"context"
	"log/slog"
	"time"

	"sloestile/fleet/rules"
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
	l.work.Go(func() {
		err := l.cfg.Council.Verify()
		l.post(ctx, func() {
			if l.verifying = false; err != nil {
				l.Counts.Unverified.Add(1)
				return
			}
			l.Counts.Verified.Add(1)
			l.node.Confirmed(Clock(), round)
		})
	})
}

// propose has the voters agree to the leader's own steps of an activation, one at a time.
func (l *Learner) propose(ctx context.Context) {
	if !l.leads || l.proposing || Clock() < l.notBefore {
		return
	}
	var c rules.Command
	if commit, ok := l.node.CommitReady(Clock()); ok {
		c.Commit = &commit
	} else if number, at, ok := l.cfg.Registry.Due(); ok && int64(at) <= time.Now().UnixMilli() {
		c.Prepare = &rules.Prepare{Number: number}
	} else {
		return
	}
	raw, err := c.Encode()
	if err != nil {
		slog.Error("rules: a step of an activation", "err", err)
		return
	}
	l.proposing = true
	l.work.Go(func() {
		_, err := l.cfg.Council.Propose(Machine, raw, proposeWithin)
		l.post(ctx, func() {
			if l.proposing = false; err != nil {
				l.notBefore = Clock() + proposeAgain
				return
			}
			l.Counts.Proposed.Add(1)
		})
	})
}
