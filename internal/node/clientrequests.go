package node

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloestile/control"
)

const (
	maxIDBytes     = 128                   // length of X-Correlation-Id
	timeLeftSlack  = 50 * time.Millisecond // time by which X-Time-Left may exceed the class deadline
	tenantKeyBound = 1 << 33               // exclusive upper bound of tenant keys
)

// badRequest is the error response to an invalid request.
type badRequest struct {
	status  int
	message string
}

func newBadRequest(status int, format string, args ...any) *badRequest {
	return &badRequest{status: status, message: fmt.Sprintf(format, args...)}
}

// readRequest parses and validates a client's request. An invalid request must not reach the decision module.
func (f *frontend) readRequest(r *http.Request, controller *http.ResponseController) (*exchange, *badRequest) {
	if rejected := checkFraming(r); rejected != nil {
		return nil, rejected
	}
	// If a header had two values, a server could use another one than this node does.
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return nil, newBadRequest(http.StatusBadRequest, "%s: given twice", name)
		}
	}
	request := control.Request{ID: r.Header.Get(headerID), Plan: r.Header.Get(headerPlan), Tokens: 1, TenantNodes: 1,
		Retry: r.Header.Get(headerRetry) == "1", Write: r.Method != http.MethodGet}
	if request.ID == "" || len(request.ID) > maxIDBytes {
		return nil, newBadRequest(http.StatusBadRequest, "%s: none, or too long", headerID)
	}
	class, rejected := f.readClass(r)
	if rejected != nil {
		return nil, rejected
	}
	request.Class = class.Name
	if !f.plans[request.Plan] {
		return nil, newBadRequest(http.StatusBadRequest, "%s: unknown plan %q", headerPlan, request.Plan)
	}
	if rejected := readTenant(&request, r); rejected != nil {
		return nil, rejected
	}
	timeLeft, err := parseTimeLeft(r.Header.Get(headerTimeLeft), class.Deadline)
	if err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", headerTimeLeft, err)
	}
	if err := f.readTokens(&request, r.Header.Get(headerWeight)); err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", headerWeight, err)
	}
	x := &exchange{req: request, clock: newRequestClock(timeLeft - responseMargin), bodyLength: r.ContentLength,
		response: make(chan response, 1), stats: f.stats}
	if request.Write {
		x.idMemory = class.Deadline + class.IdempotencyWindow
	}
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		x.clock.add(c.takeBacklogAge())
	}
	if r.ContentLength != 0 {
		if rejected := f.readBody(x, r, controller); rejected != nil {
			return nil, rejected
		}
	}
	if x.streamedBody == nil {
		x.bodyLength = int64(len(x.body))
	}
	x.upstreamReq = forwardedRequest(r) // only now, as a peer that sends no body should cost little memory
	return x, nil
}

// readClass returns the class named by a request's path if the request's method, body and key are valid for it.
func (f *frontend) readClass(r *http.Request) (control.Class, *badRequest) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.classes[name]
	if !ok {
		return class, newBadRequest(http.StatusNotFound, "unknown class %q", name)
	}
	idempotent := class.Idempotency == control.Idempotent
	if idempotent != (r.Method == http.MethodGet) || (!idempotent && r.Method != http.MethodPost) {
		return class, newBadRequest(http.StatusMethodNotAllowed, "%s: not a method of class %s", r.Method, name)
	}
	if idempotent && r.ContentLength > 0 {
		return class, newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	if class.Idempotency == control.IdempotentByKey && r.Header.Get(headerKey) == "" {
		return class, newBadRequest(http.StatusBadRequest, "%s: none", headerKey)
	}
	return class, nil
}

// readTenant sets the tenant from the query parameter account: 16 hexadecimal digits.
func readTenant(request *control.Request, r *http.Request) *badRequest {
	if accounts := r.URL.Query()["account"]; len(accounts) == 1 {
		request.Tenant = strings.ToLower(accounts[0])
	}
	n, err := strconv.ParseUint(request.Tenant, 16, 64)
	if err != nil || len(request.Tenant) != 16 || n >= tenantKeyBound {
		return newBadRequest(http.StatusBadRequest, "account: %q is none", request.Tenant)
	}
	return nil
}

