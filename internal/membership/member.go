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
	State         int    // version of what it tells
	Kinds         bool   // it takes messages by kind
	Incarnation   uint64 // of its process: ms of Unix time at its start
}

// meta is what a member says of itself, at most 512 bytes. Fields that are not known are skipped.
type meta struct {
	Zone        string `cbor:"1,keyasint,omitempty"`
	Region      string `cbor:"2,keyasint,omitempty"`
	Program     string `cbor:"3,keyasint,omitempty"`
	State       int    `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Leaving     bool   `cbor:"6,keyasint,omitempty"`
	Index       int    `cbor:"7,keyasint"`
	Kinds       bool   `cbor:"8,keyasint,omitempty"`
}

// member reads what a node says of itself; what can't be read is counted and left empty.
func (p *Peers) member(n *memberlist.Node) (m Member, leaving bool) {
	m = Member{Name: n.Name, Address: n.Address()}
	var said meta
	if err := cbor.Unmarshal(n.Meta, &said); err != nil {
		p.Counts.Spoilt.Add(1)
		p.log.Warn("peers: metadata of a member is corrupt", "peer", n.Name, "error", err)
		return m, false
	}
	m.Zone, m.Region, m.Program, m.State, m.Incarnation = said.Zone, said.Region, said.Program, said.State, said.Incarnation
	m.Index, m.Kinds = said.Index, said.Kinds
	return m, said.Leaving
}

// The library calls what follows; none of it waits.

// NodeMeta is what this node says of itself; nothing where that is too long.
func (p *Peers) NodeMeta(most int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := cbor.Marshal(p.said)
	if err != nil || len(raw) > most {
		return nil
	}
	return raw
}

// NotifyMsg takes a message of another member; the bytes are the library's after it.
func (p *Peers) NotifyMsg(raw []byte) {
	switch {
	case len(raw) > 0 && raw[0] < KindsEnd:
		if p.cfg.Kinds != nil {
			p.cfg.Kinds(raw)
		}
	case p.cfg.Receive != nil:
		p.cfg.Receive(raw)
	}
}

// GetBroadcasts has nothing to add to gossip.
func (p *Peers) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState has nothing to add to an exchange of states.
func (p *Peers) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing from it.
func (p *Peers) MergeRemoteState([]byte, bool) {}

// NotifyAlive refuses members beyond what is remembered.
func (p *Peers) NotifyAlive(n *memberlist.Node) error {
	p.mu.Lock()
	_, known := p.live[n.Name]
	full := len(p.live) >= membersMost
	p.mu.Unlock()
	if full && !known && n.Name != p.cfg.Name {
		p.Counts.Refused.Add(1)
		return &FullError{n.Name, n.Address(), membersMost}
	}
	return nil
}

// NotifyJoin takes a member in. One that comes back under its old name supersedes its dead self.
func (p *Peers) NotifyJoin(n *memberlist.Node) { p.put(n, "peers: joined", &p.Counts.Joins) }

// NotifyUpdate takes what a member says anew.
func (p *Peers) NotifyUpdate(n *memberlist.Node) { p.put(n, "peers: changed", nil) }

func (p *Peers) put(n *memberlist.Node, what string, count *atomic.Int64) {
	if n.Name == p.cfg.Name {
		return
	}
	m, leaving := p.member(n)
	if leaving {
		p.remove(n.Name, "left", &p.Counts.Leaves)
		return
	}
	p.mu.Lock()
	p.live[n.Name] = m
	if to := *n; m.State >= StateVersion || m.Kinds {
		p.nodes[m.Index] = &to
	}
	p.epoch++
	p.Counts.Live.Store(int64(len(p.live)))
	p.mu.Unlock()
	p.changed()
	if count != nil {
		count.Add(1)
	}
	p.log.Info(what, "peer", m.Name, "zone", m.Zone, "program", m.Program, "incarnation", m.Incarnation)
}

// NotifyLeave takes a member out that is dead; one that has left is out already.
func (p *Peers) NotifyLeave(n *memberlist.Node) {
	p.mu.Lock()
	maps.DeleteFunc(p.nodes, func(_ int, o *memberlist.Node) bool { return o.Name == n.Name })
	p.mu.Unlock()
	p.remove(n.Name, "dead", &p.Counts.Deaths)
}

func (p *Peers) changed() {
	if p.cfg.Changed != nil {
		p.cfg.Changed()
	}
}

func (p *Peers) remove(name, how string, count *atomic.Int64) {
	p.mu.Lock()
	_, known := p.live[name]
	if known {
		delete(p.live, name)
		p.epoch++
		p.Counts.Live.Store(int64(len(p.live)))
	}
	p.mu.Unlock()
	if known {
		p.changed()
		count.Add(1)
		p.log.Info("peers: gone", "peer", name, "how", how)
	}
}

// NotifyConflict is told of a name that two nodes use; the first stays.
func (p *Peers) NotifyConflict(existing, other *memberlist.Node) {
	p.Counts.Conflicts.Add(1)
	p.log.Error("peers: name conflict", "peer", existing.Name, "first", existing.Address(), "other", other.Address())
}
