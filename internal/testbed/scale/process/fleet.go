package process

import (
	"cmp"
	"context"
	"time"

	"sloestile/internal/testbed/discovery"
)

const (
	peerLabel    = "process" // of the fleet
	seedNodes    = 3         // named in each fleet file
	settleWithin = 10 * time.Second
	settleLook   = 200 * time.Millisecond
)

// group is several real nodes that take part in one membership.
type group struct{ nodes []*edgeNode }

// startGroup starts nodes at once and waits until each serves and knows all others.
func (b *bench) startGroup(ctx context.Context, size int, c *clients, limits bool, targets []discovery.Target) (*group, error) {
	var seeds []string
	for i := range min(seedNodes, size) {
		seeds = append(seeds, b.address(hostsNodes, i, portPeer))
	}
	fleet := &fleetFile{Peers: &peersSection{Label: peerLabel, Port: portPeer, Seeds: seeds, Limits: limits}}
	g := &group{}
	for i := range size {
		n, err := b.start(nodeSpec{index: i, group: size, tariffs: planTariffs(), targets: targets, fleet: fleet})
		if err != nil {
			return nil, err
		}
		g.nodes = append(g.nodes, n)
	}
	for _, n := range g.nodes {
		if _, err := n.serving(ctx, c); err != nil {
			return nil, err
		}
	}
	return g, settled(ctx, g.nodes, size)
}

// settled waits until each node knows all other members. Its error is a SettleError.
func settled(ctx context.Context, nodes []*edgeNode, members int) error {
	begin := time.Now()
	for {
		least := members
		for _, n := range nodes {
			figures, err := n.metrics(ctx)
			if err != nil {
				return err
			}
			least = min(least, 1+int(figures["node_peers"]))
		}
		if least == members {
			return nil
		}
		if time.Since(begin) > settleWithin {
			return &SettleError{Size: members, Known: least, Within: settleWithin}
		}
		if err := wait(ctx, settleLook); err != nil {
			return err
		}
	}
}

// account is what all nodes of a group have used and sent since their starts, summed.
type account struct {
	at       time.Time
	cpu      time.Duration
	bytes    float64 // of datagrams, without their IP and UDP headers
	messages float64 // of shared limits
}

// opening is the account at the begin of a window, closing that at its end. The calls of the console
// are outside of the CPU time between them.
func (g *group) opening(ctx context.Context) (account, error) {
	var a account
	err := g.count(ctx, &a)
	return a, cmp.Or(err, g.time(&a))
}

func (g *group) closing(ctx context.Context) (account, error) {
	var a account
	err := g.time(&a)
	return a, cmp.Or(err, g.count(ctx, &a))
}

// count reads what the nodes have sent, from their consoles.
func (g *group) count(ctx context.Context, a *account) error {
	for _, n := range g.nodes {
		figures, err := n.metrics(ctx)
		if err != nil {
			return err
		}
		a.bytes += figures["node_peer_sent_bytes_total"]
		a.messages += figures["node_share_sent_total"]
	}
	return nil
}

// time reads the nodes' CPU time.
func (g *group) time(a *account) error {
	for _, n := range g.nodes {
		u, err := n.usage()
		if err != nil {
			return err
		}
		a.cpu += u.cpu
	}
	a.at = time.Now()
	return nil
}

// rates is what one node uses and sends in a second, on average over a group.
type rates struct{ cores, bytes, messages float64 }

func (g *group) rates(from, to account) rates {
	seconds := to.at.Sub(from.at).Seconds() * float64(len(g.nodes))
	return rates{cores: (to.cpu - from.cpu).Seconds() / seconds, bytes: (to.bytes - from.bytes) / seconds, messages: (to.messages - from.messages) / seconds}
}

// window gives what a node uses and sends in a second while something goes on.
func (g *group) window(ctx context.Context, while func() error) (rates, error) {
	from, err := g.opening(ctx)
	if err != nil {
		return rates{}, err
	}
	if err := while(); err != nil {
		return rates{}, err
	}
	to, err := g.closing(ctx)
	return g.rates(from, to), err
}

// rss is the mean memory of a node in bytes.
func (g *group) rss() (float64, error) {
	sum := 0.0
	for _, n := range g.nodes {
		bytes, err := n.rss()
		if err != nil {
			return 0, err
		}
		sum += float64(bytes)
	}
	return sum / float64(len(g.nodes)), nil
}
