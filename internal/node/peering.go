package node

import (
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"

	"sloestile/internal/config"
	"sloestile/internal/membership"
)

const peerPlaces = 16 // descriptors set apart for talk with others

// peering gives what lets the node talk with others, where the fleet file has it and the settings
// allow it; nil is nothing.
func peering(cfg config.Config, l *loop) (func() (*membership.Peers, error), error) {
	if cfg.Fleet == nil || cfg.Fleet.Peers == nil {
		return nil, nil
	}
	if !cfg.Settings.PeerMessages {
		slog.Warn("peers stay off: the settings refuse them")
		return nil, nil
	}
	f, s := cfg.Fleet.Peers, &cfg.Settings
	if cfg.Fleet.Consensus != nil {
		var err error
		if l.council, err = newCouncil(cfg, l); err != nil {
			return nil, err
		}
	}
	if f.SharedLimits || f.OutlierReports {
		l.sharing = newSharing(s, *f, l)
		if f.OutlierReports {
			w := l.watch()
			w.late = append(w.late, l.sharing.charge)
		}
	}
	return func() (*membership.Peers, error) {
		host, _, err := net.SplitHostPort(cfg.Listen)
		if err != nil {
			return nil, err
		}
		pc := membership.Config{Label: f.Label, Name: cfg.Name, Index: s.NodeIndex, Zone: s.Zone, Region: cfg.Fleet.Region(s.Zone),
			Program: program(), Bind: net.JoinHostPort(host, strconv.Itoa(f.Port)), Seeds: f.Seeds, Via: f.DialAddresses, Seed: cfg.Seed}
		var changed []func()
		if l.sharing != nil {
			pc.Receive, changed = l.sharing.receive, append(changed, l.sharing.changed)
		}
		if l.council != nil {
			pc.Kinds, changed = l.council.learner.Receive, append(changed, l.council.members)
		}
		if changed != nil {
			pc.Changed = func() {
				for _, tell := range changed {
					tell()
				}
			}
		}
		p, err := membership.Start(pc, slog.Default())
		if err != nil {
			return nil, err
		}
		if l.sharing != nil {
			l.sharing.start(p)
		}
		if l.council != nil {
			l.council.start(p)
		}
		return p, nil
	}, nil
}

// program names the version of this program: the commit that it was built from, where known.
func program() string {
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

// writePeers gives the figures of the membership.
func writePeers(w io.Writer, c *membership.Counts) {
	for _, m := range []struct {
		name, kind, help string
		value            *atomic.Int64
	}{
		{"node_peers", "gauge", "Other nodes that are live.", &c.Live},
		{"node_peer_joins_total", "counter", "Members that joined.", &c.Joins},
		{"node_peer_deaths_total", "counter", "Members found dead.", &c.Deaths},
		{"node_peer_leaves_total", "counter", "Members that left.", &c.Leaves},
		{"node_peer_refused_total", "counter", "Members refused beyond the most remembered.", &c.Refused},
		{"node_peer_conflicts_total", "counter", "Names used by two nodes.", &c.Conflicts},
		{"node_peer_spoilt_total", "counter", "Messages that could not be used.", &c.Spoilt},
		{"node_peer_sent_bytes_total", "counter", "Bytes of packets sent to others.", &c.SentBytes},
		{"node_peer_streams_total", "counter", "Streams opened to others.", &c.Streams},
	} {
		writeFigure(w, m.name, m.kind, m.help, m.value)
	}
}
