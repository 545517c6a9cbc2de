package process

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/proc"
)

// Ports of an edge node's machine.
const (
	portListen    = 9000
	portConsole   = 9001
	portDiscovery = 8500
	portPeer      = 7946
)

const (
	startWithin  = 15 * time.Second
	startLook    = 5 * time.Millisecond // between two tries of the first request
	memoryMB     = 128                  // the target's figure for a node
	descriptors  = 2000
	consoleWait  = 3 * time.Second
	discoveryEnd = -2 // the number of discovery's end of a path
)

// zoneNames are the zones of all parties, as settings.json has them.
var zoneNames = []string{"zone-0", "zone-1", "zone-2"}

//go:embed settings.json
var settingsFile []byte

// tariff is a plan with its limit.
type tariff struct {
	name        string
	rate, depth float64 // tokens a second, tokens
}

// fleetFile is what a fleet file switches on, in its own form.
type fleetFile struct {
	Regions map[string][]string `toml:"regions,omitempty"`
	Peers   *peersSection       `toml:"peers,omitempty"`
	Subset  *subsetSection      `toml:"subset,omitempty"`
}

type peersSection struct {
	Label  string            `toml:"label"`
	Port   int               `toml:"port"`
	Seeds  []string          `toml:"seeds"`
	Limits bool              `toml:"limits"`
	Via    map[string]string `toml:"via,omitempty"`
}

type subsetSection struct {
	Servers int `toml:"servers"`
}

// nodeSpec is how an edge node is started.
type nodeSpec struct {
	index, group int
	tariffs      []tariff // nil are those of settings.json
	targets      []discovery.Target
	fleet        *fleetFile // nil is none
	unlisted     bool       // its configuration has no list: all of it comes from discovery
}

// edgeNode is one real process with its discovery.
type edgeNode struct {
	name, listen, console, log string
	pid                        int
	process                    *proc.Process
	agent                      *discovery.Agent
	began                      time.Time // of its exec
}

// start starts an edge node and its discovery. It does not wait until the node serves.
func (b *bench) start(spec nodeSpec) (*edgeNode, error) {
	n := &edgeNode{name: fmt.Sprintf("n%d", spec.index), listen: b.address(hostsNodes, spec.index, portListen),
		console: b.address(hostsNodes, spec.index, portConsole)}
	dir := filepath.Join(b.guard.Dir, n.name)
	if err := os.Mkdir(dir, 0o755); err != nil {
		return nil, err
	}
	n.log = filepath.Join(dir, "log")
	if err := b.serveList(n, spec); err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := b.writeConfig(config, n, spec); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "NODE_NAME="+n.name, "NODE_LISTEN="+n.listen, "NODE_CONSOLE="+n.console,
		"NODE_DISCOVERY="+b.address(hostsNodes, spec.index, portDiscovery), "NODE_CONFIG="+config, "TMPDIR="+dir)
	if spec.fleet != nil {
		file, err := writeFleet(dir, spec.fleet)
		if err != nil {
			return nil, err
		}
		env = append(env, "NODE_FLEET="+file)
	}
	pidFile := filepath.Join(dir, "pid")
	// The shell becomes the node, which keeps its number.
	command := "echo $$ > " + pidFile + "; " + b.deploy.Run
	var err error
	n.began = time.Now()
	n.process, err = b.guard.Start(proc.Spec{Command: command, Root: b.deploy.Root, Env: env, Log: n.log, Descriptors: descriptors})
	if err != nil {
		return nil, err
	}
	b.atEnd(n.process.Kill)
	n.pid, err = readPID(pidFile)
	return n, err
}

// serveList makes the discovery of one node.
func (b *bench) serveList(n *edgeNode, spec nodeSpec) error {
	n.agent = discovery.NewAgent(discovery.Notes{Has: func(int, string) {}, Told: func(int, string) {}, Answered: func() {}})
	for i, t := range spec.targets {
		n.agent.Put(i, t)
	}
	if err := n.agent.Serve(faultlink.NewPath(spec.index, discoveryEnd, 0), b.address(hostsNodes, spec.index, portDiscovery)); err != nil {
		return err
	}
	b.atEnd(n.agent.Close)
	return nil
}

// writeConfig writes what the platform tells a node.
func (b *bench) writeConfig(path string, n *edgeNode, spec nodeSpec) error {
	var settings map[string]any
	if err := json.Unmarshal(settingsFile, &settings); err != nil {
		return err
	}
	settings["self-index"], settings["group-size"] = spec.index, spec.group
	settings["zone"] = zoneNames[spec.index%len(zoneNames)]
	settings["limits"].(map[string]any)["peer-messages"] = spec.fleet != nil && spec.fleet.Peers != nil
	if spec.tariffs != nil {
		settings["tariffs"] = tariffsLike(settings["tariffs"].([]any)[0].(map[string]any), spec.tariffs)
	}
	known := n.agent.Whole()
	if spec.unlisted {
		known = discovery.Listing{Targets: []discovery.Target{}}
	}
	raw, err := json.Marshal(map[string]any{
		"name": n.name, "listen": n.listen, "discovery": b.address(hostsNodes, spec.index, portDiscovery),
		"seed":   fmt.Sprintf("%016x", spec.index+1),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": descriptors},
		"known":  known, "settings": settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// tariffsLike gives plans that differ from a given one in name and limit.
func tariffsLike(base map[string]any, tariffs []tariff) (all []any) {
	for _, t := range tariffs {
		plan := maps.Clone(base)
		plan["name"], plan["quota-rate"], plan["depth"] = t.name, t.rate, t.depth
		all = append(all, plan)
	}
	return all
}

func writeFleet(dir string, f *fleetFile) (string, error) {
	raw, err := toml.Marshal(f)
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "fleet.toml")
	return file, os.WriteFile(file, raw, 0o644)
}

// readPID waits for the number that the shell writes before it becomes the node.
func readPID(file string) (int, error) {
	for end := time.Now().Add(startWithin); ; time.Sleep(startLook) {
		text, err := os.ReadFile(file)
		if pid, number := strconv.Atoi(strings.TrimSpace(string(text))); err == nil && number == nil {
			return pid, nil
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("%s: no process number: %w", file, err)
		}
	}
}

// serving waits until a request is served and gives the time from exec until then, to 5 ms. Its
// error is a StartError.
func (n *edgeNode) serving(ctx context.Context, c *clients) (time.Duration, error) {
	for {
		err := c.first(ctx, n)
		if err == nil {
			return time.Since(n.began), nil
		}
		select {
		case <-n.process.Done():
			err = errors.Join(n.process.Err(), errors.New("its process has ended"))
		default:
			if time.Since(n.began) < startWithin && wait(ctx, startLook) == nil {
				continue
			}
		}
		return 0, &StartError{n.name, startWithin, n.lastLine(), errors.Join(err, context.Cause(ctx))}
	}
}

// lastLine is the last line of a node's log.
func (n *edgeNode) lastLine() string {
	raw, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	return string(lines[len(lines)-1])
}

// usage reads what the process has used.
func (n *edgeNode) usage() (usage, error) { return usageOf(n.pid) }

// rss is the memory of the process in bytes.
func (n *edgeNode) rss() (int64, error) {
	u, err := n.process.Usage()
	return u.RSS, err
}

// metrics reads the figures of the node's console by name.
func (n *edgeNode) metrics(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, consoleWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.console+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}).Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readFigures(resp.Body)
}
