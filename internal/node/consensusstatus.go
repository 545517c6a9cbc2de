package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sloestile/internal/consensus/learner"
)

// versionStatus is one version, as the console shows it.
type versionStatus struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest"`
	Parent       uint64 `json:"parent"`
	RestoredFrom uint64 `json:"of,omitempty"`
	Author       string `json:"by,omitempty"`
	LastAuthor   string `json:"by_last,omitempty"`
	Status       string `json:"fate"`
	Kind         string `json:"kind,omitempty"`
	ActivateAt   string `json:"at,omitempty"`
	Bytes        int    `json:"bytes"`
}

// leaderStatus is what the leader knows, as the console shows it.
type leaderStatus struct {
	Leader       string           `json:"leader"`
	Term         uint64           `json:"term"`
	Revision     uint64           `json:"step"`
	Newest       uint64           `json:"newest"`
	Active       uint64           `json:"active"`
	Prepared     uint64           `json:"next,omitempty"`
	PreparedKind string           `json:"next_kind,omitempty"`
	Voters       []string         `json:"voters"`
	Versions     []versionStatus  `json:"versions"`
	Nodes        []versionNodes   `json:"nodes"`
	Unusable     int              `json:"refusing"`
	Failures     []versionFailure `json:"troubles,omitempty"`
}

// versionNodes counts the nodes that go by a version.
type versionNodes struct {
	Version uint64 `json:"version"`
	Reason  string `json:"why,omitempty"`
	Nodes   int    `json:"nodes"`
}

// versionFailure is a node that can't use a version.
type versionFailure struct {
	Node   int    `json:"node"`
	Reason string `json:"why"`
}

// nodeStatus is what a node knows of itself, as the console shows it.
type nodeStatus struct {
	Node           string          `json:"node"`
	Version        uint64          `json:"version"`
	LeaseMS        int64           `json:"lease_ms"`
	Reason         string          `json:"why,omitempty"`
	Known          uint64          `json:"known"`
	UnusableReason string          `json:"refusal,omitempty"`
	Voter          *voterStatus    `json:"voter,omitempty"`
	Leader         json.RawMessage `json:"council,omitempty"`
	LeaderError    string          `json:"council_error,omitempty"`
}

// voterStatus is what a voter knows of itself.
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

// leaderStatus returns what this voter knows as the leader.
func (c *consensusMember) leaderStatus() leaderStatus {
	s := c.voter.Status()
	w, newest, all := c.registry.View()
	out := leaderStatus{Leader: c.name, Term: s.Term, Revision: w.Revision, Newest: newest, Active: w.Active.Number, Prepared: w.Prepared.Number, Voters: s.Voters}
	if w.Prepared.Number != 0 {
		out.PreparedKind = w.Kind.String()
	}
	for _, v := range all[max(0, len(all)-maxVersionsShown):] {
		x := versionStatus{Number: v.Number, Digest: v.Digest.String(), Parent: v.Parent, RestoredFrom: v.RestoredFrom, Author: v.Author, LastAuthor: v.LastAuthor, Status: v.Status.String(), Bytes: len(v.Text)}
		if v.Kind != 0 {
			x.Kind = v.Kind.String()
		}
		if v.ActivateAt != 0 {
			x.ActivateAt = time.UnixMilli(int64(v.ActivateAt)).UTC().Format(time.RFC3339)
		}
		out.Versions = append(out.Versions, x)
	}
	fleet := c.learner.FleetStatus()
	out.Unusable = fleet.Unusable
	for _, b := range fleet.Versions {
		x := versionNodes{Version: b.Number, Nodes: b.Nodes}
		if b.Number == 0 {
			x.Reason = b.Reason.String()
		}
		out.Nodes = append(out.Nodes, x)
	}
	for _, t := range fleet.Failures {
		out.Failures = append(out.Failures, versionFailure{t.Node, t.Reason})
	}
	return out
}

// statusJSON returns what this node and the leader know.
func (c *consensusMember) statusJSON(ctx context.Context) []byte {
	a := c.learner.EffectiveVersion()
	out := nodeStatus{Node: c.name, Version: a.Number, Known: c.learner.State().Active.Number}
	if a.Number != 0 {
		out.LeaseMS = (a.Until - learner.Clock()).Milliseconds()
	} else {
		out.Reason = a.Reason.String()
	}
	if err := c.learner.UnusableReason(); err != nil {
		out.UnusableReason = err.Error()
	}
	if c.voter != nil {
		s := c.voter.Status()
		out.Voter = &voterStatus{Phase: s.Phase, Identity: s.Identity, Leader: s.Leader, Term: s.Term, Commit: s.CommitIndex, Applied: s.AppliedIndex, IdentityRenewals: s.IdentityRenewals, LastError: s.LastError}
	}
	if r, err := c.sendToLeader(ctx, order{Op: "status"}); err != nil {
		out.LeaderError = err.Error()
	} else if r.Status == http.StatusOK {
		out.Leader = r.Body
	}
	raw, err := json.MarshalIndent(out, "", " ")
	if err != nil {
		return nil
	}
	return append(raw, '\n')
}
