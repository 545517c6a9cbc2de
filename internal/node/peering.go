package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"sloestile/internal/config"
	"sloestile/internal/membership"
)

const (
	peerDescriptors   = 16          // descriptors reserved for the membership
	joinRetryInterval = time.Second // interval of attempts to start while the previous process holds the address
)

// startPeersFunc returns the function that starts the membership, or nil if the fleet file does not enable it or the
// settings do not allow it. It also creates the components of the loop that use the membership.
func startPeersFunc(cfg config.Config, l *loop) (func() (*membership.Peers, error), error) {
	if cfg.Fleet == nil || cfg.Fleet.Peers == nil {
		return nil, nil
	}
	if !cfg.Settings.PeerMessages {
		slog.Warn("peers: disabled by the settings")
		return nil, nil
	}
	peers := cfg.Fleet.Peers
	if cfg.Fleet.Consensus != nil {
		var err error
		if l.consensus, err = newConsensusMember(cfg, l); err != nil {
			return nil, err
		}
	}
	if peers.SharedLimits || peers.OutlierReports {
		l.limitSharing = newLimitSharing(&cfg.Settings, *peers, l)
	}
	if peers.OutlierReports {
		w := l.ensureStragglerWatch()
		w.onStraggler = append(w.onStraggler, l.limitSharing.reportSlow)
	}
	return func() (*membership.Peers, error) { return startMembership(cfg, l) }, nil
}

// startMembership joins the fleet and starts the components of the loop that use the membership.
func startMembership(cfg config.Config, l *loop) (*membership.Peers, error) {
	memberConfig, err := membershipConfig(cfg)
	if err != nil {
		return nil, err
	}
	var onChange []func()
	if l.limitSharing != nil {
		memberConfig.OnState = l.limitSharing.receive
		onChange = append(onChange, l.limitSharing.membershipChanged)
	}
	if l.consensus != nil {
		memberConfig.OnMessage = l.consensus.learner.Receive
		onChange = append(onChange, l.consensus.updateMembers)
	}
	if onChange != nil {
		memberConfig.OnChange = func() {
			for _, notify := range onChange {
				notify()
			}
		}
	}
	p, err := membership.Start(memberConfig, slog.Default())
	if err != nil {
		return nil, err
	}
	if l.limitSharing != nil {
		l.limitSharing.start(p)
	}
	if l.consensus != nil {
		l.consensus.start(p)
	}
	return p, nil
}

// membershipConfig returns the membership's configuration without its callbacks.
func membershipConfig(cfg config.Config) (membership.Config, error) {
	host, _, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return membership.Config{}, err
	}
	peers := cfg.Fleet.Peers
	settings := &cfg.Settings
	return membership.Config{
		Label:         peers.Label,
		Name:          cfg.Name,
		Index:         settings.NodeIndex,
		Zone:          settings.Zone,
		Region:        cfg.Fleet.Region(settings.Zone),
		Program:       programVersion(),
		Bind:          net.JoinHostPort(host, strconv.Itoa(peers.Port)),
		Seeds:         peers.Seeds,
		DialAddresses: peers.DialAddresses,
		Seed:          cfg.Seed,
	}, nil
}

// joinPeers retries to start the membership until it has started, and returns it. It returns nil if ctx ends first.
func (n *Node) joinPeers(ctx context.Context) *membership.Peers {
	for n.peers.Load() == nil {
		select {
		case <-time.After(joinRetryInterval):
		case <-ctx.Done():
			return nil
		}
		p, err := n.startPeers()
		if err != nil {
			slog.Debug("peers: starting failed, retrying", "error", err)
			continue
		}
		n.peers.Store(p)
	}
	return n.peers.Load()
}

// leavePeers announces to the other nodes that this node will leave when ctx ends, and leaves the membership when
// runCtx ends. In between the node still serves and reports its consumed tokens to them.
func (n *Node) leavePeers(ctx, runCtx context.Context) {
	p := n.joinPeers(ctx)
	if p == nil {
		return
	}
	end := p.Close
	select {
	case <-ctx.Done():
		if n.loop.limitSharing != nil {
			n.loop.post(n.loop.limitSharing.leave)
		}
		if err := p.AnnounceLeave(); err != nil {
			slog.Warn("peers: announcing the leave failed", "error", err)
		}
		end = p.Leave
		<-runCtx.Done()
	case <-runCtx.Done():
	}
	if n.loop.limitSharing != nil {
		n.loop.limitSharing.stopSender()
	}
	if err := end(); err != nil {
		slog.Warn("peers: leaving failed", "error", err)
	}
}

// programVersion returns the version of this program: the commit that it was built from, if known.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}

// writePeerMetrics writes the metrics of the membership.
func writePeerMetrics(w io.Writer, c *membership.Counts) {
	for _, m := range []struct {
		name, kind, help string
		value            *atomic.Int64
	}{
		{"node_peers", "gauge", "Other nodes that are live.", &c.Live},
		{"node_peer_joins_total", "counter", "Members that joined.", &c.Joins},
		{"node_peer_deaths_total", "counter", "Members found dead.", &c.Deaths},
		{"node_peer_leaves_total", "counter", "Members that left.", &c.Leaves},
		{"node_peer_refused_total", "counter", "Members refused beyond the most remembered.", &c.Rejected},
		{"node_peer_conflicts_total", "counter", "Names used by two nodes.", &c.Conflicts},
		{"node_peer_spoilt_total", "counter", "Messages that could not be used.", &c.Corrupt},
		{"node_peer_sent_bytes_total", "counter", "Bytes of packets sent to others.", &c.SentBytes},
		{"node_peer_streams_total", "counter", "Streams opened to others.", &c.Streams},
	} {
		writeMetric(w, m.name, m.kind, m.help, m.value)
	}
}
