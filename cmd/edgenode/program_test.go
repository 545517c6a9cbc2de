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

// edgenodeBinary returns the path of the program, built without tags.
func edgenodeBinary(t *testing.T) string {
	t.Helper()
	bin, err := buildEdgenode()
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// buildEdgenode builds the program once for all tests, in a folder that TestMain removes.
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

// program is a running process of edgenode.
type program struct {
	*exec.Cmd
	t        *testing.T
	logLines *bufio.Scanner // log on standard error
	addr     string         // host:port where it accepts clients
	logged   []string       // log lines read so far
}

// startProgram starts the program with a configuration file and waits until it is ready. If discovery is "", the
// address in the file applies.
func startProgram(t *testing.T, config, discovery string) *program {
	t.Helper()
	return startBinary(t, edgenodeBinary(t), config, discovery, nil)
}

// startBinary starts the program bin and waits until it is ready. socket is a listening socket for clients to inherit;
// nil lets the program open its own.
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
	// Kills a program that hangs, so that waiting for its log or its exit ends.
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

// waitForLog reads the log up to a line that contains text and returns that line.
func (p *program) waitForLog(text string) string {
	p.t.Helper()
	for p.logLines.Scan() {
		p.logged = append(p.logged, p.logLines.Text())
		if strings.Contains(p.logLines.Text(), text) {
			return p.logLines.Text()
		}
	}
	p.t.Fatalf("the program exited before it logged %q", text)
	return ""
}

func (p *program) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// get sends a request of plan enterprise and delivers the result, see getWithPlan.
func (p *program) get(id string) <-chan string {
	p.t.Helper()
	return p.getWithPlan("enterprise", id)
}

// countServed sends n requests of plan basic, which has a small quota, and returns how many were served.
func (p *program) countServed(prefix string, n int) (served int) {
	p.t.Helper()
	for i := range n {
		if strings.HasPrefix(<-p.getWithPlan("basic", fmt.Sprint(prefix, i)), "200 ") {
			served++
		}
	}
	return served
}

// getWithPlan sends a request and delivers one result: status, body and whether the node closes the connection, or the
// text of the error.
func (p *program) getWithPlan(plan, id string) <-chan string {
	p.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.addr+"/roster-read?account=00000000b4d65521", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Correlation-Id": id, "X-Tariff": plan, "X-Time-Left": "7000m"} {
		req.Header.Set(k, v)
	}
	response := make(chan string, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			response <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		response <- fmt.Sprint(resp.StatusCode, " ", string(body), " close=", resp.Close)
	}()
	return response
}

// startDiscovery starts a service discovery that lists one server and keeps watches open.
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

// blockingServer starts a server for one request. It closes received when the request arrives and answers after
// release.
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
