package consensus

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/transport"
)

// enter has a fresh voter taken in, or the council founded.
func (v *Voter) enter(ctx context.Context, r *raft.Raft, id raft.ServerID) {
	body, err := cbor.Marshal(ask{Admit: true, Name: v.cfg.Self, Identity: string(id)})
	if err != nil {
		return
	}
	for {
		heard := v.others(ctx, id)
		if voter(r.GetConfiguration().Configuration(), id) {
			v.mu.Lock()
			v.phase = PhaseVoting
			v.mu.Unlock()
			slog.Info("council: this voter votes", "identity", id)
			return
		}
		if c, ok := v.first(heard, id); ok && r.LastIndex() == 0 {
			slog.Info("council: founded", "voters", len(c.Servers))
			if err := r.BootstrapCluster(c).Error(); err != nil {
				slog.Error("council: founding", "err", err)
			}
			continue
		}
		for _, a := range heard {
			if p, ok := v.peers[nameOf(raft.ServerID(a.Leader))]; ok && p.Name != v.cfg.Self {
				if a := v.call(ctx, p, body); a != nil && a.Refused != "" {
					slog.Info("council: not taken in yet", "leader", p.Name, "why", a.Refused)
				}
				break
			}
		}
		select {
		case <-time.After(askEach):
		case <-ctx.Done():
			return
		}
	}
}

func voter(c raft.Configuration, id raft.ServerID) bool {
	return slices.ContainsFunc(c.Servers, func(s raft.Server) bool { return s.ID == id && s.Suffrage == raft.Voter })
}

// first gives the council's first voters where all are heard and have agreed to nothing, and this one is
// the first of them.
func (v *Voter) first(heard map[string]*report, id raft.ServerID) (c raft.Configuration, ok bool) {
	if len(heard) != len(v.peers)-1 {
		return c, false
	}
	for _, p := range v.cfg.Voters {
		x := id
		if p.Name != v.cfg.Self {
			a := heard[p.Name]
			if !a.Fresh || strings.Compare(p.Name, v.cfg.Self) < 0 {
				return c, false
			}
			x = raft.ServerID(a.Identity)
		}
		c.Servers = append(c.Servers, raft.Server{Suffrage: raft.Voter, ID: x, Address: transport.Address(string(x), p.Address)})
	}
	return c, true
}

// admit does the next step of taking a fresh voter in; nil is that there is none left.
func (v *Voter) admit(name string, id raft.ServerID) error {
	r, err := v.leading()
	if err != nil {
		return err
	}
	p, ok := v.peers[name]
	if !ok || nameOf(id) != name || name == v.cfg.Self {
		return fmt.Errorf("council: %s is none of the fleet file's other voters", id)
	}
	if !v.admitted.TryLock() {
		return errors.New("council: another voter is being taken in")
	}
	defer v.admitted.Unlock()
	c := r.GetConfiguration().Configuration()
	if voter(c, id) {
		return nil
	}
	var old []raft.ServerID
	for _, s := range c.Servers {
		if nameOf(s.ID) == name && s.ID != id {
			if at := v.seen.of(s.ID).at; time.Since(at) < aliveFor {
				return fmt.Errorf("council: %s is there; end one of the two processes that use its name", s.ID)
			}
			old = append(old, s.ID)
		}
	}
	at := transport.Address(string(id), p.Address)
	if !named(c.Servers, id) {
		slog.Info("council: a voter begins anew", "identity", id)
		return stepped(r.AddNonvoter(id, at, 0, stepMost).Error(), "it hears the log")
	}
	if has := v.seen.of(id).Last.Index; has < r.CommitIndex() {
		return fmt.Errorf("council: it has %d of %d records", has, r.CommitIndex())
	}
	for _, o := range old {
		if err := r.RemoveServer(o, 0, stepMost).Error(); err != nil {
			return err
		}
	}
	return stepped(r.AddVoter(id, at, 0, stepMost).Error(), "it votes from now on")
}

// stepped gives err, or that there is a step left.
func stepped(err error, next string) error {
	if err != nil {
		return err
	}
	return errors.New("council: " + next)
}
