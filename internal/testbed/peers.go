package testbed

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/record"
)

// Ports by which nodes talk: each node's own, and on its machine one for each other node, where a
// forwarder stands for the way there.
const (
	portPeer    = 7946
	portPeersAt = 20000
	seedNodes   = 3 // named in each fleet file
	lookWithin  = 400 * time.Millisecond
)

// buildPeers puts a forwarder between each two nodes and writes each node's fleet file.
func (p *play) buildPeers() error {
	out, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	p.datagrams = out
	p.between = make([][]*faultlink.Path, len(p.nodes))
	for i, n := range p.nodes {
		via := map[string]string{}
		p.between[i] = make([]*faultlink.Path, len(p.nodes))
		for j, m := range p.nodes {
			if i == j {
				continue
			}
			path := faultlink.NewPath(i, j, p.delay(n.Zone, m.Zone))
			f, err := path.Forward(p.address(i, portPeersAt+j), p.address(j, portPeer), out)
			if err != nil {
				return err
			}
			p.between[i][j], p.forwarders = path, append(p.forwarders, f)
			via[p.address(j, portPeer)] = f.Address()
		}
		if err := p.writeFleet(n, via); err != nil {
			return err
		}
	}
	return nil
}

// writeFleet writes the fleet file of one node.
func (p *play) writeFleet(n *node, via map[string]string) error {
	var seeds []string
	for i := range min(seedNodes, len(p.nodes)) {
		seeds = append(seeds, p.address(i, portPeer))
	}
	regions := map[string][]string{}
	for _, z := range p.day.Zones {
		name := fmt.Sprintf("region-%d", z.Region)
		regions[name] = append(regions[name], z.Name)
	}
	file := map[string]any{"regions": regions}
	on := p.day.File.On
	if on.Peers {
		file["peers"] = map[string]any{"label": p.day.Name, "port": portPeer, "seeds": seeds, "via": via, "limits": on.Limits, "verdicts": on.Verdicts}
	}
	if on.State {
		file["state"] = map[string]any{"dir": filepath.Join(n.dir, "state")}
	}
	if on.Zones {
		file["zones"] = map[string]any{"leave": true}
	}
	if on.Subset > 0 {
		file["subset"] = map[string]any{"servers": on.Subset}
	}
	raw, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	n.fleet = filepath.Join(n.dir, "fleet.toml")
	return os.WriteFile(n.fleet, raw, 0o644)
}

// figuresOf reads figures from a node's console by name; ok is false where it does not answer.
func (p *play) figuresOf(ctx context.Context, n *node, names ...string) (got []float64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, lookWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address(n.index, portConsole)+"/metrics", nil)
	if err != nil {
		return nil, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	got = make([]float64, len(names))
	for in := bufio.NewScanner(resp.Body); in.Scan(); {
		name, text, _ := strings.Cut(in.Text(), " ")
		if i := slices.Index(names, name); i >= 0 {
			if got[i], err = strconv.ParseFloat(text, 64); err != nil {
				return nil, false
			}
			ok = true
		}
	}
	return got, ok
}

// look notes, now and then, whether the nodes that run see each other and no more.
func (p *play) look(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	type counted struct {
		n  float64
		at time.Duration
	}
	sent := map[int]counted{}
	for {
		running, right := 0, 0
		var run []*node
		for _, n := range p.nodes {
			p.mu.Lock()
			wanted := n.wanted
			p.mu.Unlock()
			if wanted {
				running++
				run = append(run, n)
			}
		}
		var known, unknown, most float64
		for _, n := range run {
			v, ok := p.figuresOf(ctx, n, "node_peers", "node_share_known_total", "node_share_unknown_total", "node_share_sent_total")
			if !ok {
				continue
			}
			now := p.clock()
			if was, ok := sent[n.index]; ok && now > was.at {
				most = max(most, (v[3]-was.n)/(now-was.at).Seconds()) // below zero where the process is another
			}
			sent[n.index] = counted{v[3], now}
			if int(v[0]) == running-1 {
				right++
			}
			known, unknown = known+v[1], unknown+v[2]
		}
		at := p.clock()
		p.book.With(func() {
			p.book.Views = append(p.book.Views, record.View{At: at, Right: float64(right) / float64(max(1, running)), Known: known, Unknown: unknown, SentMost: most})
		})
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// peerTraffic is the bytes that nodes sent each other.
func (p *play) peerTraffic() (bytes int64) {
	for _, paths := range p.between {
		for _, path := range paths {
			if path != nil {
				bytes += path.Up.Load() + path.Down.Load()
			}
		}
	}
	return bytes
}
