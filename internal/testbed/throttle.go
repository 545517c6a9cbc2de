package testbed

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sloestile/internal/testbed/scenario"
)

// throttlePeriod is the period in which a throttled process is stopped once.
const throttlePeriod = 50 * time.Millisecond

// throttle stops nodes for a part of each throttlePeriod, as a small share of a core does. Each node has a random phase, so
// that the nodes do not all run at once. A process that replaces a throttled one is throttled too.
func (p *play) throttle(ctx context.Context, e scenario.Event) {
	ctx, cancel := context.WithTimeout(ctx, e.For)
	defer cancel()
	var nodes sync.WaitGroup
	for _, i := range e.Targets {
		nodes.Go(func() { p.throttleNode(ctx, p.nodes[i], e.Size) })
	}
	nodes.Wait()
}

// throttleNode lets a node run for a fraction of the time until ctx ends.
func (p *play) throttleNode(ctx context.Context, n *node, fraction float64) {
	running := time.Duration(fraction * float64(throttlePeriod))
	p.wait(ctx, time.Duration(rand.Float64()*float64(throttlePeriod)))
	for ctx.Err() == nil {
		p.signalNode(n, syscall.SIGSTOP)
		p.wait(ctx, throttlePeriod-running)
		p.signalNode(n, syscall.SIGCONT)
		p.wait(ctx, running)
	}
}

// signalNode sends a signal to the node's process as it is now.
func (p *play) signalNode(n *node, s syscall.Signal) {
	p.mu.Lock()
	process := n.process
	p.mu.Unlock()
	process.Signal(s)
}
