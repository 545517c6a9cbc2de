package node

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	headerByteCost       = 3       // bytes of memory that a byte of a request header takes: raw, parsed, and while it is read
	headerLineCost       = 256     // bytes of memory that a header line takes besides its text, parsed and forwarded
	pipelinedByteCost    = 2       // bytes of memory that a byte behind a request takes, in a slice that grows
	unbudgetedHeaderCost = 8 << 10 // memory that a header may take without a reservation, enough for those of common clients
	unbudgetedPipelined  = 1 << 10 // memory that bytes behind a request may take without a reservation
	headerRefusalTimeout = time.Second / 4
)

// refusedHeader is the response to a request whose header finds no memory.
const refusedHeader = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// requestHeader is the raw header of the request that a connection carries, and the memory that the request's header
// takes in all its forms. net/http drops a Content-Length next to a Transfer-Encoding and does not report that it was
// there. Nor does it limit the number of header lines, which cost far more memory than bytes.
type requestHeader struct {
	memory   *semaphore.Weighted // budget of all connections; nil means no limit
	raw      []byte
	lines    int
	complete bool  // the header has ended, or is too long to be recorded
	reserved int64 // bytes reserved in memory
	// pipelined is the part of reserved that is for bytes behind the request.
	pipelined int64
	refused   bool // there is no memory for the header
}

// record appends the part of b that belongs to the header, and reserves memory for it.
func (h *requestHeader) record(b []byte) {
	if h.complete || len(b) == 0 {
		return
	}
	from := max(len(h.raw)-3, 0)
	recorded := len(h.raw)
	h.raw = append(h.raw, b...)
	if i := bytes.Index(h.raw[from:], []byte("\n\r\n")); i >= 0 {
		h.raw, h.complete = h.raw[:from+i+3], true
	} else if i := bytes.Index(h.raw[from:], []byte("\n\n")); i >= 0 {
		h.raw, h.complete = h.raw[:from+i+2], true
	}
	h.complete = h.complete || len(h.raw) > maxRequestHeaderBytes
	h.lines += bytes.Count(h.raw[min(recorded, len(h.raw)):], []byte("\n"))
	h.reserve()
}

// reserve reserves the memory that the recorded part of the header takes.
func (h *requestHeader) reserve() {
	missing := int64(headerByteCost*len(h.raw)+headerLineCost*h.lines-unbudgetedHeaderCost) - (h.reserved - h.pipelined)
	switch {
	case missing <= 0 || h.memory == nil:
	case h.memory.TryAcquire(missing):
		h.reserved += missing
	default:
		h.refused = true
	}
}

// reservePipelined reserves memory for bytes that have come behind the request, and reports whether there is enough.
func (h *requestHeader) reservePipelined(bytes int) bool {
	missing := int64(pipelinedByteCost*bytes-unbudgetedPipelined) - h.pipelined
	if missing <= 0 || h.memory == nil {
		return true
	}
	if !h.memory.TryAcquire(missing) {
		return false
	}
	h.reserved += missing
	h.pipelined += missing
	return true
}

// reset releases the header of a finished request.
func (h *requestHeader) reset() {
	if h.reserved > 0 {
		h.memory.Release(h.reserved)
	}
	*h = requestHeader{memory: h.memory, raw: h.raw[:0]}
	if cap(h.raw) > unbudgetedBytes {
		h.raw = nil
	}
}

// recordRequestBytes records bytes that are returned to net/http. The caller must hold c.mu.
func (c *clientConn) recordRequestBytes(b []byte) {
	c.requestStarted = true
	c.header.record(b)
}

// checkHeader returns the result of a read. If there is no memory for the request's header, net/http must not parse what
// was read: checkHeader responds itself, and returns the error that makes net/http close the connection without a
// response of its own. The request was not accepted, so its client may retry.
func (c *clientConn) checkHeader(n int, err error) (int, error) {
	c.mu.Lock()
	refused := c.header.refused
	c.mu.Unlock()
	if !refused {
		return n, err
	}
	total := c.sockets.headersRefused.Add(1)
	slog.Debug("request header refused: no memory left for long headers", "client", c.RemoteAddr(), "total", total)
	_ = c.SetWriteDeadline(time.Now().Add(headerRefusalTimeout))
	_, _ = c.countedConn.Write([]byte(refusedHeader))
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ENOMEM}
}

// dropRawHeader drops a long raw header once it has been checked.
func (c *clientConn) dropRawHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.header.complete && cap(c.header.raw) > unbudgetedBytes/4 {
		c.header.raw = nil
	}
}

// nextRequest clears the state of a finished request.
func (c *clientConn) nextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.reset()
	c.requestStarted, c.responseStarted = false, false
}

// mayHaveContentLength reports whether the header of a chunked request contains a Content-Length too. It also returns
// true if the header was not recorded: the header may have come in one read with the previous request, which no
// well-behaved client sends.
func (c *clientConn) mayHaveContentLength(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	requestLine, fields, ok := bytes.Cut(c.header.raw, []byte("\n"))
	if !ok || !bytes.HasPrefix(requestLine, []byte(r.Method+" "+r.RequestURI+" ")) {
		return true
	}
	for line := range bytes.Lines(fields) {
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return true
		}
	}
	return false
}
