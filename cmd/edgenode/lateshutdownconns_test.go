package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unfinishedRequests are what clients may have sent when a process is killed that no request has come of.
var unfinishedRequests = map[string]string{
	"nothing":                  "",
	"half a header":            "GET /roster-read?account=0000",
	"half a body":              postHead("half", "Content-Length: 1000\r\n\r\nabc"),
	"half a long body":         postHead("half-long", "Content-Length: 400000\r\n\r\n"+strings.Repeat("x", 200_000)),
	"half of a long chunk":     postHead("half-chunk", "Transfer-Encoding: chunked\r\n\r\n61a80\r\n"+strings.Repeat("x", 200_000)),
	"a header before its body": postHead("header", "Content-Length: 400000\r\nExpect: 100-continue\r\n\r\n"),
}

// Guards against connections that stay open beyond the kill because the process waits for a response to an early request: a
// request could come on them unanswered.
func TestOnlyEarlyStreamsHaveConnectionsAtTheKill(t *testing.T) {
	const deadline = 2 * time.Second
	ended := make(chan struct{})
	defer close(ended)
	server := startSlowServer(t, writeStream("Content-Length: 24000\r\n\r\n", "", ""), ended)
	p := startBinary(t, edgenodeBinary(t), writeDeadlineConfig(t, deadline), startDiscoveryOf(t, []string{server}), nil, "TMPDIR="+t.TempDir())
	drainLog(p)
	early := newSlowConn(dialProgram(t, p), ended)
	lateGet(early, "early", deadline)
	resp, err := http.ReadResponse(early.in, nil)
	require.NoError(t, err)
	p.signal(syscall.SIGTERM)
	sigterm := time.Now()
	time.Sleep(newConnsUntil / 2)
	closedAt := map[string]chan time.Duration{}
	for name, text := range unfinishedRequests {
		c := dialProgram(t, p)
		go func() { _, _ = io.WriteString(c, text) }()
		closed := make(chan time.Duration, 1)
		closedAt[name] = closed
		go func() {
			_, _ = io.Copy(io.Discard, bufio.NewReader(c))
			closed <- time.Since(sigterm)
		}()
	}
	body, err := io.ReadAll(resp.Body)
	assert.NoError(t, err, "the early response was cut off")
	assert.Equal(t, 1000*slowStreamPieces, len(body))
	for name, closed := range closedAt {
		select {
		case after := <-closed:
			assert.Less(t, after, killAfter(deadline), name)
		default:
			assert.Fail(t, "a connection is open", name)
		}
	}
	assert.NoError(t, p.Wait())
}
