package node

import (
	"context"
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
	maxIDBytes     = 128                   // of X-Correlation-Id
	timeLeftSlack  = 50 * time.Millisecond // by which X-Time-Left may exceed the class's deadline
	tenantKeyLimit = 1 << 33               // tenants' keys are below
)

// badRequest is a client's mistake and the status of the answer to it.
type badRequest struct {
	status int
	text   string
}

func newBadRequest(status int, format string, args ...any) *badRequest {
	return &badRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// readRequest reads a client's request. A request with a mistake must not reach the decision module.
func (f *front) readRequest(r *http.Request, deadlines *http.ResponseController) (*exchange, *badRequest) {
	if wrong := checkFraming(r); wrong != nil {
		return nil, wrong
	}
	// A server could read another one of two values than this node.
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return nil, newBadRequest(http.StatusBadRequest, "%s: given twice", name)
		}
	}
	e := control.Request{ID: r.Header.Get(headerID), Plan: r.Header.Get(headerPlan), Tokens: 1, TenantNodes: 1,
		Retry: r.Header.Get(headerRetry) == "1", Write: r.Method != http.MethodGet}
	if e.ID == "" || len(e.ID) > maxIDBytes {
		return nil, newBadRequest(http.StatusBadRequest, "%s: none, or too long", headerID)
	}
	class, wrong := f.readClass(r)
	if wrong != nil {
		return nil, wrong
	}
	e.Class = class.Name
	if !f.plans[e.Plan] {
		return nil, newBadRequest(http.StatusBadRequest, "%s: unknown plan %q", headerPlan, e.Plan)
	}
	if wrong := readTenant(&e, r); wrong != nil {
		return nil, wrong
	}
	left, err := parseTimeLeft(r.Header.Get(headerTimeLeft), class.Deadline)
	if err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", headerTimeLeft, err)
	}
	if err := f.readWeight(&e, r.Header.Get(headerWeight)); err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", headerWeight, err)
	}
	x := &exchange{req: e, upstreamReq: forwardedRequest(r), timeLeft: left - answerMargin, bodyLength: r.ContentLength,
		answer: make(chan answer, 1), stats: f.stats}
	if r.ContentLength != 0 {
		if wrong := f.readBody(x, r, deadlines); wrong != nil {
			return nil, wrong
		}
	}
	if x.streamedBody == nil {
		x.bodyLength = int64(len(x.body))
		x.deadline = time.Now().Add(x.timeLeft)
	}
	return x, nil
}

