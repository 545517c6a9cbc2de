package consensus

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/transport"
)

// A voter with nothing on its disk makes an identity that nobody knows. Where all voters report the same, the first by name
// founds the group. Else the leader admits it: it receives the log without a vote, then the identity that had its name is
// removed, and it votes.

const (
	minReplacementSilence = 2 * time.Second // after contact, in which nobody takes a voter's place
	admissionStepTimeout  = time.Second     // for the leader to begin a step
)

// joinGroup has a voter without a log taken in, or the group founded.
func (v *Voter) joinGroup(ctx context.Context, r *raft.Raft, identity raft.ServerID) {
	body, err := cbor.Marshal(reportRequest{Admit: true, Name: v.config.Name, Identity: string(identity)})
	if err != nil {
		return
	}
	for {
		reports := v.collectReports(ctx, identity)
		if isVoter(r.GetConfiguration().Configuration(), identity) {
			v.mu.Lock()
			v.phase = PhaseVoting
			v.mu.Unlock()
			slog.Info("consensus: voter votes", "identity", identity)
			return
		}
		if c, ok := v.initialConfiguration(reports, identity); ok && r.LastIndex() == 0 {
			slog.Info("consensus: group founded", "voters", len(c.Servers))
			if err := r.BootstrapCluster(c).Error(); err != nil {
				slog.Error("consensus: founding the group failed", "error", err)
			}
			continue
		}
		v.requestAdmission(ctx, reports, body)
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return
		}
	}
}

// requestAdmission requests admission of a leader that one of the others knows.
func (v *Voter) requestAdmission(ctx context.Context, reports map[string]*voterReport, body []byte) {
	for _, report := range reports {
		leader, ok := v.peers[voterName(raft.ServerID(report.Leader))]
		if !ok || leader.Name == v.config.Name {
			continue
		}
		answer := v.requestReport(ctx, leader, body)
		if answer != nil && answer.Rejected != "" {
			slog.Info("consensus: voter not admitted yet", "leader", leader.Name, "why", answer.Rejected)
		}
		return
	}
}

// initialConfiguration returns the group's first voters where all have reported and have agreed to nothing, and this one is the
// first of them.
func (v *Voter) initialConfiguration(reports map[string]*voterReport, identity raft.ServerID) (c raft.Configuration, ok bool) {
	if len(reports) != len(v.peers)-1 {
		return c, false
	}
	for _, peer := range v.config.Voters {
		id := identity
		if peer.Name != v.config.Name {
			report := reports[peer.Name]
			if !report.Empty || strings.Compare(peer.Name, v.config.Name) < 0 {
				return c, false
			}
			id = raft.ServerID(report.Identity)
		}
		address := transport.Address(string(id), peer.Address)
		c.Servers = append(c.Servers, raft.Server{Suffrage: raft.Voter, ID: id, Address: address})
	}
	return c, true
}

// advanceAdmission does the next step of taking a voter in; nil is that none is left.
func (v *Voter) advanceAdmission(name string, identity raft.ServerID) error {
	r, err := v.leadingRaft()
	if err != nil {
		return err
	}
	peer, ok := v.peers[name]
	if !ok || voterName(identity) != name || name == v.config.Name {
		return fmt.Errorf("council: %s is none of the fleet file's other voters", identity)
	}
	if !v.admissionMu.TryLock() {
		return errors.New("council: another voter is being taken in")
	}
	defer v.admissionMu.Unlock()
	configuration := r.GetConfiguration().Configuration()
	if isVoter(configuration, identity) {
		return nil
	}
	replaced, err := v.replacedIdentities(configuration, name, identity)
	if err != nil {
		return err
	}
	address := transport.Address(string(identity), peer.Address)
	if !isListed(configuration.Servers, identity) {
		slog.Info("consensus: admitting a voter", "identity", identity)
		return errorOrNextStep(r.AddNonvoter(identity, address, 0, admissionStepTimeout).Error(), "it hears the log")
	}
	if has := v.records.get(identity).LastEntry.Index; has < r.CommitIndex() {
		return fmt.Errorf("council: it has %d of %d records", has, r.CommitIndex())
	}
	for _, old := range replaced {
		if err := r.RemoveServer(old, 0, admissionStepTimeout).Error(); err != nil {
			return err
		}
	}
	return errorOrNextStep(r.AddVoter(identity, address, 0, admissionStepTimeout).Error(), "it votes from now on")
}

// replacedIdentities returns the other identities of a name. It is an error if one of them was in contact lately.
func (v *Voter) replacedIdentities(c raft.Configuration, name string, identity raft.ServerID) ([]raft.ServerID, error) {
	var replaced []raft.ServerID
	for _, server := range c.Servers {
		if voterName(server.ID) != name || server.ID == identity {
			continue
		}
		if time.Since(v.records.get(server.ID).lastContactAt) < minReplacementSilence {
			return nil, fmt.Errorf("council: %s is there; end one of the two processes that use its name", server.ID)
		}
		replaced = append(replaced, server.ID)
	}
	return replaced, nil
}

// errorOrNextStep returns err, or that there is a step left.
func errorOrNextStep(err error, next string) error {
	if err != nil {
		return err
	}
	return errors.New("council: " + next)
}
