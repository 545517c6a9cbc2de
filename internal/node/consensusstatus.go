package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sloestile/internal/consensus/learner"
)

// versionStatus is the status of a rule version in the console's response.
type versionStatus struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest"`
	Parent       uint64 `json:"parent"`
	RestoredFrom uint64 `json:"of,omitempty"` // version whose text a rollback restored; 0 if published with a text
	Author       string `json:"by,omitempty"`
	LastAuthor   string `json:"by_last,omitempty"`
	Status       string `json:"fate"`
	Kind         string `json:"kind,omitempty"`
	ActivateAt   string `json:"at,omitempty"`
	Bytes        int    `json:"bytes"`
}

// leaderStatus is the leader's status in the console's response.
type leaderStatus struct {
	Leader       string           `json:"leader"`
	Term         uint64           `json:"term"`
	Revision     uint64           `json:"step"` // revision of the registry's version state
	Newest       uint64           `json:"newest"`
	Active       uint64           `json:"active"`
	Prepared     uint64           `json:"next,omitempty"` // version that is activated next; 0 if none is prepared
	PreparedKind string           `json:"next_kind,omitempty"`
	Voters       []string         `json:"voters"`
	Versions     []versionStatus  `json:"versions"`
	Nodes        []versionNodes   `json:"nodes"`
	Unusable     int              `json:"refusing"` // number of nodes that can't use a version
	Failures     []versionFailure `json:"troubles,omitempty"`
}

// versionNodes is the number of nodes that apply a version. Version 0 stands for nodes without a version, and Reason is
// set only then.
type versionNodes struct {
	Version uint64 `json:"version"`
	Reason  string `json:"why,omitempty"`
	Nodes   int    `json:"nodes"`
}

// versionFailure is a node that can't use a version, and the reason.
type versionFailure struct {
	Node   int    `json:"node"`
	Reason string `json:"why"`
}

// nodeStatus is the status of a node in the console's response.
type nodeStatus struct {
	Node           string          `json:"node"`
	Version        uint64          `json:"version"`
	LeaseMS        int64           `json:"lease_ms"`
	Reason         string          `json:"why,omitempty"`     // why Version is 0; empty otherwise
	Known          uint64          `json:"known"`             // active version, as far as this node knows
	UnusableReason string          `json:"refusal,omitempty"` // why this node can't use the active or prepared version
	Voter          *voterStatus    `json:"voter,omitempty"`
	Leader         json.RawMessage `json:"council,omitempty"` // leaderStatus; empty if the leader was not reached
	LeaderError    string          `json:"council_error,omitempty"`
}

// voterStatus is the status of a voter in the console's response.
type voterStatus struct {
	Phase            string `json:"phase"`
	Identity         string `json:"identity"`
	Leader           string `json:"leader"`
	Term             uint64 `json:"term"`
	Commit           uint64 `json:"commit"`
	Applied          uint64 `json:"applied"`
	IdentityRenewals int    `json:"renewed"`
	LastError        string `json:"why,omitempty"`
}

// leaderStatus returns the status of this voter as the leader.
func (c *consensusMember) leaderStatus() leaderStatus {
	voter := c.voter.Status()
	state, newest, versions := c.registry.View()
	status := leaderStatus{Leader: c.name, Term: voter.Term, Revision: state.Revision, Newest: newest, Active: state.Active.Number, Prepared: state.Prepared.Number, Voters: voter.Voters}
	if state.Prepared.Number != 0 {
		status.PreparedKind = state.Kind.String()
	}
	for _, v := range versions[max(0, len(versions)-maxVersionsShown):] {
		shown := versionStatus{Number: v.Number, Digest: v.Digest.String(), Parent: v.Parent, RestoredFrom: v.RestoredFrom, Author: v.Author, LastAuthor: v.LastAuthor, Status: v.Status.String(), Bytes: len(v.Text)}
		if v.Kind != 0 {
			shown.Kind = v.Kind.String()
		}
		if v.ActivateAt != 0 {
			shown.ActivateAt = time.UnixMilli(int64(v.ActivateAt)).UTC().Format(time.RFC3339)
		}
		status.Versions = append(status.Versions, shown)
	}
	fleet := c.learner.FleetStatus()
	status.Unusable = fleet.Unusable
	for _, count := range fleet.Versions {
		nodes := versionNodes{Version: count.Number, Nodes: count.Nodes}
		if count.Number == 0 {
			nodes.Reason = count.Reason.String()
		}
		status.Nodes = append(status.Nodes, nodes)
	}
	for _, failure := range fleet.Failures {
		status.Failures = append(status.Failures, versionFailure{failure.Node, failure.Reason})
	}
	return status
}

// statusJSON returns the status of this node and of the leader as JSON, or nil if it can't be encoded.
func (c *consensusMember) statusJSON(ctx context.Context) []byte {
	effective := c.learner.EffectiveVersion()
	status := nodeStatus{Node: c.name, Version: effective.Number, Known: c.learner.State().Active.Number}
	if effective.Number != 0 {
		status.LeaseMS = (effective.Until - learner.Clock()).Milliseconds()
	} else {
		status.Reason = effective.Reason.String()
	}
	if err := c.learner.UnusableReason(); err != nil {
		status.UnusableReason = err.Error()
	}
	if c.voter != nil {
		voter := c.voter.Status()
		status.Voter = &voterStatus{Phase: voter.Phase, Identity: voter.Identity, Leader: voter.Leader, Term: voter.Term, Commit: voter.CommitIndex, Applied: voter.AppliedIndex, IdentityRenewals: voter.IdentityRenewals, LastError: voter.LastError}
	}
	if leaderReply, err := c.sendToLeader(ctx, order{Op: "status"}); err != nil {
		status.LeaderError = err.Error()
	} else if leaderReply.Status == http.StatusOK {
		status.Leader = leaderReply.Body
	}
	raw, err := json.MarshalIndent(status, "", " ")
	if err != nil {
		return nil
	}
	return append(raw, '\n')
}
