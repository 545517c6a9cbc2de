package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sloestile/internal/consensus/learner"
)

// versionShown is one version in a status.
type versionShown struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Parent uint64 `json:"parent"`
	Of     uint64 `json:"of,omitempty"`
	By     string `json:"by,omitempty"`
	ByLast string `json:"by_last,omitempty"`
	Fate   string `json:"fate"`
	Kind   string `json:"kind,omitempty"`
	At     string `json:"at,omitempty"`
	Bytes  int    `json:"bytes"`
}

// agreedShown is what the leader knows.
type agreedShown struct {
	Leader   string         `json:"leader"`
	Term     uint64         `json:"term"`
	Step     uint64         `json:"step"`
	Newest   uint64         `json:"newest"`
	Active   uint64         `json:"active"`
	Next     uint64         `json:"next,omitempty"`
	NextKind string         `json:"next_kind,omitempty"`
	Voters   []string       `json:"voters"`
	Versions []versionShown `json:"versions"`
	Nodes    []nodesShown   `json:"nodes"`
	Refusing int            `json:"refusing"`
	Troubles []troubleShown `json:"troubles,omitempty"`
}

type nodesShown struct {
	Version uint64 `json:"version"`
	Why     string `json:"why,omitempty"`
	Nodes   int    `json:"nodes"`
}

type troubleShown struct {
	Node int    `json:"node"`
	Why  string `json:"why"`
}

// hereShown is what this node knows of itself.
type hereShown struct {
	Node     string          `json:"node"`
	Version  uint64          `json:"version"`
	LeaseMS  int64           `json:"lease_ms"`
	Why      string          `json:"why,omitempty"`
	Known    uint64          `json:"known"`
	Refusal  string          `json:"refusal,omitempty"`
	Voter    *voterShown     `json:"voter,omitempty"`
	Council  json.RawMessage `json:"council,omitempty"`
	NoLeader string          `json:"council_error,omitempty"`
}

type voterShown struct {
	Phase    string `json:"phase"`
	Identity string `json:"identity"`
	Leader   string `json:"leader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	Renewed  int    `json:"renewed"`
	Why      string `json:"why,omitempty"`
}

// agreed is what the leader knows. It is called where this voter leads.
func (c *council) agreed() agreedShown {
	s := c.voter.Status()
	w, newest, all := c.registry.View()
	out := agreedShown{Leader: c.name, Term: s.Term, Step: w.Revision, Newest: newest, Active: w.Active.Number, Next: w.Prepared.Number, Voters: s.Voters}
	if w.Prepared.Number != 0 {
		out.NextKind = w.Kind.String()
	}
	for _, v := range all[max(0, len(all)-versionsShown):] {
		x := versionShown{Number: v.Number, Digest: v.Digest.String(), Parent: v.Parent, Of: v.RestoredFrom, By: v.Author, ByLast: v.LastAuthor, Fate: v.Status.String(), Bytes: len(v.Text)}
		if v.Kind != 0 {
			x.Kind = v.Kind.String()
		}
		if v.ActivateAt != 0 {
			x.At = time.UnixMilli(int64(v.ActivateAt)).UTC().Format(time.RFC3339)
		}
		out.Versions = append(out.Versions, x)
	}
	fleet := c.learner.FleetStatus()
	out.Refusing = fleet.Unusable
	for _, b := range fleet.Versions {
		x := nodesShown{Version: b.Number, Nodes: b.Nodes}
		if b.Number == 0 {
			x.Why = b.Reason.String()
		}
		out.Nodes = append(out.Nodes, x)
	}
	for _, t := range fleet.Failures {
		out.Troubles = append(out.Troubles, troubleShown{t.Node, t.Text})
	}
	return out
}

// status is what this node and the leader know.
func (c *council) status(ctx context.Context) []byte {
	a := c.learner.Acting()
	out := hereShown{Node: c.name, Version: a.Number, Known: c.learner.State().Active.Number}
	if a.Number != 0 {
		out.LeaseMS = (a.Until - learner.Clock()).Milliseconds()
	} else {
		out.Why = a.Why.String()
	}
	if err := c.learner.Unusable(); err != nil {
		out.Refusal = err.Error()
	}
	if c.voter != nil {
		s := c.voter.Status()
		out.Voter = &voterShown{Phase: s.Phase, Identity: s.Identity, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Applied: s.Applied, Renewed: s.IdentityRenewals, Why: s.LastError}
	}
	if r, err := c.office(ctx, order{Op: "status"}); err != nil {
		out.NoLeader = err.Error()
	} else if r.Status == http.StatusOK {
		out.Council = r.Body
	}
	raw, err := json.MarshalIndent(out, "", " ")
	if err != nil {
		return nil
	}
	return append(raw, '\n')
}
