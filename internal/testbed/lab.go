// Package testbed is the stand-in platform: it plays a scenario's day against real processes of the
// edge node, with links between all parties that fail as the timetable says, and has the judge say
// what came of it. The node never imports it.
package testbed

import (
	"context"
	"net"
	"sync"
	"time"

	"sloestile/internal/testbed/client"
	"sloestile/internal/testbed/counter"
	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/proc"
	"sloestile/internal/testbed/ratingserver"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

const (
	readyWait   = 30 * time.Second // for all nodes to be taken in
	sampleEvery = 500 * time.Millisecond
	afterDay    = 2 * time.Second // for answers that come late
	firstBlock  = 16              // of the addresses 127.16.0.0/16 and up, one block for a play
	lastBlock   = 250
	lockPort    = 9
)

// Options is how a day is played.
type Options struct {
	Deploy   *Deploy
	Logs     string              // folder for the processes' logs; "" is none kept
	Progress func(string)        // hears how far the play is
	Env      []string            // more for each node's process, such as NODE_FLEET
	Node     func(i int) *Deploy // another program for some node; nil is Deploy for all
}

// party numbers: nodes count from 0; the others stand for themselves.
const (
	partyFront = -1 - iota
	partyDiscovery
	partyCounter
	partyServers = 1000 // and up
)

// play is one play in progress.
type play struct {
	day     *scenario.Day
	opt     Options
	block   int
	lock    net.Listener
	guard   *proc.Guard
	zero    time.Time // the play's clock is 0 then
	mu      sync.Mutex
	book    *record.Book
	ledger  *refbucket.Ledger
	fleet   *ratingserver.Fleet
	servers []*ratingserver.Server
	agents  []*discovery.Agent
	counter *counter.Counter
	nodes   []*node
	clients *client.Clients
	fronts  []*client.Node
	paths   [][]*faultlink.Path // by server, then node
	counts  []*faultlink.Path   // to the counter, by node
	tells   []*faultlink.Path   // to discovery, by node
	wg      sync.WaitGroup
	revs    map[int]int

	between    [][]*faultlink.Path // nodes that talk, from and to
	forwarders []*faultlink.Forwarder
	datagrams  *net.UDPConn // that the nodes' datagrams go on from; nil where they don't talk
}

// Play plays a day and judges it.
func Play(ctx context.Context, d *scenario.Day, opt Options) (*judge.Verdict, error) {
	if opt.Progress == nil {
		opt.Progress = func(string) {}
	}
	if err := holds(d); err != nil {
		return nil, err
	}
	p := &play{day: d, opt: opt, book: record.NewBook(), zero: time.Now().Add(time.Hour)}
	if err := p.takeBlock(); err != nil {
		return nil, err
	}
	defer func() { _ = p.lock.Close() }()
	var err error
	if p.guard, err = proc.NewGuard(); err != nil {
		return nil, err
	}
	defer func() { _ = p.guard.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer p.end(cancel)
	if err := p.build(ctx); err != nil {
		return nil, err
	}
	if err := p.ready(ctx); err != nil {
		return nil, err
	}
	p.run(ctx)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if d.File.Disks() {
		if err := p.driven(); err != nil {
			return nil, err
		}
	}
	p.book.Talk = p.peerTraffic()
	p.stopNodes()
	for _, paths := range p.paths {
		for _, path := range paths {
			p.book.Opened += path.Opened.Load()
		}
	}
	for _, path := range p.tells {
		p.book.ListBytes += path.Down.Load()
	}
	return judge.Judge(d, p.book), nil
}

// clock is the play's time: 0 when clients come, below zero before.
func (p *play) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.zero)
}

// end ends all that a play has started, in an order in which nothing waits for what is gone.
func (p *play) end(cancel context.CancelFunc) {
	cancel()
	p.stopNodes()
	for _, f := range p.fronts {
		f.Close()
	}
	for i, s := range p.servers {
		s.Stop()
		for _, path := range p.paths[i] {
			path.Clear()
		}
	}
	for _, a := range p.agents {
		a.Close()
	}
	if p.counter != nil {
		p.counter.Close()
	}
	for _, f := range p.forwarders {
		f.Close()
	}
	if p.datagrams != nil {
		_ = p.datagrams.Close()
	}
	p.wg.Wait()
}
