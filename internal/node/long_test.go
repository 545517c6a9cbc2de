package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const mega = 1 << 20

// noise gives bytes that differ from place to place.
func noise(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>8*13 + i>>16*31)
	}
	return b
}

// stream is an app server that answers over its raw connection, once the request's body is read.
func stream(t *testing.T, answer func(c net.Conn)) *app {
	a := &app{}
	a.Server = newApp(t, func(w http.ResponseWriter, _ *http.Request) {
		c := hijack(w)
		defer c.Close()
		answer(c)
	}).Server
	return a
}

// Long answers reach their client unchanged, however they are framed and cut.
func TestLongAnswers(t *testing.T) {
	body := noise(3 * mega)
	chunked := func(w io.Writer, size int) {
		for b := body; len(b) > 0; {
			n := min(size, len(b))
			fmt.Fprintf(w, "%x;ext=1\r\n%s\r\n", n, b[:n])
			b = b[n:]
		}
		io.WriteString(w, "0\r\nX-Sum: 1\r\n\r\n")
	}
	for name, answer := range map[string]func(net.Conn){
		"of a length": func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"in chunks": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
			chunked(c, 70001)
		},
		"behind interim ones": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunked(c, 5000)
		},
		"ended by close": func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body)
		},
		"cut anywhere": func(c net.Conn) {
			var b bytes.Buffer
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			for i := 1; b.Len() > 0; i = i*3 + 1 {
				c.Write(b.Next(i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.list(stream(t, answer).target("s-1", 0))
			resp, got := r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
			if resp.StatusCode != 200 || sha256.Sum256([]byte(got)) != sha256.Sum256(body) {
				t.Errorf("%s, %d bytes of %d", resp.Status, len(got), len(body))
			}
			r.figure(`node_success_total{tier="roster-read"}`, 1)
			r.figure("node_inflight", 0)
		})
	}
}

// What comes slowly is passed on as it comes, and a silence of seconds does not end it.
func TestSlowAnswer(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	came := make(chan struct{})
	r.list(stream(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst")
		<-came
		time.Sleep(answerStall + answerStall/4) // has to pass
		io.WriteString(c, "after")
	}).target("s-1", 0))
	c := r.dial()
	io.WriteString(c, "GET /roster-read?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n"+goodHead+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "first" {
		t.Errorf("%q, %v", first, err)
	}
	close(came)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "after" {
		t.Errorf("%q, %v", rest, err)
	}
}

// An answer that has begun and breaks ends so that the client can tell, and is counted as failed.
func TestLongAnswerBreaks(t *testing.T) {
	for name, head := range map[string]string{
		"of a length": "Content-Length: 3000000\r\n\r\n",
		"in chunks":   "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := stream(t, func(c net.Conn) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s", head, noise(mega/2)) })
			b := newApp(t, served)
			r.list(a.target("s-1", 0))
			resp, err := http.DefaultTransport.RoundTrip(r.call(http.MethodGet, "/roster-read", "id-1"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			r.list(b.target("s-2", 0))
			if n, err := io.Copy(io.Discard, resp.Body); err == nil || n == 0 {
				t.Errorf("%d bytes and %v", n, err)
			}
			r.figure(`node_failure_total{tier="roster-read"}`, 1)
			if got := r.figures()[`node_success_total{tier="roster-read"}`]; got != 0 || b.count() != 0 {
				t.Errorf("%g successes, %d sent again", got, b.count())
			}
		})
	}
}

// The node holds little of a long answer whose client takes its time.
func TestLongAnswersAreHeldBack(t *testing.T) {
	const each, n = 16 * mega, 12
	r := newRig(t)
	var written atomic.Int64
	piece := noise(64 << 10)
	r.list(stream(t, func(c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", each)
		for range each / len(piece) {
			k, err := c.Write(piece)
			written.Add(int64(k))
			if err != nil {
				return
			}
		}
	}).target("s-1", 0))
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var bodies []io.ReadCloser
	for i := range n {
		resp, err := http.DefaultTransport.RoundTrip(r.call(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i)))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		bodies = append(bodies, resp.Body)
	}
	for last := int64(-1); last != written.Load(); time.Sleep(50 * time.Millisecond) { // until all wait
		last = written.Load()
	}
	if w := written.Load(); w > each*n/2 {
		t.Errorf("%d MB were taken that nobody reads", w/mega)
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	if held := int64(during.HeapAlloc) - int64(before.HeapAlloc); held > 8*mega {
		t.Errorf("%d MB are held for %d answers", held/mega, n)
	}
	for _, b := range bodies {
		if got, err := io.Copy(io.Discard, b); got != each || err != nil {
			t.Errorf("%d bytes, %v", got, err)
		}
	}
}

const postHead = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n" + goodHead

// Long bodies reach their app server unchanged, however they are framed and cut, and their
// connection may be used again.
func TestLongBodies(t *testing.T) {
	body := noise(2 * mega)
	for name, send := range map[string]func(io.Writer, *bufio.Reader){
		"of a length": func(c io.Writer, _ *bufio.Reader) {
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", postHead, len(body), body)
		},
		"in chunks with a trailer": func(c io.Writer, _ *bufio.Reader) {
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", postHead)
			fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", 99999, body[:99999], len(body)-99999, body[99999:])
		},
		"awaited": func(c io.Writer, in *bufio.Reader) {
			fmt.Fprintf(c, "%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", postHead, len(body))
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 100 {
				t.Errorf("%v, %v", resp, err)
			}
			c.Write(body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := newApp(t, func(w http.ResponseWriter, q *http.Request) {
				got, _ := io.ReadAll(q.Body)
				fmt.Fprintf(w, "%x", sha256.Sum256(got))
			})
			r.list(a.target("s-1", 0))
			c := r.dial()
			in := bufio.NewReader(c)
			for id := range 2 {
				send(renamed{c, strconv.Itoa(id)}, in)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				got, _ := io.ReadAll(resp.Body)
				if want := fmt.Sprintf("%x", sha256.Sum256(body)); resp.StatusCode != 200 || string(got) != want || resp.Close {
					t.Errorf("%s %q closes %v", resp.Status, got, resp.Close)
				}
			}
			r.figure(`node_success_total{tier="visit-update"}`, 2)
			r.figure("node_backend_calls_total", 2)
			r.figure("node_inflight", 0)
		})
	}
}

