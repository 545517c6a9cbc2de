package testbed

import (
	"context"
	"time"

	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/record"
)

// target is a server's entry in the list of one node.
func (p *play) target(node, server int, state string) discovery.Target {
	m := p.day.Servers[server]
	boot := int64(0)
	if since := p.servers[server].Since(); since > -time.Minute {
		boot = p.zero.Add(since).UnixMilli()
	}
	return discovery.Target{UID: m.UID, Endpoint: p.fleet.Address(server, node), AZ: p.day.Zones[m.Zone].Name, Model: "std-3core",
		PodGroup: m.Cell, State: state, Capacity: 1, BootMS: boot}
}

// change tells all agents of a server's change, each after its lateness.
func (p *play) change(ctx context.Context, server int, state string, notice time.Duration) {
	at := p.clock()
	p.mu.Lock()
	if p.revs == nil {
		p.revs = map[int]int{}
	}
	p.revs[server]++
	rev := p.revs[server]
	p.mu.Unlock()
	for i, n := range p.day.Nodes {
		p.book.Changed(record.Pair{Node: i, Server: server}, at, state)
		p.after(ctx, p.versionAt(at+notice+n.Late)-at, func() {
			p.mu.Lock()
			newest := rev == p.revs[server]
			p.mu.Unlock()
			if newest {
				p.agents[i].Put(server, p.target(i, server, state))
			}
		})
	}
}

// versionAt returns the time of the version of the list that takes in a change of which discovery knows at a time.
func (p *play) versionAt(known time.Duration) time.Duration {
	each := time.Duration(p.day.File.Discovery.EachS * float64(time.Second))
	if each <= 0 {
		return known
	}
	return (known + each - 1).Truncate(each)
}

// notes enter what becomes of a node's list.
func (p *play) notes(node int) discovery.Notes {
	return discovery.Notes{
		Has: func(server int, _ string) { p.book.Has(record.Pair{Node: node, Server: server}, p.clock()) },
		Told: func(server int, state string) {
			p.book.Heard(record.Pair{Node: node, Server: server}, p.clock(), state)
		},
		Answered: func() { p.note(p.book.Answered, node) },
	}
}

// note enters that something has happened to a node's agent now.
func (p *play) note(to map[int][]time.Duration, node int) {
	at := p.clock()
	p.book.With(func() { to[node] = append(to[node], at) })
}