// readBody buffers a short body whole. A longer one is streamed: if its length is known to exceed maxBufferedBytes,
// nothing of it is read before the request is admitted, so that a rejected client does not send it in vain.
func (f *frontend) readBody(x *exchange, r *http.Request, controller *http.ResponseController) *badRequest {
	stream := newClientBody(r.Body, r.ContentLength, x.clock, controller)
	stream.conn, _ = r.Context().Value(connKey{}).(*clientConn)
	f.openBodies.add(stream)
	defer func() {
		if x.streamedBody == nil {
			f.openBodies.remove(stream)
		}
	}()
	if r.Header.Get("Expect") != "" {
		x.clock.pause() // the client sends its body when the first read has asked for it
	}
	if r.ContentLength <= maxBufferedBytes {
		complete, rejected := f.bufferBody(x, r, stream)
		if rejected != nil || complete {
			return rejected
		}
	}
	if !x.req.Write {
		x.bodyReservation.shrinkTo(0)
		return newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	stream.streamed.Store(true)
	x.streamedBody, x.req.StreamedBody = stream, true
	stream.prefix, stream.prefixReservation = x.body, x.bodyReservation
	x.body, x.bodyReservation = nil, nil
	stream.onComplete = x.markReceived
	return nil
}

// bufferBody reads at most maxBufferedBytes of a body, and reports whether that is all of it.
func (f *frontend) bufferBody(x *exchange, r *http.Request, stream *clientBody) (complete bool, rejected *badRequest) {
	var err error
	maxBytes := maxBufferedBytes
	if r.ContentLength > 0 {
		maxBytes = int(r.ContentLength)
	}
	// No memory is reserved before the client has sent more than a first part: a client that stops would keep it from
	// others.
	x.body, complete, err = stream.readUpTo(nil, min(maxBytes, unbudgetedBytes))
	if err == nil && !complete && maxBytes > unbudgetedBytes {
		if err = f.reserveBody(r.Context(), x, stream, int64(maxBytes)); err != nil {
			return false, newBadRequest(http.StatusServiceUnavailable, "no room for the body")
		}
		x.body, complete, err = stream.readUpTo(x.body, maxBytes)
	}
	if err == nil && !complete && r.ContentLength > 0 {
		_, err = stream.Read(make([]byte, 1)) // expects io.EOF
		complete = errors.Is(err, io.EOF)
		if complete {
			err = nil
		}
	}
	if err != nil {
		x.bodyReservation.shrinkTo(0)
		return false, stream.badRequest()
	}
	if complete && !x.req.Write && len(x.body) > 0 {
		x.bodyReservation.shrinkTo(0)
		return false, newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	return complete, nil
}

// singleHeaders lists the protocol's headers that a request may contain only once.
var singleHeaders = []string{headerID, headerPlan, headerTimeLeft, headerWeight, headerRetry, headerKey}

// checkFraming rejects a request whose body length is ambiguous or exceeds maxMessageBytes. A request with both a
// Content-Length and a Transfer-Encoding could smuggle a second request in its body.
func checkFraming(r *http.Request) *badRequest {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if ok {
		defer c.dropRawHeader()
	}
	switch {
	case len(r.TransferEncoding) > 0:
		if !ok || c.mayHaveContentLength(r) {
			return newBadRequest(http.StatusBadRequest, "a Content-Length next to a Transfer-Encoding")
		}
	case r.ContentLength > maxMessageBytes:
		return newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxMessageBytes)
	}
	return nil
}

// forwardedRequest returns the request to forward to servers, without its body and hop-by-hop headers.
func forwardedRequest(r *http.Request) *http.Request {
	out := &http.Request{Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+2)}
	connectionLists := r.Header.Values("Connection") // lists of further hop-by-hop headers
	for header, values := range r.Header {
		if !isHopHeader(header) && !slices.ContainsFunc(connectionLists, func(list string) bool {
			return slices.ContainsFunc(strings.Split(list, ","), func(name string) bool {
				return textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == header
			})
		}) {
			out.Header[header] = values
		}
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return out
}

// parseTimeLeft parses a positive number with the unit m (milliseconds) or u (microseconds). It returns an error if the
// time exceeds the class deadline by more than timeLeftSlack.
func parseTimeLeft(s string, classDeadline time.Duration) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := parseNumber(number)
	if d := v * float64(unit); !ok || err != nil || d <= 0 || d > float64(classDeadline+timeLeftSlack) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v * float64(unit)), nil
}

// readTokens sets a request's tokens and the tenant's range of nodes from the value of the header X-Weight.
func (f *frontend) readTokens(request *control.Request, s string) error {
	if s == "" {
		return nil
	}
	seen := make(map[string]bool, 3)
	for pair := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		isInteger := err == nil && v == math.Trunc(v)
		ok := !seen[name]
		seen[name] = true
		switch name {
		case "units":
			ok = ok && err == nil && v > 0 && (f.maxTokens == 0 || v <= f.maxTokens)
			request.Tokens = v
		case "spread":
			ok = ok && isInteger && v >= 1 && v <= float64(f.fleetSize)
			request.TenantNodes = int(v)
		case "first":
			ok = ok && isInteger && v >= 0 && v < float64(f.fleetSize)
			request.FirstNode = int(v)
		}
		if !ok {
			return fmt.Errorf("%s: %q", name, value)
		}
	}
	return nil
}