// renamed gives each request an id of its own.
type renamed struct {
	net.Conn
	id string
}

func (c renamed) Write(b []byte) (int, error) {
	if _, err := c.Conn.Write(bytes.Replace(b, []byte(headerID+": raw"), []byte(headerID+": raw-"+c.id), 1)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// A short body in chunks is held whole, so it goes on with its length and may go again.
func TestShortBodyInChunks(t *testing.T) {
	r := newRig(t)
	first := true
	a := newApp(t, func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			reset(w, q)
			return
		}
		fmt.Fprint(w, "length ", q.ContentLength)
	})
	r.list(a.target("s-1", 0))
	c := r.dial()
	io.WriteString(c, postHead+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(resp.Body); string(got) != "length 5" || a.count() != 2 {
		t.Errorf("%s %q after %d attempts", resp.Status, got, a.count())
	}
}

// A body of which a part has gone is not sent again; what broke before its end has not run, so
// the client may come again.
func TestBrokenBodyIsNotSentAgain(t *testing.T) {
	r := newRig(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			io.CopyN(io.Discard, c, mega/2)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	r.list(target{UID: "s-1", Endpoint: l.Addr().String(), Zone: "z1", State: "up"})
	q := r.call(http.MethodPost, "/visit-update", "id-1")
	q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(noise(8*mega))), 8*mega
	if resp, _ := r.do(q); resp.StatusCode != http.StatusServiceUnavailable {
		t.Error(resp.Status)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	if got := r.figures(); got["node_backend_calls_total"] != 0 || got[`node_busy_total{tier="visit-update"}`] != 1 {
		t.Errorf("%v", got)
	}
}

// A long request is decided on at its head: one that is refused costs no server anything, and its
// client reads the answer though it still sends.
func TestLongBodyIsRefusedAtItsHead(t *testing.T) {
	r := newRig(t)
	a := newApp(t, served)
	r.list(a.target("s-1", 0))
	for i := range 100 {
		before := a.count()
		c := r.dial()
		head := strings.Replace(strings.Replace(postHead, "enterprise", "basic", 1), "raw", "id-"+strconv.Itoa(i), 1)
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, mega)
		half := make([]byte, mega/2)
		c.Write(half)
		if a.count() != before {
			t.Fatal("an app server was asked before the body was whole")
		}
		if r.node.stats.of["visit-update"].busy.Load() == 0 && i < 12 { // within the burst: it goes on
			c.Write(half)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 200 {
				continue
			}
		}
		c.Write(half[:mega/4]) // still sends
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
func TestClientStopsInItsBody(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	a := newApp(t, served)
	r.list(a.target("s-1", 0))
	for name, framing := range map[string]string{
		"of a length": "Content-Length: 3000000\r\n\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n100000\r\n"} {
		c, begun := r.dial(), time.Now()
		io.WriteString(c, strings.Replace(postHead, "raw", name[:4], 1)+framing)
		c.Write(noise(200 << 10))
		got := statuses(t, c)
		if len(got) != 1 || got[0] != http.StatusRequestTimeout {
			t.Errorf("%s: answered %v", name, got)
		}
		if took := time.Since(begun); took > 2*3*time.Second { // owed within 3 s; a busy machine gets as much again
			t.Errorf("%s: after %v", name, took)
		}
	}
	if f := r.figures(); f["node_backend_calls_total"] != 0 || f["node_inflight"] != 0 {
		t.Errorf("sent on whole, or held on to: %v", f)
	}
}

// A body may take longer than a client waits for its answer, as long as it moves.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	a := newApp(t, served)
	r.list(a.target("s-1", 0))
	c := r.dial()
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", strings.Replace(postHead, "7000m", "1500m", 1), 4<<16)
	for range 4 {
		c.Write(noise(1 << 16))
		time.Sleep(600 * time.Millisecond) // 2.4 s in all, more than the client's time
	}
	if got := statusOf(t, c); got != 200 {
		t.Error(got)
	}
}

func statusOf(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// A message may take its time, but not without end: a byte now and then is no progress.
func TestMessagesComeToAnEnd(t *testing.T) {
	if d := mostTime(bodyMostTime, 0); d != bodyMostTime {
		t.Errorf("%v for nothing", d)
	}
	// The slowest proper client sends 64 kB a second.
	if d := mostTime(bodyMostTime, 32<<20); d < 32<<20*time.Second/64000 {
		t.Errorf("32 MB may take only %v", d)
	}
	b := newClientBody(strings.NewReader("x"), http.NewResponseController(&deadlines{}))
	b.begun = time.Now().Add(-bodyMostTime)
	set := &deadlines{}
	b.limit = http.NewResponseController(set)
	b.Read(make([]byte, 1))
	if left := time.Until(set.read[0]); left > time.Second {
		t.Errorf("another %v for a body that has had its time", left)
	}
}

// deadlines notes the deadlines that are set.
type deadlines struct {
	http.ResponseWriter
	read []time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.read = append(d.read, t)
	return nil
}
