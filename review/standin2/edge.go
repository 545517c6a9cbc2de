package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// edgeOptions are what cases set differently.
type edgeOptions struct {
	memoryMB, sockets int
	drainGraceMS      float64
	classes           []map[string]any
	fleetFile         string // text of the fleet file; "" is none
}

// started is the process that a case has started; 0 is none.
var started atomic.Int64

// endStarted ends the process that the case has started.
func endStarted() {
	if pid := started.Swap(0); pid != 0 {
		_ = syscall.Kill(-int(pid), syscall.SIGKILL)
	}
}

// edge is a running edge node.
type edge struct {
	address string
	cmd     *exec.Cmd
	dir     string
	record  *record
	ended   chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// runCommand returns the value of run in the deploy file.
func runCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			var command string
			err := json.Unmarshal([]byte(strings.TrimSpace(value)), &command)
			return command, err
		}
	}
	return "", errors.New("the deploy file has no line with run")
}

// muscatClasses are the classes of muscat-rating.
func muscatClasses() []map[string]any {
	return []map[string]any{
		{"name": "rate-lookup", "aim": 1500.0, "deadline": 6000.0, "effect": "free", "key-scope": "all", "repeat-window": 5000.0,
			"stream": false, "worth": 1.0, "late-share": 0.0},
		{"name": "usage-query", "aim": 2000.0, "deadline": 6000.0, "effect": "free", "key-scope": "all", "repeat-window": 5000.0,
			"stream": false, "worth": 1.0, "late-share": 0.0},
		{"name": "charge-post", "aim": 1200.0, "deadline": 3000.0, "effect": "guarded", "key-scope": "zone", "repeat-window": 2000.0,
			"stream": false, "worth": 2.0, "late-share": 0.0},
	}
}

// settings returns the settings of a small deployment, after muscat-rating.
func (o *edgeOptions) settings() map[string]any {
	plan := func(name string, rate, depth, value float64) map[string]any {
		return map[string]any{"name": name, "value-factor": value, "quota-rate": rate, "depth": depth, "open": 0, "overrun-cost": 1.0,
			"beyond-earns": 0.0, "cap-rate": 0.0, "hard-burst": 0.0, "ceiling-slack": 0.0}
	}
	return map[string]any{
		"self-index": 0, "group-size": 1, "zone": "hall-a", "azs": []string{"hall-a", "hall-b", "hall-c"}, "discovery": "pushed",
		"classes": o.classes,
		"tariffs": []any{plan("basic", 2, 9, 0.8), plan("business", 4, 20, 1.1), plan("carrier", 19, 50, 1.8)},
		"clients": map[string]any{"marks-retry": true},
		"charges": map[string]any{"cross-zone": 0.005},
		"contract": map[string]any{"ask-within": 0.0, "cold": 16000.0, "cold-from": 0.17, "drain-grace": o.drainGraceMS, "fall": 1500.0,
			"fall-multiple": 2.0, "grace-to-answer": 50.0},
		"domain": map[string]any{"meter-period": 1000.0, "cost-after": true, "units-top": 8, "has-counter": true},
		"limits": map[string]any{"connect-timeout": 250.0, "keepalive": 30000.0, "send-cap": 5, "open-cap": 20000, "may-cancel": true,
			"probes": true, "max-retry-after": 1000.0, "retry-after": true, "second-copies": true, "peer-messages": false},
	}
}

// startEdge writes the configuration and starts the edge node; it returns once /healthz says yes.
func startEdge(r *record, discovery *discovery, o edgeOptions) (*edge, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	e := &edge{dir: dir, record: r, ended: make(chan struct{})}
	if e.address, err = freeAddress(); err != nil {
		return nil, err
	}
	config := map[string]any{"name": "n0", "listen": e.address, "discovery": discovery.address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"known":  discovery.whole(), "settings": o.settings()}
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path, temporary := filepath.Join(dir, "config.json"), filepath.Join(dir, "tmp")
	env := append(os.Environ(), "NODE_NAME=n0", "NODE_LISTEN="+e.address, "NODE_DISCOVERY="+discovery.address(), "NODE_CONFIG="+path,
		"TMPDIR="+temporary)
	if o.fleetFile != "" {
		fleet := filepath.Join(dir, "fleet.toml")
		env = append(env, "NODE_FLEET="+fleet)
		err = os.WriteFile(fleet, []byte(o.fleetFile), 0o600)
	}
	if err := errors.Join(err, os.Mkdir(temporary, 0o700), os.WriteFile(path, raw, 0o600)); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command("/bin/sh", "-c", command)
	e.cmd.Env, e.cmd.Stdout, e.cmd.Stderr = env, log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	started.Store(int64(e.cmd.Process.Pid))
	r.line("edge node started, process %d, clients at %s", e.cmd.Process.Pid, e.address)
	return e, e.awaitReady()
}

// awaitReady waits until the edge node says that it is ready, at most 30 s.
func (e *edge) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.address + "/healthz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.record.line("edge node is ready")
			return nil
		}
	}
	e.stop()
	return errors.New("the edge node was not ready within 30 s")
}

// running reports whether the process still runs.
func (e *edge) running() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// stop ends the process, copies the end of its log to the record and removes its folder.
func (e *edge) stop() {
	e.record.line("edge node still runs: %t", e.running())
	endStarted()
	<-e.ended
	raw, _ := os.ReadFile(filepath.Join(e.dir, "log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for _, line := range lines[max(0, len(lines)-15):] {
		e.record.line("log: %s", line)
	}
	_ = os.RemoveAll(e.dir)
}

// get is the text of a rate-lookup, which has no body.
func get(id string, account int) string {
	return fmt.Sprintf("GET /rate-lookup?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: carrier\r\n"+
		"X-Time-Left: 6000m\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n", account, id)
}

// post is the head of a charge-post with a key and a body of the given length.
func post(id string, account, length int) string {
	return fmt.Sprintf("POST /charge-post?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: carrier\r\n"+
		"X-Time-Left: 3000m\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n",
		account, id, id, length)
}
