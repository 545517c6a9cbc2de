package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

func edgenodeBinary(t *testing.T) string {
	t.Helper()
	bin, err := buildEdgenode()
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// built builds the program once, in a folder that TestMain removes.
var buildEdgenode = sync.OnceValues(func() (string, error) {
	bin := filepath.Join(buildDir, "edgenode")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return bin, err
})

var buildDir string

func TestMain(m *testing.M) {
	var err error
	if buildDir, err = os.MkdirTemp("", "edgenode"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(buildDir)
	os.Exit(code)
}

// program is a running edgenode.
type program struct {
	*exec.Cmd
	t        *testing.T
	logLines *bufio.Scanner // its log
	addr     string         // where it takes clients
	logged   []string       // of the log
}

// start starts the program and waits until it is ready. Without a discovery in the
// environment that of the file counts.
func startProgram(t *testing.T, config, discovery string) *program {
	t.Helper()
	return startBinary(t, edgenodeBinary(t), config, discovery, nil)
}

// startWith starts a built program, with the clients' socket if there is one.
func startBinary(t *testing.T, bin, config, discovery string, socket *os.File, env ...string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(bin), t: t}
	p.Env = append(os.Environ(), "NODE_CONFIG="+config, "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY="+discovery)
	p.Env = append(p.Env, env...)
	if socket != nil {
		p.ExtraFiles = []*os.File{nil, nil, socket}
		p.Env = append(p.Env, "NODE_SOCKET_FD=5")
	}
	log, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	// Ends the program where it hangs, and with it all waiting for it.
	killTimer := time.AfterFunc(time.Minute, func() { _ = p.Process.Kill() })
	t.Cleanup(func() { killTimer.Stop(); _ = p.Process.Kill() })
	p.logLines = bufio.NewScanner(log)
	_, p.addr, _ = strings.Cut(p.waitForLog("listen="), "listen=")
	for {
		resp, err := http.Get("http://" + p.addr + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
		time.Sleep(time.Millisecond)
	}
}

// until reads the log up to a line with a word in it.
func (p *program) waitForLog(text string) string {
	p.t.Helper()
	for p.logLines.Scan() {
		p.logged = append(p.logged, p.logLines.Text())
		if strings.Contains(p.logLines.Text(), text) {
			return p.logLines.Text()
		}
	}
	p.t.Fatalf("the program ended before it logged %q", text)
	return ""
}

func (p *program) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// ask sends a request and gives what came of it.
func (p *program) get(id string) <-chan string {
	p.t.Helper()
	return p.getWithPlan("enterprise", id)
}

// granted tells how many of n requests of a plan with little quota are served.
func (p *program) countServed(prefix string, n int) (granted int) {
	p.t.Helper()
	for i := range n {
		if strings.HasPrefix(<-p.getWithPlan("basic", fmt.Sprint(prefix, i)), "200 ") {
			granted++
		}
	}
	return granted
}

func (p *program) getWithPlan(plan, id string) <-chan string {
	p.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.addr+"/roster-read?account=00000000b4d65521", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Correlation-Id": id, "X-Tariff": plan, "X-Time-Left": "7000m"} {
		req.Header.Set(k, v)
	}
	answer := make(chan string, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		answer <- fmt.Sprint(resp.StatusCode, " ", string(body), " close=", resp.Close)
	}()
	return answer
}

// discovery lists one app server and keeps its watches open.
func startDiscovery(t *testing.T, uid string, server *httptest.Server) *httptest.Server {
	stopped := make(chan struct{})
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"rev":9,"all":true,"targets":[{"uid":%q,"endpoint":%q,"az":"z1","state":"up"}]}`+"\n",
			uid, server.Listener.Addr())
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
		case <-stopped:
		}
	}))
	t.Cleanup(func() { close(stopped); d.Close() })
	return d
}

// holding is an app server that answers when it is let.
func blockingServer(t *testing.T) (server *httptest.Server, received chan struct{}, release func()) {
	received, released := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-released
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(func() { release(); server.Close() })
	return server, received, release
}

const testConfig = "../../internal/node/testdata/config.json"
