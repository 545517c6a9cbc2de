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

// A voter whose disk is empty, or has lost state, runs with an identity that is not in the group. While all voters
// report an empty log, the first of them by name bootstraps the group. Otherwise the leader admits the voter in two
// steps, one for each request of the voter:
//
//  1. It adds the identity as a nonvoter, which receives the log.
//  2. Once that log is complete, it removes the voter's previous identity and makes the new one a voter.

const (
	minReplacementSilence = 2 * time.Second // minimum time without contact before another identity may replace a voter
	admissionStepTimeout  = time.Second     // time limit for the leader's raft library to start a step
)

// joinGroup requests admission of a new identity, or bootstraps the group, until the identity is a voter or ctx ends.
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
			slog.Info("consensus: voter is admitted", "identity", identity)
			return
		}
		if c, ok := v.initialConfiguration(reports, identity); ok && r.LastIndex() == 0 {
			slog.Info("consensus: bootstrapping the group", "voters", len(c.Servers))
			if err := r.BootstrapCluster(c).Error(); err != nil {
				slog.Error("consensus: bootstrapping the group failed", "error", err)
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

// requestAdmission requests admission from the leader that one of the reports names, if any does.
func (v *Voter) requestAdmission(ctx context.Context, reports map[string]*voterReport, body []byte) {
	for _, report := range reports {
		leader, ok := v.peers[voterName(raft.ServerID(report.Leader))]
		if !ok || leader.Name == v.config.Name {
			continue
		}
		answer := v.requestReport(ctx, leader, body)
		if answer != nil && answer.Rejected != "" {
			slog.Info("consensus: voter is not admitted yet", "leader", leader.Name, "why", answer.Rejected)
		}
		return
	}
}

// initialConfiguration returns the first configuration of the group. ok is true only if all other voters have reported
// empty logs and this voter's name is the first of all.
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

// advanceAdmission does the next step of an admission, at the leader. Nil means that the identity is a voter; otherwise
// the error names the step that was done, or the reason why none was.
func (v *Voter) advanceAdmission(name string, identity raft.ServerID) error {
	r, err := v.leadingRaft()
	if err != nil {
		return err
	}
	peer, ok := v.peers[name]
	if !ok || voterName(identity) != name || name == v.config.Name {
		return fmt.Errorf("council: %s is not one of the other voters in the fleet file", identity)
	}
	if !v.admissionMu.TryLock() {
		return errors.New("council: another admission is in progress")
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
		return errorOrNextStep(r.AddNonvoter(identity, address, 0, admissionStepTimeout).Error(), "it receives the log as a nonvoter")
	}
	if received := v.records.get(identity).LastEntry.Index; received < r.CommitIndex() {
		return fmt.Errorf("council: it has received %d of %d log entries", received, r.CommitIndex())
	}
	for _, old := range replaced {
		if err := r.RemoveServer(old, 0, admissionStepTimeout).Error(); err != nil {
			return err
		}
	}
	return errorOrNextStep(r.AddVoter(identity, address, 0, admissionStepTimeout).Error(), "it is a voter from now on")
}

// replacedIdentities returns the other identities of a name in a configuration, which the admitted identity replaces.
// It is an error if one of them was in contact within minReplacementSilence: two processes may be using the same name.
func (v *Voter) replacedIdentities(c raft.Configuration, name string, identity raft.ServerID) ([]raft.ServerID, error) {
	var replaced []raft.ServerID
	for _, server := range c.Servers {
		if voterName(server.ID) != name || server.ID == identity {
			continue
		}
		if time.Since(v.records.get(server.ID).lastContactAt) < minReplacementSilence {
			return nil, fmt.Errorf("council: %s is still in contact; stop one of the two processes that use its name", server.ID)
		}
		replaced = append(replaced, server.ID)
	}
	return replaced, nil
}

// errorOrNextStep returns err, or an error that names the step that was done, as the admission is not complete.
func errorOrNextStep(err error, done string) error {
	if err != nil {
		return err
	}
	return errors.New("council: " + done)
}
