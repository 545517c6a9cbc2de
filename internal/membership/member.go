package membership

import (
	"maps"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// Member is a node as others see it.
type Member struct {
	Name, Address string
	Index         int // in the group
	Zone, Region  string
	Program       string
	MetaVersion   int    // of the state that it sends
	TakesKinds    bool   // it takes messages by kind
	Incarnation   uint64 // of its process: ms of Unix time at its start
}

// meta is what a member publishes of itself, at most 512 bytes, as CBOR by the numbers in its tags. Unknown fields are
// skipped.
type meta struct {
	Zone        string `cbor:"1,keyasint,omitempty"`
	Region      string `cbor:"2,keyasint,omitempty"`
	Program     string `cbor:"3,keyasint,omitempty"`
	Version     int    `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Leaving     bool   `cbor:"6,keyasint,omitempty"`
	Index       int    `cbor:"7,keyasint"`
	TakesKinds  bool   `cbor:"8,keyasint,omitempty"`
}

// readMeta reads what a node publishes of itself. Metadata that can't be read is counted and left empty.
func (p *Peers) readMeta(n *memberlist.Node) (m Member, leaving bool) {
	m = Member{Name: n.Name, Address: n.Address()}
	var published meta
	if err := cbor.Unmarshal(n.Meta, &published); err != nil {
		p.Counts.Corrupt.Add(1)
		p.log.Warn("peers: metadata of a member is corrupt", "peer", n.Name, "error", err)
		return m, false
	}
	m.Zone, m.Region, m.Program, m.MetaVersion, m.Incarnation = published.Zone, published.Region, published.Program, published.Version, published.Incarnation
	m.Index, m.TakesKinds = published.Index, published.TakesKinds
	return m, published.Leaving
}

// The library calls the methods that follow. None of them blocks.

// NodeMeta returns what this node publishes of itself, or nothing where that is too long.
func (p *Peers) NodeMeta(maxBytes int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := cbor.Marshal(p.meta)
	if err != nil || len(raw) > maxBytes {
		return nil
	}
	return raw
}

// NotifyMsg takes a message of another member and does not keep raw.
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

// GetBroadcasts adds nothing to gossip.
func (p *Peers) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState adds nothing to an exchange of member lists.
func (p *Peers) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing from such an exchange.
func (p *Peers) MergeRemoteState([]byte, bool) {}

// NotifyAlive rejects members beyond maxMembers.
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

// NotifyJoin adds a member. One that comes back under its old name replaces its dead predecessor.
func (p *Peers) NotifyJoin(n *memberlist.Node) { p.putMember(n, "peers: joined", &p.Counts.Joins) }

// NotifyUpdate takes changed metadata of a member.
func (p *Peers) NotifyUpdate(n *memberlist.Node) { p.putMember(n, "peers: changed", nil) }

// put adds or replaces a member, or removes one that is leaving.
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
	if to := *n; m.MetaVersion >= MetaVersion || m.TakesKinds {
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

// NotifyLeave removes a member that is dead. One that announced its leave has been removed before.
func (p *Peers) NotifyLeave(n *memberlist.Node) {
	p.mu.Lock()
	maps.DeleteFunc(p.reachable, func(_ int, o *memberlist.Node) bool { return o.Name == n.Name })
	p.mu.Unlock()
	p.removeMember(n.Name, "dead", &p.Counts.Deaths)
}

// notifyChange calls OnChange.
func (p *Peers) notifyChange() {
	if p.cfg.OnChange != nil {
		p.cfg.OnChange()
	}
}

// remove removes a live member.
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
		p.log.Info("peers: gone", "peer", name, "how", reason)
	}
}

// NotifyConflict takes a name that two nodes use; the first stays.
func (p *Peers) NotifyConflict(existing, other *memberlist.Node) {
	p.Counts.Conflicts.Add(1)
	p.log.Error("peers: name conflict", "peer", existing.Name, "first", existing.Address(), "other", other.Address())
}