// readClass returns the class that a request's path names, where the request's method and parts fit it.
func (f *front) readClass(r *http.Request) (control.Class, *badRequest) {
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

// readTenant reads the tenant from the query: 16 hexadecimal digits.
func readTenant(e *control.Request, r *http.Request) *badRequest {
	if accounts := r.URL.Query()["account"]; len(accounts) == 1 {
		e.Tenant = strings.ToLower(accounts[0])
	}
	n, err := strconv.ParseUint(e.Tenant, 16, 64)
	if err != nil || len(e.Tenant) != 16 || n >= tenantKeyLimit {
		return newBadRequest(http.StatusBadRequest, "account: %q is none", e.Tenant)
	}
	return nil
}

// readBody reads a short body whole. A longer one is streamed: of one with a length over maxHeldBytes nothing is read
// before the request is admitted, so that a client that is rejected has not sent it for nothing.
func (f *front) readBody(x *exchange, r *http.Request, deadlines *http.ResponseController) *badRequest {
	rest := newClientBody(r.Body, deadlines)
	if r.ContentLength <= maxHeldBytes {
		whole, wrong := f.readShortBody(x, r, rest)
		if wrong != nil || whole {
			return wrong
		}
	}
	if !x.req.Write {
		x.bodyReservation.shrinkTo(0)
		return newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	x.streamedBody, x.req.StreamedBody = rest, true
	rest.onEnd = func() {
		x.markReceived()
		at := time.Now()
		f.loop.post(func() { f.loop.bodyReceived(x, at) })
	}
	return nil
}

// readShortBody reads at most maxHeldBytes of a body, and reports whether that is all of it.
func (f *front) readShortBody(x *exchange, r *http.Request, rest *clientBody) (whole bool, wrong *badRequest) {
	most := maxHeldBytes
	if r.ContentLength > 0 {
		most = int(r.ContentLength)
	}
	ctx, cancel := context.WithTimeout(r.Context(), bodyIdleTimeout)
	defer cancel()
	var err error
	if x.bodyReservation, err = reserve(ctx, f.budget.bodies, int64(most)); err != nil {
		return false, newBadRequest(http.StatusServiceUnavailable, "no room for the body")
	}
	x.body, whole, err = rest.readUpTo(most)
	if err == nil && !whole && r.ContentLength > 0 {
		_, err = rest.Read(make([]byte, 1)) // its end
		whole = errors.Is(err, io.EOF)
		if whole {
			err = nil
		}
	}
	if err != nil {
		x.bodyReservation.shrinkTo(0)
		return false, rest.badRequest()
	}
	if whole && !x.req.Write && len(x.body) > 0 {
		x.bodyReservation.shrinkTo(0)
		return false, newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	return whole, nil
}

// singleHeaders are the headers of the protocol that a request may have once only.
var singleHeaders = []string{headerID, headerPlan, headerTimeLeft, headerWeight, headerRetry, headerKey}

// checkFraming rejects a request whose body's length is ambiguous or too long. A request with both a Content-Length and
// a Transfer-Encoding could smuggle a second one in its body.
func checkFraming(r *http.Request) *badRequest {
	switch {
	case len(r.TransferEncoding) > 0:
		if c, ok := r.Context().Value(connKey{}).(*clientConn); !ok || c.hasContentLength(r) {
			return newBadRequest(http.StatusBadRequest, "a Content-Length next to a Transfer-Encoding")
		}
	case r.ContentLength > maxMessageBytes:
		return newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxMessageBytes)
	}
	return nil
}

// forwardedRequest returns the request as it goes to servers, without its body.
func forwardedRequest(r *http.Request) *http.Request {
	out := &http.Request{Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+2)}
	hop := r.Header.Values("Connection") // names further headers of this hop
	for k, v := range r.Header {
		if !hopHeader(k) && !slices.ContainsFunc(hop, func(list string) bool {
			return slices.ContainsFunc(strings.Split(list, ","), func(name string) bool {
				return textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == k
			})
		}) {
			out.Header[k] = v
		}
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // none of the library's own
	}
	return out
}

// parseTimeLeft reads a number with the unit m (milliseconds) or u (microseconds). It may exceed the class's deadline by
// timeLeftSlack at most.
func parseTimeLeft(s string, most time.Duration) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := parseNumber(number)
	if d := v * float64(unit); !ok || err != nil || d <= 0 || d > float64(most+timeLeftSlack) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v * float64(unit)), nil
}

// readWeight reads the tokens of a request and the tenant's range of nodes.
func (f *front) readWeight(e *control.Request, s string) error {
	if s == "" {
		return nil
	}
	seen := make(map[string]bool, 3)
	for pair := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		whole := err == nil && v == math.Trunc(v)
		ok := !seen[name]
		seen[name] = true
		switch name {
		case "units":
			ok = ok && err == nil && v > 0 && (f.maxTokens == 0 || v <= f.maxTokens)
			e.Tokens = v
		case "spread":
			ok = ok && whole && v >= 1 && v <= float64(f.fleetSize)
			e.TenantNodes = int(v)
		case "first":
			ok = ok && whole && v >= 0 && v < float64(f.fleetSize)
			e.FirstNode = int(v)
		}
		if !ok {
			return fmt.Errorf("%s: %q", name, value)
		}
	}
	return nil
}
