package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloestile/internal/store/disk/faulty"
	"sloestile/internal/testbed/proc"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// Deploy is what the deploy file says of the program.
type Deploy struct {
	Root  string `toml:"-"` // the folder that build and run start in
	Build string
	Run   string
}

// ReadDeploy reads deploy/balancer.toml below a folder.
func ReadDeploy(root string) (*Deploy, error) {
	path := filepath.Join(root, "deploy", "balancer.toml")
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := &Deploy{Root: root}
	if err := toml.Unmarshal(raw, d); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if d.Build == "" || d.Run == "" {
		return nil, fmt.Errorf("%s: build and run must both be given", path)
	}
	return d, nil
}

// node is one edge node of the play.
type node struct {
	scenario.Node
	index     int
	dir       string // its disk, which outlives its process
	fleet     string // its fleet file; "" is none
	discovery int    // the port at which discovery is now
	starts    int
	process   *proc.Process
	wanted    bool              // it is to run; else its end is no crash
	faults    []*scenario.Event // of its disk, in force
}

// ended gives how a node that is to run has ended, or nil.
func (n *node) ended() error {
	select {
	case <-n.process.Done():
		if err := n.process.Err(); err != nil {
			return err
		}
		return fmt.Errorf("it ended by itself")
	default:
		return nil
	}
}

func (p *play) log(n *node) string {
	if p.opt.Logs != "" {
		return filepath.Join(p.opt.Logs, n.Name+".log")
	}
	return filepath.Join(p.guard.Dir, n.Name+".log")
}

// tail gives the last line of a log.
func tail(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil || len(raw) == 0 {
		return ""
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	return ": " + string(lines[len(lines)-1])
}

// start starts a node's process, new or again.
func (p *play) start(ctx context.Context, n *node) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	path := filepath.Join(n.dir, "config.json")
	if err := p.writeConfig(n, path); err != nil {
		return err
	}
	deploy := p.opt.Deploy
	if p.opt.Node != nil {
		if d := p.opt.Node(n.index); d != nil {
			deploy = d
		}
	}
	// The folder that counts as memory is new with each start.
	tmp := filepath.Join(n.dir, fmt.Sprintf("tmp%d", n.starts))
	if err := os.Mkdir(tmp, 0o755); err != nil {
		return err
	}
	n.starts++
	env := append(os.Environ(), "NODE_NAME="+n.Name, "NODE_LISTEN="+p.address(n.index, portListen),
		"NODE_DISCOVERY="+p.address(n.index, n.discovery), "NODE_CONFIG="+path, "NODE_CONSOLE="+p.address(n.index, portConsole), "TMPDIR="+tmp)
	if p.day.File.Disks() {
		env = append(env, faulty.EnvVariable+"="+p.diskOf(n))
	}
	if n.fleet != "" {
		env = append(env, "NODE_FLEET="+n.fleet)
	}
	x, err := p.guard.Start(proc.Spec{Command: deploy.Run, Root: deploy.Root, Env: append(env, p.opt.Env...),
		Log: p.log(n), Descriptors: p.day.File.Fleet.Sockets})
	if err != nil {
		return err
	}
	at := p.clock()
	p.mu.Lock()
	n.process, n.wanted = x, true
	p.mu.Unlock()
	p.book.Began(n.index, at)
	p.wg.Go(func() {
		<-x.Done()
		p.mu.Lock()
		crashed := n.wanted && n.process == x
		p.mu.Unlock()
		if crashed {
			p.crash("%s ended at %v: %v%s", n.Name, p.clock(), x.Err(), tail(p.log(n)))
		}
	})
	return nil
}

// gone notes that a node's process is to end now.
func (p *play) gone(n *node, killed bool) *proc.Process {
	at := p.clock()
	p.mu.Lock()
	n.wanted = false
	x := n.process
	p.mu.Unlock()
	p.book.With(func() {
		for i := range p.book.Runs {
			if r := &p.book.Runs[i]; r.Node == n.index && r.To == 0 {
				r.To, r.Killed = at, killed
			}
		}
	})
	return x
}

// killed tells whether a node was killed outright, or cut off from its clients, within a span.
func (p *play) killed(index int, from, to time.Duration) (yes bool) {
	p.book.With(func() {
		for _, r := range p.book.Runs {
			yes = yes || r.Node == index && r.Killed && r.To >= from && r.To <= to
		}
		yes = yes || p.book.CutWithin(record.Pair{Node: index, Server: record.Front}, from, to)
	})
	return yes
}

// stopNodes ends all nodes at the end of a play.
func (p *play) stopNodes() {
	for _, n := range p.nodes {
		if n.process != nil {
			p.gone(n, true).Signal(syscall.SIGCONT)
			n.process.Kill()
		}
	}
}

