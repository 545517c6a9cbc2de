package testbed

import (
	"context"
	"time"

	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// impose puts a trouble on paths, until what it gives is called.
func (p *play) impose(paths []*faultlink.Path, t faultlink.Trouble) (over func()) {
	var ends []func()
	for _, path := range paths {
		ends = append(ends, path.Begin(t))
		if pair, ok := pairOf(path); ok {
			cut := p.book.Cut(pair, p.clock())
			ends = append(ends, func() { cut(p.clock() + t.Delay) })
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// pairOf gives whom a path joins, where the judge has to know that what crossed it came late, or not.
func pairOf(path *faultlink.Path) (record.Pair, bool) {
	if path.From == partyFront {
		return record.Pair{Node: path.To, Server: record.Front}, true
	}
	return record.Pair{Node: path.From, Server: path.To - partyServers}, path.To >= partyServers
}

// around changes what lies between a zone and the others for a while.
func (p *play) around(ctx context.Context, e scenario.Event) {
	zone, t := e.Targets[0], faultlink.Trouble{}
	switch e.Kind {
	case "split":
		t.Drop = true
	case "oneway":
		t.Drop, t.Down = true, true
	case "delay":
		t.Delay = ms(e.Size)
	case "loss":
		t.Loss = e.Size
	}
	var paths []*faultlink.Path
	for s, all := range p.paths {
		for n, path := range all {
			if (p.day.Nodes[n].Zone == zone) != (p.day.Servers[s].Zone == zone) {
				paths = append(paths, path)
			}
		}
	}
	for i, all := range p.between {
		for j, path := range all {
			if path != nil && (p.nodes[i].Zone == zone) != (p.nodes[j].Zone == zone) {
				paths = append(paths, path)
			}
		}
	}
	over := p.impose(paths, t)
	p.wait(ctx, e.For)
	over()
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// links lets drawn links fail for a while.
func (p *play) links(ctx context.Context, e scenario.Event) {
	t := faultlink.Trouble{}
	switch e.Kind {
	case "drop":
		t.Drop, t.Reset, t.Part = !e.Reset, e.Reset, e.Size
	case "stall":
		t.Stall = true
	case "trickle":
		t.TricklePS = e.Size
	case "lag":
		t.Delay = ms(e.Size)
	}
	var overs []func()
	for _, l := range e.Links {
		t.Up, t.Down = l.Out, l.In
		out, in := p.pathsOf(l)
		if out != nil {
			overs = append(overs, p.impose([]*faultlink.Path{out}, t))
		}
		if in != nil {
			t.Up, t.Down = l.In, l.Out
			overs = append(overs, p.impose([]*faultlink.Path{in}, t))
		}
	}
	p.wait(ctx, e.For)
	for _, over := range overs {
		over()
	}
}

// pathsOf gives the path of a link on which the node dials, and the one on which the other does;
// nil is none.
func (p *play) pathsOf(l scenario.Link) (out, in *faultlink.Path) {
	switch l.Kind {
	case "peers":
		if p.between != nil {
			return p.between[l.Node][l.Other], p.between[l.Other][l.Node]
		}
	case "servers":
		return p.paths[l.Other][l.Node], nil
	case "agents":
		return p.tells[l.Node], nil
	case "clients":
		return nil, p.fronts[l.Node].Path
	}
	return nil, nil
}
