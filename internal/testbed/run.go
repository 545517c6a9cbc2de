package testbed

import (
	"context"
	"fmt"
	"time"
)

// after runs f after a while unless the play ends before.
func (p *play) after(ctx context.Context, wait time.Duration, f func()) {
	p.wg.Go(func() {
		select {
		case <-time.After(wait):
			f()
		case <-ctx.Done():
		}
	})
}

// ready waits until the front has taken all nodes in.
func (p *play) ready(ctx context.Context) error {
	p.opt.Progress("starting " + fmt.Sprint(len(p.nodes)) + " nodes")
	for _, f := range p.fronts {
		p.wg.Go(func() { f.Watch(ctx) })
	}
	deadline, t := time.After(readyWait), time.NewTicker(20*time.Millisecond)
	defer t.Stop()
	for {
		up := 0
		for _, f := range p.fronts {
			if f.Up() {
				up++
			}
		}
		if up == len(p.fronts) {
			return nil
		}
		for _, n := range p.nodes {
			if err := n.ended(); err != nil {
				return fmt.Errorf("%s refused to start: %w%s", n.Name, err, tail(p.log(n)))
			}
		}
		select {
		case <-t.C:
		case <-deadline:
			return fmt.Errorf("%d of %d nodes are ready after %v", up, len(p.fronts), readyWait)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// run lets the clients come and the timetable happen.
func (p *play) run(ctx context.Context) {
	p.mu.Lock()
	p.zero = time.Now()
	p.mu.Unlock()
	if p.counter != nil {
		p.counter.Open()
	}
	faults, stop := context.WithCancel(ctx)
	defer stop()
	for _, e := range p.day.Faults {
		p.after(faults, e.At, func() { p.happen(faults, e) })
	}
	for i, m := range p.day.Servers {
		if m.From >= 0 {
			p.after(faults, m.From, func() { p.join(faults, i) })
		}
		for _, x := range m.Pauses {
			p.after(faults, x.At, func() { p.servers[i].Pause(x.For) })
		}
		if m.Drain > 0 {
			p.after(faults, m.Drain, func() { p.change(faults, i, "draining", p.day.Notice.Change) })
			p.after(faults, m.Gone, func() { p.leave(faults, i) })
		}
	}
	p.wg.Go(func() { p.sample(faults) })
	if p.day.File.On.Peers {
		p.wg.Go(func() { p.look(faults) })
	}
	if rate := p.day.File.Clients.Improper; rate > 0 {
		p.wg.Go(func() { p.clients.Improper(faults, rate) })
	}
	p.after(faults, p.day.Length/4, func() { p.opt.Progress("a quarter of the day") })
	p.after(faults, p.day.Length/2, func() { p.opt.Progress("half of the day") })
	p.clients.Run(ctx)
	select {
	case <-time.After(max(0, p.day.Length-p.clock()) + afterDay):
	case <-ctx.Done():
	}
}

// join starts a server that a release brings.
func (p *play) join(ctx context.Context, server int) {
	if err := p.servers[server].Listen(p.paths[server]); err != nil {
		p.crash("server %d: %v", server, err)
		return
	}
	p.change(ctx, server, "up", p.day.Notice.Add)
}

// leave ends a server that has drained.
func (p *play) leave(ctx context.Context, server int) {
	p.servers[server].Crash()
	p.change(ctx, server, "removed", p.day.Notice.Change)
}

func (p *play) crash(format string, args ...any) {
	p.book.With(func() { p.book.Crashes = append(p.book.Crashes, fmt.Sprintf(format, args...)) })
}
