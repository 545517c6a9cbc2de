package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sloestile/internal/discovery"
)

const postHeaders = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n" + validHeaders

// Long bodies reach their app server unchanged, however they are framed and cut, and their
// connection may be used again.
func TestLongBodiesArriveUnchanged(t *testing.T) {
	body := patternBytes(2 * mebibyte)
	for name, send := range map[string]func(io.Writer, *bufio.Reader){
		"of a length": func(c io.Writer, _ *bufio.Reader) {
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", postHeaders, len(body), body)
		},
		"in chunks with a trailer": func(c io.Writer, _ *bufio.Reader) {
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", postHeaders)
			fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", 99999, body[:99999], len(body)-99999, body[99999:])
		},
		"awaited": func(c io.Writer, in *bufio.Reader) {
			fmt.Fprintf(c, "%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", postHeaders, len(body))
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 100 {
				t.Errorf("%v, %v", resp, err)
			}
			_, _ = c.Write(body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t)
			a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
				got, _ := io.ReadAll(q.Body)
				fmt.Fprintf(w, "%x", sha256.Sum256(got))
			})
			r.updateList(a.target("s-1", 0))
			c := r.dial()
			in := bufio.NewReader(c)
			for id := range 2 {
				send(uniqueIDConn{c, strconv.Itoa(id)}, in)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				got, _ := io.ReadAll(resp.Body)
				if want := fmt.Sprintf("%x", sha256.Sum256(body)); resp.StatusCode != 200 || string(got) != want || resp.Close {
					t.Errorf("%s %q closes %v", resp.Status, got, resp.Close)
				}
			}
			r.waitForMetric(`node_success_total{tier="visit-update"}`, 2)
			r.waitForMetric("node_backend_calls_total", 2)
			r.waitForMetric("node_inflight", 0)
		})
	}
}

// renamed gives each request an id of its own.
type uniqueIDConn struct {
	net.Conn
	id string
}

func (c uniqueIDConn) Write(b []byte) (int, error) {
	if _, err := c.Conn.Write(bytes.Replace(b, []byte(headerID+": raw"), []byte(headerID+": raw-"+c.id), 1)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// A short body in chunks is held whole, so it goes on with its length and may go again.
func TestShortChunkedBodyIsBuffered(t *testing.T) {
	r := newTestNode(t)
	first := true
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			resetConn(w, q)
			return
		}
		fmt.Fprint(w, "length ", q.ContentLength)
	})
	r.updateList(a.target("s-1", 0))
	c := r.dial()
	_, _ = io.WriteString(c, postHeaders+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(resp.Body); string(got) != "length 5" || a.requestCount() != 2 {
		t.Errorf("%s %q after %d attempts", resp.Status, got, a.requestCount())
	}
}

// A body of which a part has gone is not sent again; what broke before its end has not run, so
// the client may come again.
func TestPartlySentBodyIsNotRetried(t *testing.T) {
	r := newTestNode(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			_, _ = io.CopyN(io.Discard, c, mebibyte/2)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	r.updateList(discovery.Target{UID: "s-1", Endpoint: l.Addr().String(), Zone: "z1", State: "up"})
	q := r.newRequest(http.MethodPost, "/visit-update", "id-1")
	q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(patternBytes(8*mebibyte))), 8*mebibyte
	if resp, _ := r.do(q); resp.StatusCode != http.StatusServiceUnavailable {
		t.Error(resp.Status)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	r.waitForMetric(`node_busy_total{tier="visit-update"}`, 1)
	if n := r.readMetrics()["node_backend_calls_total"]; n != 0 {
		t.Errorf("%g attempts are told as written whole", n)
	}
}

// A long request is decided on at its head: one that is refused costs no server anything, and its
// client reads the answer though it still sends.
func TestLongBodyRejectedBeforeItIsRead(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	for i := range 100 {
		before := a.requestCount()
		c := r.dial()
		head := strings.Replace(strings.Replace(postHeaders, "enterprise", "basic", 1), "raw", "id-"+strconv.Itoa(i), 1)
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, mebibyte)
		half := make([]byte, mebibyte/2)
		_, _ = c.Write(half)
		if a.requestCount() != before {
			t.Fatal("an app server was asked before the body was whole")
		}
		if r.node.stats.byClass["visit-update"].rejected.Load() == 0 && i < 12 { // within the burst: it goes on
			_, _ = c.Write(half)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 200 {
				continue
			}
		}
		_, _ = c.Write(half[:mebibyte/4]) // still sends
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			continue // the answer was read above
		}
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("%s, %v", resp.Status, resp.Header)
		}
		return
	}
	t.Error("none was refused")
}

// A client that stops within its body is told so in time and is no request to anyone.
func TestStalledBodyTimesOut(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	for name, framing := range map[string]string{
		"of a length": "Content-Length: 3000000\r\n\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n100000\r\n"} {
		c, startedAt := r.dial(), time.Now()
		_, _ = io.WriteString(c, strings.Replace(postHeaders, "raw", name[:4], 1)+framing)
		_, _ = c.Write(patternBytes(200 << 10))
		got := statuses(t, c)
		if len(got) != 1 || got[0] != http.StatusRequestTimeout {
			t.Errorf("%s: answered %v", name, got)
		}
		if took := time.Since(startedAt); took > 2*3*time.Second { // owed within 3 s; a busy machine gets as much again
			t.Errorf("%s: after %v", name, took)
		}
	}
	if f := r.readMetrics(); f["node_backend_calls_total"] != 0 || f["node_inflight"] != 0 {
		t.Errorf("sent on whole, or held on to: %v", f)
	}
}

// A body may take longer than a client waits for its answer, as long as it moves.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	c := r.dial()
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", strings.Replace(postHeaders, "7000m", "1500m", 1), 4<<16)
	for range 4 {
		_, _ = c.Write(patternBytes(1 << 16))
		time.Sleep(600 * time.Millisecond) // 2.4 s in all, more than the client's time
	}
	if got := readStatus(t, c); got != 200 {
		t.Error(got)
	}
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}
