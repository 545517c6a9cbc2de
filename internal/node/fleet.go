package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pelletier/go-toml/v2"

	"sloestile/internal/membership"
)

// Fleet is what a fleet file switches on. Without one everything here is off.
type Fleet struct {
	Peers   *PeersConfig
	Regions map[string][]string // the zones of each
	State   *StateConfig
	Zones   *ZonesConfig
	Council *CouncilConfig
	Subset  *SubsetConfig
}

// PeersConfig switches on that this node and others talk.
type PeersConfig struct {
	Label    string
	Verdicts bool              // which rating servers are far slower than is usual is told
	Port     int               // on the address where clients connect, for TCP and UDP
	Seeds    []string          // addresses of nodes by which the fleet is joined
	Limits   bool              // customers' stores are shared
	Via      map[string]string // addresses by which this node reaches others, where they differ from those told
}

const peerPlaces = 16 // descriptors set apart for talk with others

// LoadFleet reads a fleet file. Its error is a FleetFileError.
func LoadFleet(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FleetFileError{File: path, Err: err}
	}
	f := &Fleet{}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(f); err != nil {
		wrong := &FleetFileError{File: path, Err: err}
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			wrong.Line, _ = strict.Errors[0].Position()
			wrong.Err = fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
		} else if at, ok := errors.AsType[*toml.DecodeError](err); ok {
			wrong.Line, _ = at.Position()
		}
		return nil, wrong
	}
	if key, err := f.check(); err != nil {
		return nil, &FleetFileError{File: path, Key: key, Err: err}
	}
	return f, nil
}

// check gives the first key with a value that can't be, and why.
func (f *Fleet) check() (key string, err error) {
	of := map[string]string{}
	for region, zones := range f.Regions {
		for _, z := range zones {
			if of[z] != "" {
				return "regions", fmt.Errorf("zone %s is in %s and %s", z, of[z], region)
			}
			of[z] = region
		}
	}
	if f.State != nil && !filepath.IsAbs(f.State.Dir) {
		return "state.dir", fmt.Errorf("%q is no whole path", f.State.Dir)
	}
	if f.Zones != nil && f.Zones.Leave && len(f.Regions) == 0 {
		return "zones.leave", errors.New("regions name no zones")
	}
	if f.Council != nil {
		if key, err := f.Council.check(f); err != nil {
			return key, err
		}
	}
	if f.Subset != nil {
		if key, err := f.Subset.check(); err != nil {
			return key, err
		}
	}
	return f.Peers.check()
}

// check gives the first key with a value that can't be, and why.
func (p *PeersConfig) check() (key string, err error) {
	if p == nil {
		return "", nil
	}
	if p.Label == "" {
		return "peers.label", errors.New("there is none")
	}
	if p.Port < 1 || p.Port > 65535 {
		return "peers.port", fmt.Errorf("%d is no port", p.Port)
	}
	for i, s := range p.Seeds {
		if err := checkAddress(s); err != nil {
			return fmt.Sprintf("peers.seeds: %d", i), err
		}
	}
	for a, b := range p.Via {
		if err := errors.Join(checkAddress(a), checkAddress(b)); err != nil {
			return "peers.via: " + a, err
		}
	}
	return "", nil
}

func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" {
		return fmt.Errorf("%q is no address", a)
	}
	return nil
}

// region gives the region of a zone, or "".
func (f *Fleet) region(zone string) string {
	for region, zones := range f.Regions {
		for _, z := range zones {
			if z == zone {
				return region
			}
		}
	}
	return ""
}

// peering gives what lets the node talk with others, where the fleet file has it and the settings
// allow it; nil is nothing.
func peering(cfg Config, l *loop) (func() (*membership.Peers, error), error) {
	if cfg.Fleet == nil || cfg.Fleet.Peers == nil {
		return nil, nil
	}
	if !cfg.Settings.PeerMessages {
		slog.Warn("peers stay off: the settings refuse them")
		return nil, nil
	}
	f, s := cfg.Fleet.Peers, &cfg.Settings
	if cfg.Fleet.Council != nil {
		var err error
		if l.council, err = newCouncil(cfg, l); err != nil {
			return nil, err
		}
	}
	if f.Limits || f.Verdicts {
		l.sharing = newSharing(s, *f, l)
		if f.Verdicts {
			w := l.watch()
			w.late = append(w.late, l.sharing.charge)
		}
	}
	return func() (*membership.Peers, error) {
		host, _, err := net.SplitHostPort(cfg.Listen)
		if err != nil {
			return nil, err
		}
		pc := membership.Config{Label: f.Label, Name: cfg.Name, Index: s.NodeIndex, Zone: s.Zone, Region: cfg.Fleet.region(s.Zone),
			Program: program(), Bind: net.JoinHostPort(host, strconv.Itoa(f.Port)), Seeds: f.Seeds, Via: f.Via, Seed: cfg.Seed}
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
