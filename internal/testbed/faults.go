package testbed

import (
	"context"
	"syscall"
	"time"

	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/scenario"
)

const (
	killAfter = 700 * time.Millisecond // after the longest deadline, from SIGTERM to SIGKILL
	killLeast = 3 * time.Second
)

// happen plays one event of the timetable to its end.
func (p *play) happen(ctx context.Context, e scenario.Event) {
	p.opt.Progress(e.Kind)
	switch e.Kind {
	case "kill":
		p.kill(ctx, e)
	case "restart":
		p.restart(ctx, e)
	case "stop":
		p.signal(e, syscall.SIGSTOP)
		p.wait(ctx, e.For)
		p.signal(e, syscall.SIGCONT)
	case "throttle":
		p.throttle(ctx, e)
	case "slow", "errors", "pause", "shared":
		p.trouble(ctx, e)
	case "crash":
		p.crashServers(ctx, e)
	case "zone":
		p.loseZone(ctx, e)
	case "split", "oneway", "delay", "loss":
		p.around(ctx, e)
	case "drop", "stall", "trickle", "lag":
		p.links(ctx, e)
	case "disk":
		p.disk(ctx, e)
	case "power":
		p.power(ctx, e)
	case "reset":
		for _, s := range e.Targets {
			for _, path := range p.paths[s] {
				path.Reset()
			}
		}
	case "dark":
		p.agentsFor(ctx, e.For, (*discovery.Agent).Dark)
	case "full":
		p.agentsFor(ctx, e.For, (*discovery.Agent).Full)
	case "silent":
		for i, a := range p.agents {
			p.note(p.book.Silent, i)
			a.Silence()
		}
	case "spoilt":
		p.agentsFor(ctx, e.For, (*discovery.Agent).Spoil)
	case "move":
		p.move()
	case "counter":
		if p.counter != nil {
			p.counter.Away(ctx, p.counts, e.For)
		}
	}
}

// agentsFor switches something on at all agents for a while.
func (p *play) agentsFor(ctx context.Context, span time.Duration, set func(*discovery.Agent, bool)) {
	for _, a := range p.agents {
		set(a, true)
	}
	p.wait(ctx, span)
	for _, a := range p.agents {
		set(a, false)
	}
}

// wait lets a while pass, unless the play ends.
func (p *play) wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *play) signal(e scenario.Event, s syscall.Signal) {
	for _, i := range e.Targets {
		p.mu.Lock()
		x := p.nodes[i].process
		p.mu.Unlock()
		x.Signal(s)
	}
}

// kill ends nodes outright, all at once, and starts them anew after a while.
func (p *play) kill(ctx context.Context, e scenario.Event) {
	p.end9(e.Targets)
	p.startAfter(ctx, e)
}

// end9 ends nodes outright and waits for their ends.
func (p *play) end9(nodes []int) {
	for _, i := range nodes {
		p.gone(p.nodes[i], true).Signal(syscall.SIGKILL)
	}
	for _, i := range nodes {
		<-p.nodes[i].process.Done()
	}
}

// startAfter starts nodes anew after a while, if one is given.
func (p *play) startAfter(ctx context.Context, e scenario.Event) {
	if e.For > 0 && p.wait(ctx, e.For) {
		for _, i := range e.Targets {
			p.again(ctx, p.nodes[i])
		}
	}
}

// restart ends nodes in the platform's way and starts them anew.
func (p *play) restart(ctx context.Context, e scenario.Event) {
	longest := killLeast
	for _, c := range p.day.Classes {
		longest = max(longest, time.Duration(c.DeadlineMS*float64(time.Millisecond)))
	}
	for _, i := range e.Targets {
		x := p.gone(p.nodes[i], false)
		x.Signal(syscall.SIGTERM)
		select {
		case <-x.Done():
		case <-time.After(longest + killAfter):
			x.Kill()
		case <-ctx.Done():
			return
		}
		p.again(ctx, p.nodes[i])
	}
}

func (p *play) again(ctx context.Context, n *node) {
	if err := p.start(ctx, n); err != nil && ctx.Err() == nil {
		p.crash("%s: starting again: %v", n.Name, err)
	}
}

// trouble makes servers slow, failing or still for a while.
func (p *play) trouble(ctx context.Context, e scenario.Event) {
	targets := e.Targets
	if e.Kind == "shared" {
		for i := range p.servers {
			targets = append(targets, i)
		}
	}
	set := func(on bool) {
		for _, s := range targets {
			p.servers[s].Change(func(slow, errors *float64, paused *bool) {
				switch e.Kind {
				case "slow", "shared":
					*slow = 1
					if on {
						*slow = e.Size
					}
				case "errors":
					*errors = 0
					if on {
						*errors = e.Size
					}
				case "pause":
					*paused = on
				}
			})
		}
	}
	set(true)
	p.wait(ctx, e.For)
	set(false)
}

// crashServers ends servers' processes; they come back cold after a while, if one is given.
func (p *play) crashServers(ctx context.Context, e scenario.Event) {
	for _, s := range e.Targets {
		p.servers[s].Crash()
		p.change(ctx, s, "removed", p.day.Notice.Change)
	}
	if e.For > 0 && p.wait(ctx, e.For) {
		for _, s := range e.Targets {
			p.revive(ctx, s)
		}
	}
}

func (p *play) revive(ctx context.Context, server int) {
	if err := p.servers[server].Restart(); err != nil {
		p.crash("server %d: starting again: %v", server, err)
		return
	}
	p.change(ctx, server, "up", p.day.Notice.Add)
}

// loseZone lets a zone's servers vanish: nothing is said, connections hang. They come back cold,
// all at once, and what was open is reset. The counter stands in the first zone.
func (p *play) loseZone(ctx context.Context, e scenario.Event) {
	zone := e.Targets[0]
	var lost []int
	for s, m := range p.day.Servers {
		if m.Zone == zone && p.runs(s) {
			lost = append(lost, s)
		}
	}
	var paths []*faultlink.Path
	for _, s := range lost {
		paths = append(paths, p.paths[s]...)
	}
	found := p.impose(paths, faultlink.Trouble{Drop: true})
	if zone == 0 && p.counter != nil {
		p.wg.Go(func() { p.counter.Away(ctx, p.counts, p.day.Counter.Back) })
	}
	for _, s := range lost {
		p.change(ctx, s, "removed", p.day.Notice.Change)
	}
	back := p.wait(ctx, e.For)
	for _, s := range lost {
		p.servers[s].Crash()
	}
	found()
	if back {
		for _, s := range lost {
			p.revive(ctx, s)
		}
	}
}

// runs tells whether a server is there now, as the day has it.
func (p *play) runs(server int) bool {
	m, now := p.day.Servers[server], p.clock()
	return m.From <= now && (m.Gone == 0 || now < m.Gone)
}

// move lets discovery answer at another address, as a changed configuration and SIGHUP tell.
func (p *play) move() {
	for i, n := range p.nodes {
		n.discovery = portDiscovery + portDiscovery2 - n.discovery
		if err := p.agents[i].Serve(p.tells[i], p.address(i, n.discovery)); err != nil {
			p.crash("discovery of %s: %v", n.Name, err)
			continue
		}
		if err := p.writeConfig(n, n.dir+"/config.json"); err != nil {
			p.crash("configuration of %s: %v", n.Name, err)
			continue
		}
		p.mu.Lock()
		x := n.process
		p.mu.Unlock()
		p.note(p.book.Moved, i)
		x.Signal(syscall.SIGHUP)
	}
}
