package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Invalid requests are rejected with the status of their error, and none is forwarded.
func TestInvalidRequestsAreRejected(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	for name, tc := range map[string]struct {
		change func(*http.Request)
		want   int
	}{
		"no id":             {func(q *http.Request) { q.Header.Del(headerID) }, 400},
		"a long id":         {func(q *http.Request) { q.Header.Set(headerID, strings.Repeat("x", 129)) }, 400},
		"no class":          {func(q *http.Request) { q.URL.Path = "/" }, 404},
		"unknown class":     {func(q *http.Request) { q.URL.Path = "/checkout" }, 404},
		"wrong method":      {func(q *http.Request) { q.Method = http.MethodPut }, 405},
		"no key":            {func(q *http.Request) { q.Header.Del(headerKey) }, 400},
		"unknown plan":      {func(q *http.Request) { q.Header.Set(headerPlan, "gold") }, 400},
		"no plan":           {func(q *http.Request) { q.Header.Del(headerPlan) }, 400},
		"no account":        {func(q *http.Request) { q.URL.RawQuery = "" }, 400},
		"short account":     {func(q *http.Request) { q.URL.RawQuery = "account=b4d65521" }, 400},
		"huge account":      {func(q *http.Request) { q.URL.RawQuery = "account=0000000200000000" }, 400},
		"invalid account":   {func(q *http.Request) { q.URL.RawQuery = "account=000000000000000g" }, 400},
		"no time":           {func(q *http.Request) { q.Header.Del(headerTimeLeft) }, 400},
		"no unit":           {func(q *http.Request) { q.Header.Set(headerTimeLeft, "480") }, 400},
		"other unit":        {func(q *http.Request) { q.Header.Set(headerTimeLeft, "4s") }, 400},
		"zero time left":    {func(q *http.Request) { q.Header.Set(headerTimeLeft, "0m") }, 400},
		"infinite time":     {func(q *http.Request) { q.Header.Set(headerTimeLeft, "1e300m") }, 400},
		"time past class":   {func(q *http.Request) { q.Header.Set(headerTimeLeft, "7600m") }, 400},
		"huge units":        {func(q *http.Request) { q.Header.Set(headerWeight, "units=1e300") }, 400},
		"units over limit":  {func(q *http.Request) { q.Header.Set(headerWeight, "units=4.1") }, 400},
		"negative units":    {func(q *http.Request) { q.Header.Set(headerWeight, "units=-1") }, 400},
		"units given twice": {func(q *http.Request) { q.Header.Set(headerWeight, "units=1,units=2") }, 400},
		"two ids":           {func(q *http.Request) { q.Header.Add(headerID, "worse") }, 400},
		"two accounts":      {func(q *http.Request) { q.URL.RawQuery += "&account=00000000b4d65522" }, 400},
		"invalid time":      {func(q *http.Request) { q.Header.Set(headerTimeLeft, "NaNm") }, 400},
		"no units":          {func(q *http.Request) { q.Header.Set(headerWeight, "units=0") }, 400},
		"invalid units":     {func(q *http.Request) { q.Header.Set(headerWeight, "units=NaN") }, 400},
		"wide spread":       {func(q *http.Request) { q.Header.Set(headerWeight, "units=1,spread=3") }, 400},
		"invalid spread":    {func(q *http.Request) { q.Header.Set(headerWeight, "spread=1.5") }, 400},
		"invalid first":     {func(q *http.Request) { q.Header.Set(headerWeight, "first=-1") }, 400},
	} {
		t.Run(name, func(t *testing.T) {
			q := r.newRequest(http.MethodPost, "/visit-update", "bad")
			tc.change(q)
			if resp, body := r.do(q); resp.StatusCode != tc.want {
				t.Errorf("response %s %q, want status %d", resp.Status, body, tc.want)
			}
		})
	}
	if resp, _ := r.do(r.newRequest(http.MethodPost, "/roster-read", "bad")); resp.StatusCode != 405 {
		t.Errorf("POST to an idempotent class: %s, want 405", resp.Status)
	}
	withBody := r.newRequest(http.MethodGet, "/roster-read", "bad")
	withBody.Body, withBody.ContentLength = io.NopCloser(strings.NewReader("x")), 1
	if resp, _ := r.do(withBody); resp.StatusCode != 400 {
		t.Errorf("GET with a body: %s, want 400", resp.Status)
	}
	if n := a.requestCount(); n > 0 {
		t.Errorf("%d invalid requests were forwarded", n)
	}
	if resp, _ := r.do(r.newRequest(http.MethodPost, "/visit-update", "good")); resp.StatusCode != 200 {
		t.Errorf("valid request after the invalid ones: %s, want 200", resp.Status)
	}
}

// statuses reads responses on a raw connection until it is closed, and returns their statuses.
func statuses(t *testing.T, c net.Conn) []int {
	t.Helper()
	var got []int
	for in := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
				t.Fatalf("the connection stays open after the responses %v", got)
			}
			return got
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		got = append(got, resp.StatusCode)
	}
}

const validHeaders = headerID + ": raw\r\n" + headerPlan + ": enterprise\r\n" + headerTimeLeft + ": 7000m\r\n" + headerKey + ": k\r\n"

// A request with an ambiguous or invalid body length gets one error response and its connection is closed. Otherwise a
// request hidden in or behind its body could be smuggled to a server.
func TestSmuggledRequestsAreRejected(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	const post = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\n" + validHeaders
	hidden := strings.ReplaceAll(strings.Replace(post, "POST /visit-update", "GET /roster-read", 1), "raw", "hidden") + "\r\n"
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"length and chunks":  {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"chunks and length":  {post + "Transfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(5+len(hidden)) + "\r\n\r\n0\r\n\r\n" + hidden, 400},
		"length, no space":   {post + "Transfer-Encoding: chunked\r\nContent-Length:5\r\n\r\n0\r\n\r\n" + hidden, 400},
		"invalid chunk":      {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + hidden, 400},
		"two lengths":        {post + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + hidden, 400},
		"negative length":    {post + "Content-Length: -1\r\n\r\n" + hidden, 400},
		"huge length":        {post + "Content-Length: 60000000\r\n\r\n" + hidden, 413},
		"overflowing length": {post + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, 400},
		"invalid header":     {"\x00\x01 noise\r\n\r\n" + hidden, 400},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.dial()
			_, _ = io.WriteString(c, tc.text)
			if got := statuses(t, c); len(got) != 1 || got[0] != tc.want {
				t.Errorf("response statuses %v, want one %d", got, tc.want)
			}
		})
	}
	if n := a.requestCount(); n > 0 {
		t.Errorf("requests at the server: %q, want none", a.requests())
	}
}
