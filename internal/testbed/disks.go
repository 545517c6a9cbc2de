package testbed

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"sloestile/internal/store/disk/faulty"
	"sloestile/internal/testbed/scenario"
)

// diskOf is the folder by which a node's disk is driven; its process is told of it where the
// scenario has disks fail.
func (p *play) diskOf(n *node) string { return filepath.Join(p.guard.Dir, n.Name+".disk") }

// disk lets nodes' disks fail for a while, beside what fails on them already.
func (p *play) disk(ctx context.Context, e scenario.Event) {
	p.faults(e.Targets, func(all []*scenario.Event) []*scenario.Event { return append(all, &e) })
	p.wait(ctx, e.For)
	p.faults(e.Targets, func(all []*scenario.Event) []*scenario.Event {
		return slices.DeleteFunc(all, func(x *scenario.Event) bool { return x == &e })
	})
}

// faults puts in force what fails on nodes' disks once the list of it is another.
func (p *play) faults(nodes []int, change func([]*scenario.Event) []*scenario.Event) {
	for _, i := range nodes {
		n := p.nodes[i]
		p.mu.Lock()
		n.faults = change(n.faults)
		f := faulty.Faults{Seed: p.day.Seed}
		for _, e := range n.faults {
			switch part := cmp.Or(e.Size, 1); e.How {
			case "lies":
				f.LostFsyncs = true
			case "full":
				f.Full = true
			case "readonly":
				f.ReadOnly = true
			case "stalled":
				f.Stalled = true
			case "erring":
				f.ErrorFraction = max(f.ErrorFraction, part)
			case "turned":
				f.BitRotFraction = max(f.BitRotFraction, part)
			}
		}
		err := faulty.SetFaults(p.diskOf(n), f)
		p.mu.Unlock()
		if err != nil {
			p.crash("the disk of %s: %v", n.Name, err)
		}
	}
}

// power takes the power from nodes: they end at once, and their disks lose what was not on them. They
// start anew after a while.
func (p *play) power(ctx context.Context, e scenario.Event) {
	p.end9(e.Targets)
	loss := faulty.PowerLoss{TornWrite: e.How == "torn"}
	if e.How == "older" {
		loss.RevertedSyncs = int(e.Size)
	}
	for _, i := range e.Targets {
		steps, err := faulty.SimulatePowerLoss(p.diskOf(p.nodes[i]), loss)
		if err != nil {
			p.crash("the disk of %s at the end of its power: %v", p.nodes[i].Name, err)
		}
		p.book.With(func() { p.book.Undone += steps })
	}
	p.startAfter(ctx, e)
}

// driven tells whether all nodes' disks were driven: the program was built for it.
func (p *play) driven() error {
	for _, n := range p.nodes {
		if _, err := os.Stat(filepath.Join(p.diskOf(n), faulty.UndoLogName)); err != nil {
			return fmt.Errorf("the disk of %s is not driven; build the program with the tag lab: %w", n.Name, err)
		}
	}
	return nil
}