// sample looks at each node's process now and then, and holds it to its memory.
func (p *play) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	limit := int64(p.day.File.Fleet.MemoryMB) << 20
	for {
		for _, n := range p.nodes {
			p.mu.Lock()
			x, wanted := n.process, n.wanted
			p.mu.Unlock()
			u, err := x.Usage()
			if err != nil || !wanted {
				continue
			}
			at := p.clock()
			p.book.With(func() {
				p.book.Samples = append(p.book.Samples, record.Sample{At: at, Node: n.index, RSS: u.RSS, CPU: u.CPU, Descriptors: u.Descriptors})
			})
			if limit > 0 && u.RSS > limit {
				p.crash("%s holds %d MB of %d at %v", n.Name, u.RSS>>20, limit>>20, at)
				p.gone(n, true).Kill()
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// writeConfig writes what the platform tells a node, in the form of the deployment page.
func (p *play) writeConfig(n *node, path string) error {
	f := &p.day.File.Fleet
	cfg := map[string]any{
		"name": n.Name, "listen": p.address(n.index, portListen), "discovery": p.address(n.index, n.discovery),
		"seed":   fmt.Sprintf("%016x", n.Seed+uint64(n.starts)),
		"limits": map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"known":  p.agents[n.index].Whole(), "settings": p.settings(n),
	}
	if p.counter != nil {
		cfg["counter"] = p.address(n.index, portCounter)
	}
	raw, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", raw, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// settings is the object that the simulator's first message holds, with its names and units.
func (p *play) settings(n *node) map[string]any {
	f, d := p.day.File, p.day
	mode := "pushed"
	if f.Discovery.Asked {
		mode = "on_request"
	}
	var zones []string
	for _, z := range d.Zones {
		zones = append(zones, z.Name)
	}
	var classes, tariffs []map[string]any
	for _, c := range d.Classes {
		scope := c.Scope
		if scope == "" {
			scope = "all"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim": c.AimMS, "deadline": c.DeadlineMS, "effect": c.Effect,
			"key-scope": scope, "repeat-window": c.Window, "stream": false, "worth": c.Worth, "late-share": 0.0})
	}
	for _, t := range d.Plans {
		tariffs = append(tariffs, map[string]any{"name": t.Name, "value-factor": t.Price, "quota-rate": t.Rate, "depth": t.Depth,
			"open": 0, "overrun-cost": t.OverCost, "beyond-earns": 0.0, "cap-rate": 0.0, "hard-burst": 0.0, "ceiling-slack": 0.0})
	}
	cold, coldFrom := 0.0, f.Server.ColdFrom.Lo
	for _, s := range d.Servers {
		cold = max(cold, float64(s.Cold.Milliseconds()))
	}
	return map[string]any{
		"self-index": n.index * d.Group() / len(d.Nodes), "group-size": d.Group(), "zone": d.Zones[n.Zone].Name, "azs": zones, "discovery": mode,
		"family": "gate", "granularity": 2.0, "stage": 0, "stages": []string{"rating-fleet"}, "kinds": []string{"std-3core"},
		"weight-source": "rough", "classes": classes, "tariffs": tariffs, "clients": map[string]any{"marks-retry": false},
		"contract": map[string]any{"ask-within": 10000.0, "cold": cold, "cold-from": coldFrom, "drain-grace": f.Rules.DrainGraceMS,
			"fall": f.Rules.FallMS, "fall-multiple": f.Rules.FallMultiple, "grace-to-answer": 8.0},
		"domain": map[string]any{"meter-period": f.Rules.MeterS * 1000, "cost-after": true, "units-top": f.Load.MostUnits,
			"has-counter": p.counter != nil, "count-fee": 0.02, "count-wait": 50.0, "inbox-per-s": 0.0},
		"limits": map[string]any{"connect-timeout": 250.0, "keepalive": f.Server.IdleS * 1000, "send-cap": f.Rules.SendCap, "may-cancel": true,
			"max-retry-after": f.Clients.MaxRetryAfter, "retry-after": f.Rules.RetryAfter, "second-copies": f.Rules.SecondCopies,
			"probes": f.Rules.Probes, "peer-messages": f.Rules.Peers || f.On.Peers, "open-cap": 20000, "multiplex": 1,
			"cpu-us-per-request": 0.0, "cpu-us-per-s": f.Fleet.Cores * 1e6},
		"charges":    map[string]any{"cross-zone": 0.005, "waste": 0.08, "probe": 0.01, "late-fail": 0.08},
		"reporting":  map[string]any{"source": "off", "names": []string{}},
		"result-mix": map[string]any{"whole": 0.55, "worst-window": 0.2, "worst-tenant": 0.25},
	}
}

// The largest day that a machine plays, by the addresses of a play.
const (
	mostNodes   = 250
	mostServers = 6000 // all of the day, those of a release among them
)

// holds tells whether this machine has the descriptors that a day needs at once.
func holds(d *scenario.Day) error {
	var have syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &have); err != nil {
		return err
	}
	if len(d.Nodes) > mostNodes || len(d.Servers) > mostServers {
		return fmt.Errorf("%s has %d nodes and %d servers, a machine plays %d and %d", d.Name, len(d.Nodes), len(d.Servers), mostNodes, mostServers)
	}
	rate := float64(len(d.Arrivals)) / d.Length.Seconds()
	need := len(d.Nodes)*d.MostServersAtOnce() + 8*len(d.Nodes) + 4*int(rate) + 200 // each pair has a listener
	if d.File.On.Peers {
		need += 3 * len(d.Nodes) * len(d.Nodes)
	}
	if uint64(need) > have.Cur {
		return fmt.Errorf("%s needs some %d descriptors, this process may hold %d", d.Name, need, have.Cur)
	}
	return nil
}

// Make runs the deploy file's build.
func (d *Deploy) Make(ctx context.Context) error {
	return proc.Run(ctx, d.Root, d.Build)
}

// Lab is the same program built for the lab, beside the deployed one: its disk can be made to fail.
func (d *Deploy) Lab() *Deploy {
	return &Deploy{Root: d.Root, Run: "exec bin/lab/edgenode",
		Build: "mkdir -p bin/lab && CGO_ENABLED=1 go build -tags lab -ldflags=-linkmode=external -o bin/lab/ ./cmd/edgenode"}
}
