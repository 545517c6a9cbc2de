package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/store/disk/faulty"
	"sloestile/internal/testbed/faultlink"
)

// buildLabEdgenode builds the program with the tag lab, which adds the faulty disk, once for all tests.
var buildLabEdgenode = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "council")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "edgenode")
	if out, err := exec.Command("go", "build", "-tags", "lab", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

// nodeProcess is one node of a consensusFleet.
type nodeProcess struct {
	name         string
	bin          string // path of its program
	consensusDir string // folder of its consensus state
	faultDir     string // folder in which the test sets the faults of its disk
	env          []string
	clientAddr   string // host:port for clients
	consoleAddr  string
	logFile      string
	cmd          *exec.Cmd
	done         chan struct{}
}

// consensusFleet is a fleet of node processes, of which the first are the voters of the consensus group.
type consensusFleet struct {
	t             *testing.T
	addressPrefix string // start of all nodes' addresses, such as "127.70.3."
	nodes         []*nodeProcess
	paths         [][]*faultlink.Path // network paths by sender and receiver
	requests      *requestLog
}

// Ports of a node at its own address. The proxies to node j listen on peerProxyPort+j and consensusProxyPort+j.
const (
	clientPort = 7000 + iota
	consolePort
	peerPort
	consensusPort
	peerProxyPort      = 7100
	consensusProxyPort = 7200
)

// reserveAddressPrefix reserves a range of loopback addresses, 127.N.M.1 to .254, by listening on the last one, and
// returns its prefix.
func reserveAddressPrefix(t *testing.T) string {
	for {
		prefix := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
		if l, err := net.Listen("tcp", prefix+"254:7000"); err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return prefix
		}
	}
}

// address returns host:port of node i.
func (f *consensusFleet) address(i, port int) string {
	return fmt.Sprint(f.addressPrefix, i+1, ":", port)
}

// newConsensusFleet starts a fleet of nodes, the first of which are the voters. peerSettings are lines for
// the section [peers] of the fleet file. If the test fails, the cleanup prints the logs and stacks of all nodes.
func newConsensusFleet(t *testing.T, voters, nodes int, peerSettings ...string) *consensusFleet {
	bin, err := buildLabEdgenode()
	require.NoError(t, err)
	f := &consensusFleet{t: t, addressPrefix: reserveAddressPrefix(t)}
	raw, err := os.ReadFile(testConfig)
	require.NoError(t, err)
	var voterEntries, seeds []string
	for i := range nodes {
		if i < voters {
			voterEntries = append(voterEntries, fmt.Sprintf("{name = 'n%d', address = %q}", i, f.address(i, consensusPort)))
		}
		seeds = append(seeds, fmt.Sprintf("%q", f.address(i, peerPort)))
	}
	f.requests = newRequestLog(t)
	top := t.TempDir()
	for i := range nodes {
		n := &nodeProcess{name: fmt.Sprint("n", i), bin: bin, consoleAddr: f.address(i, consolePort), clientAddr: f.address(i, clientPort)}
		nodeDir := filepath.Join(top, n.name)
		n.consensusDir, n.faultDir, n.logFile = filepath.Join(nodeDir, "council"), filepath.Join(nodeDir, "drive"), filepath.Join(nodeDir, "log")
		require.NoError(t, os.MkdirAll(nodeDir, 0o700))
		var cfg map[string]any
		require.NoError(t, json.Unmarshal(raw, &cfg))
		set := cfg["settings"].(map[string]any)
		cfg["name"], set["self-index"], set["group-size"] = n.name, i, nodes
		set["zone"] = []string{"z1", "z2", "z3"}[i%3]
		set["limits"].(map[string]any)["peer-messages"] = true
		cfg["known"] = map[string]any{"rev": 1, "all": true, "targets": []any{map[string]any{"uid": "s-1", "endpoint": f.requests.address, "az": "z1", "state": "up"}}}
		out, err := json.Marshal(cfg)
		require.NoError(t, err)
		config, file := filepath.Join(nodeDir, "config.json"), filepath.Join(nodeDir, "fleet.toml")
		require.NoError(t, os.WriteFile(config, out, 0o600))
		require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "[regions]\nr = ['z1', 'z2', 'z3']\n[council]\ndir = %q\nheader = 'X-Rules'\nvoters = [%s]\n[peers]\nlabel = 'test'\nport = %d\nseeds = [%s]\n%s\n[peers.via]\n%s",
			n.consensusDir, strings.Join(voterEntries, ", "), peerPort, strings.Join(seeds, ", "), strings.Join(peerSettings, "\n"), f.startProxies(i, voters, nodes)), 0o600))
		n.env = append(os.Environ(), "NODE_CONFIG="+config, "NODE_FLEET="+file, "NODE_LISTEN="+n.clientAddr, "NODE_CONSOLE="+n.consoleAddr, faulty.EnvVariable+"="+n.faultDir)
		f.nodes = append(f.nodes, n)
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			if t.Failed() { // SIGQUIT writes the stacks to the log
				_ = f.nodes[i].cmd.Process.Signal(syscall.SIGQUIT)
				_ = f.nodes[i].cmd.Process.Signal(syscall.SIGCONT)
				<-f.nodes[i].done
			}
			f.kill(i)
		}
		if t.Failed() {
			for _, n := range f.nodes {
				log, _ := os.ReadFile(n.logFile)
				t.Logf("%s:\n%s", n.name, log)
			}
		}
	})
	return f
}

