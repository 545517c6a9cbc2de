package membership

import (
	"maps"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// Member is a node as another member sees it.
type Member struct {
	Name, Address string
	Index         int // index of the node in the fleet
	Zone, Region  string
	Program       string // version of the program
	MetaVersion   int    // version of the state messages that it supports; see MetaVersion
	SupportsKinds bool   // whether it accepts messages whose first byte is their kind, below KindLimit
	Incarnation   uint64 // incarnation of its process: its start in ms of Unix time
}

// meta is the metadata that a member publishes, encoded as CBOR with the integer keys in the tags, in at most 512
// bytes. Unknown fields are skipped.
type meta struct {
	Zone          string `cbor:"1,keyasint,omitempty"`
	Region        string `cbor:"2,keyasint,omitempty"`
	Program       string `cbor:"3,keyasint,omitempty"`
	Version       int    `cbor:"4,keyasint"`
	Incarnation   uint64 `cbor:"5,keyasint"`
	Leaving       bool   `cbor:"6,keyasint,omitempty"`
	Index         int    `cbor:"7,keyasint"`
	SupportsKinds bool   `cbor:"8,keyasint,omitempty"`
}

// readMeta decodes the metadata of a node. Corrupt metadata is counted, and leaves the metadata of the member empty.
func (p *Peers) readMeta(n *memberlist.Node) (m Member, leaving bool) {
	m = Member{Name: n.Name, Address: n.Address()}
	var published meta
	if err := cbor.Unmarshal(n.Meta, &published); err != nil {
		p.Counts.Corrupt.Add(1)
		p.log.Warn("peers: metadata of a member is corrupt", "peer", n.Name, "error", err)
		return m, false
	}
	m.Zone, m.Region, m.Program, m.MetaVersion, m.Incarnation = published.Zone, published.Region, published.Program, published.Version, published.Incarnation
	m.Index, m.SupportsKinds = published.Index, published.SupportsKinds
	return m, published.Leaving
}

// Package memberlist calls the exported methods below. None of them blocks.

// NodeMeta returns the encoded metadata of this node, or nil if it exceeds maxBytes.
func (p *Peers) NodeMeta(maxBytes int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := cbor.Marshal(p.meta)
	if err != nil || len(raw) > maxBytes {
		return nil
	}
	return raw
}

// NotifyMsg passes a message of another member to OnMessage or OnState. It does not keep raw.
func (p *Peers) NotifyMsg(raw []byte) {
	switch {
	case len(raw) > 0 && raw[0] < KindLimit:
		if p.cfg.OnMessage != nil {
			p.cfg.OnMessage(raw)
		}
	case p.cfg.OnState != nil:
		p.cfg.OnState(raw)
	}
}

// GetBroadcasts returns nil: nothing is added to gossip.
func (p *Peers) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nil: nothing is added to an exchange of member lists.
func (p *Peers) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state that other members add to an exchange of member lists.
func (p *Peers) MergeRemoteState([]byte, bool) {}

// NotifyAlive rejects a new member with a *TooManyMembersError when maxMembers are live.
func (p *Peers) NotifyAlive(n *memberlist.Node) error {
	p.mu.Lock()
	_, known := p.live[n.Name]
	full := len(p.live) >= maxMembers
	p.mu.Unlock()
	if full && !known && n.Name != p.cfg.Name {
		p.Counts.Rejected.Add(1)
		return &TooManyMembersError{n.Name, n.Address(), maxMembers}
	}
	return nil
}

// NotifyJoin adds a member. A node that rejoins under its old name replaces its dead predecessor.
func (p *Peers) NotifyJoin(n *memberlist.Node) {
	p.putMember(n, "peers: member joined", &p.Counts.Joins)
}

// NotifyUpdate applies changed metadata of a member.
func (p *Peers) NotifyUpdate(n *memberlist.Node) { p.putMember(n, "peers: member changed", nil) }

// putMember adds or replaces a member, or removes one that is leaving. It logs message and increments count; a nil
// count is skipped.
func (p *Peers) putMember(n *memberlist.Node, message string, count *atomic.Int64) {
	if n.Name == p.cfg.Name {
		return
	}
	m, leaving := p.readMeta(n)
	if leaving {
		p.removeMember(n.Name, "left", &p.Counts.Leaves)
		return
	}
	p.mu.Lock()
	p.live[n.Name] = m
	if to := *n; m.MetaVersion >= MetaVersion || m.SupportsKinds {
		p.reachable[m.Index] = &to
	}
	p.epoch++
	p.Counts.Live.Store(int64(len(p.live)))
	p.mu.Unlock()
	p.notifyChange()
	if count != nil {
		count.Add(1)
	}
	p.log.Info(message, "peer", m.Name, "zone", m.Zone, "program", m.Program, "incarnation", m.Incarnation)
}

// NotifyLeave removes a dead member. A member that announced its leave is no longer live by then, so its end does not
// count as a death.
func (p *Peers) NotifyLeave(n *memberlist.Node) {
	p.mu.Lock()
	maps.DeleteFunc(p.reachable, func(_ int, o *memberlist.Node) bool { return o.Name == n.Name })
	p.mu.Unlock()
	p.removeMember(n.Name, "dead", &p.Counts.Deaths)
}

// notifyChange calls OnChange unless it is nil.
func (p *Peers) notifyChange() {
	if p.cfg.OnChange != nil {
		p.cfg.OnChange()
	}
}

// removeMember removes a member if it is live, and then logs reason and increments count.
func (p *Peers) removeMember(name, reason string, count *atomic.Int64) {
	p.mu.Lock()
	_, known := p.live[name]
	if known {
		delete(p.live, name)
		p.epoch++
		p.Counts.Live.Store(int64(len(p.live)))
	}
	p.mu.Unlock()
	if known {
		p.notifyChange()
		count.Add(1)
		p.log.Info("peers: member removed", "peer", name, "how", reason)
	}
}

// NotifyConflict counts and logs a name that two nodes use. The first node keeps it.
func (p *Peers) NotifyConflict(existing, other *memberlist.Node) {
	p.Counts.Conflicts.Add(1)
	p.log.Error("peers: name conflict", "peer", existing.Name, "first", existing.Address(), "other", other.Address())
}