// startProxies starts proxies from node i to all others and returns the lines for [peers.via] in its fleet file.
func (f *consensusFleet) startProxies(i, voters, nodes int) string {
	var lines strings.Builder
	paths := make([]*faultlink.Path, nodes)
	for j := range nodes {
		if i == j {
			continue
		}
		paths[j] = faultlink.NewPath(i, j, 0)
		forward := func(from, to string) {
			proxy, err := paths[j].Forward(from, to, nil)
			require.NoError(f.t, err)
			f.t.Cleanup(proxy.Close)
			fmt.Fprintf(&lines, "%q = %q\n", to, proxy.Address())
		}
		forward(f.address(i, peerProxyPort+j), f.address(j, peerPort))
		if j < voters {
			forward(f.address(i, consensusProxyPort+j), f.address(j, consensusPort))
		}
	}
	f.paths = append(f.paths, paths)
	return lines.String()
}

// injectNetworkFault applies a fault to all paths between node i and the others until end is called.
func (f *consensusFleet) injectNetworkFault(i int, x faultlink.Trouble) (end func()) {
	var ends []func()
	for j := range f.nodes {
		if i != j {
			ends = append(ends, f.paths[i][j].Begin(x), f.paths[j][i].Begin(x))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (f *consensusFleet) start(i int) {
	n := f.nodes[i]
	log, err := os.OpenFile(n.logFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	require.NoError(f.t, err)
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command(n.bin)
	n.cmd.Env, n.cmd.Stdout, n.cmd.Stderr = n.env, log, log
	require.NoError(f.t, n.cmd.Start())
	n.done = make(chan struct{})
	go func() { _ = n.cmd.Wait(); close(n.done) }()
}

func (f *consensusFleet) signal(i int, s syscall.Signal) {
	require.NoError(f.t, f.nodes[i].cmd.Process.Signal(s))
}

// kill kills a node and waits for its exit.
func (f *consensusFleet) kill(i int) {
	_ = f.nodes[i].cmd.Process.Kill()
	<-f.nodes[i].done
}

// consensusStatus is a node's response to /council/status.
type consensusStatus struct {
	Version, Known uint64
	Why, Refusal   string
	Voter          *struct {
		Phase, Identity, Leader, Why string
		Renewed                      int
	}
	Council *struct {
		Leader         string
		Newest, Active uint64
		Versions       []struct {
			Number       uint64
			Digest, Fate string
		}
		Nodes []struct {
			Version uint64
			Nodes   int
		}
		Refusing int
	}
}

var consoleClient = http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the consensus status of node i; nil means that it did not answer.
func (f *consensusFleet) status(i int) *consensusStatus {
	resp, err := consoleClient.Get("http://" + f.nodes[i].consoleAddr + "/council/status")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	s := &consensusStatus{}
	if json.NewDecoder(resp.Body).Decode(s) != nil {
		return nil
	}
	return s
}

// call sends an operator's call to the console of node i; status 0 means that there was no response.
func (f *consensusFleet) call(i int, path string, q url.Values, body string) (status int, text string) {
	resp, err := consoleClient.Post("http://"+f.nodes[i].consoleAddr+"/council/"+path+"?"+q.Encode(), "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

// callUntilOK retries a call until it succeeds and returns the version number in the response.
func (f *consensusFleet) callUntilOK(i int, path string, q url.Values, body string) (number uint64) {
	f.t.Helper()
	last := ""
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status, text := f.call(i, path, q, body)
		if last = fmt.Sprint(status, " ", text); status == http.StatusOK {
			var out struct{ Number uint64 }
			require.NoError(f.t, json.Unmarshal([]byte(text), &out))
			return out.Number
		}
		if status != http.StatusServiceUnavailable && status != 0 {
			break
		}
	}
	require.Fail(f.t, "call failed", "%s: %s", path, last)
	return 0
}

// publish publishes a rule set at node i and returns its version. Each salt makes a different text.
func (f *consensusFleet) publish(i, salt int) uint64 {
	return f.callUntilOK(i, "publish", nil, fmt.Sprintf("# %d\n[plans.basic]\nprice = %d.5\n", salt, salt%100))
}

func (f *consensusFleet) activate(i int, number uint64, kind string) {
	f.callUntilOK(i, "activate", url.Values{"number": {fmt.Sprint(number)}, "kind": {kind}}, "")
}

// waitForVersion waits until a version is in force at nodes.
func (f *consensusFleet) waitForVersion(number uint64, timeout time.Duration, nodes ...int) (took time.Duration) {
	f.t.Helper()
	startedAt := time.Now()
	for _, i := range nodes {
		for {
			s := f.status(i)
			if s != nil && s.Version == number {
				break
			}
			if time.Since(startedAt) > timeout {
				require.Fail(f.t, "not in force", "version %d at %s: %+v", number, f.nodes[i].name, s)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(startedAt)
}

// waitForLeader waits until one of nodes reports the leader and returns the leader's index.
func (f *consensusFleet) waitForLeader(nodes ...int) int {
	f.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, i := range nodes {
			if s := f.status(i); s != nil && s.Council != nil {
				var n int
				_, err := fmt.Sscanf(s.Council.Leader, "n%d", &n)
				require.NoError(f.t, err)
				return n
			}
		}
	}
	require.Fail(f.t, "no leader")
	return 0
}

// waitForVoter waits until node i takes part in votes.
func (f *consensusFleet) waitForVoter(i int) *consensusStatus {
	f.t.Helper()
	var s *consensusStatus
	require.Eventually(f.t, func() bool { s = f.status(i); return s != nil && s.Voter != nil && s.Voter.Phase == "votes" },
		20*time.Second, 50*time.Millisecond, "%s does not vote", f.nodes[i].name)
	return s
}
