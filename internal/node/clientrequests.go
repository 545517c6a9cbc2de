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
	maxIDBytes     = 128
	timeLeftSlack  = 50 * time.Millisecond // over a class's deadline
	tenantKeyLimit = 1 << 33
)

// badRequest is a client's mistake and the status that tells it.
type badRequest struct {
	status int
	text   string
}

func newBadRequest(status int, format string, args ...any) *badRequest {
	return &badRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// exchange reads a client's request. The module must not hear of one that is wrong.
func (f *front) readRequest(r *http.Request, limit *http.ResponseController) (*exchange, *badRequest) {
	if wrong := checkFraming(r); wrong != nil {
		return nil, wrong
	}
	// Guards against app servers that read another one of two values than this node.
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
	e.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.classes[e.Class]
	if !ok {
		return nil, newBadRequest(http.StatusNotFound, "unknown class %q", e.Class)
	}
	if (class.Idempotency == control.Idempotent) != (r.Method == http.MethodGet) ||
		class.Idempotency != control.Idempotent && r.Method != http.MethodPost {
		return nil, newBadRequest(http.StatusMethodNotAllowed, "%s: not a method of class %s", r.Method, e.Class)
	}
	if class.Idempotency == control.Idempotent && r.ContentLength > 0 {
		return nil, newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	if class.Idempotency == control.IdempotentByKey && r.Header.Get(headerKey) == "" {
		return nil, newBadRequest(http.StatusBadRequest, "%s: none", headerKey)
	}
	if !f.plans[e.Plan] {
		return nil, newBadRequest(http.StatusBadRequest, "%s: unknown plan %q", headerPlan, e.Plan)
	}
	if accounts := r.URL.Query()["account"]; len(accounts) == 1 {
		e.Tenant = strings.ToLower(accounts[0])
	}
	if n, err := strconv.ParseUint(e.Tenant, 16, 64); err != nil || len(e.Tenant) != 16 || n >= tenantKeyLimit {
		return nil, newBadRequest(http.StatusBadRequest, "account: %q is none", e.Tenant)
	}
	left, err := parseTimeLeft(r.Header.Get(headerTimeLeft), class.Deadline)
	if err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", headerTimeLeft, err)
	}
	if err := f.readWeight(&e, r.Header.Get(headerWeight)); err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", headerWeight, err)
	}
	x := &exchange{req: e, forward: forwardedRequest(r), timeLeft: left - answerMargin, length: r.ContentLength,
		answer: make(chan answer, 1), stats: f.stats}
	if r.ContentLength != 0 {
		if wrong := f.readBody(x, r, limit); wrong != nil {
			return nil, wrong
		}
	}
	if x.rest == nil {
		x.length = int64(len(x.body))
		x.deadline = time.Now().Add(x.timeLeft)
	}
	return x, nil
}

// body takes a short body whole. A longer one goes on as it comes: what is known to be long is
// not begun, so that it costs a client that is refused nothing.
func (f *front) readBody(x *exchange, r *http.Request, limit *http.ResponseController) *badRequest {
	rest := newClientBody(r.Body, limit)
	if r.ContentLength <= maxHeldBytes {
		most := maxHeldBytes
		if r.ContentLength > 0 {
			most = int(r.ContentLength)
		}
		ctx, cancel := context.WithTimeout(r.Context(), bodyIdleTimeout)
		defer cancel()
		var err error
		if x.bodyReservation, err = reserve(ctx, f.budget.bodies, int64(most)); err != nil {
			return newBadRequest(http.StatusServiceUnavailable, "no room for the body")
		}
		var whole bool
		if x.body, whole, err = rest.readUpTo(most); err == nil && !whole && r.ContentLength > 0 {
			_, err = rest.Read(make([]byte, 1)) // its end
			if whole = errors.Is(err, io.EOF); whole {
				err = nil
			}
		}
		if err != nil {
			x.bodyReservation.shrink(0)
			return rest.badRequest()
		}
		if whole {
			if x.req.Write || len(x.body) == 0 {
				return nil
			}
			x.bodyReservation.shrink(0)
			return newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
		}
	}
	if !x.req.Write {
		x.bodyReservation.shrink(0)
		return newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	x.rest, x.req.StreamedBody = rest, true
	rest.onEnd = func() {
		x.markReceived()
		at := time.Now()
		f.loop.post(func() { f.loop.bodyReceived(x, at) })
	}
	return nil
}

// onceOnly are the headers by which a request is told from others.
var singleHeaders = []string{headerID, headerPlan, headerTimeLeft, headerWeight, headerRetry, headerKey}

// framing tells where a request's body can't be told for certain, or is too long. Guards against
// a second request in the body of one that has a length and a Transfer-Encoding.
func checkFraming(r *http.Request) *badRequest {
	switch {
	case len(r.TransferEncoding) > 0:
		if c, ok := r.Context().Value(connKey{}).(*clientConn); !ok || c.lengthAsWell(r) {
			return newBadRequest(http.StatusBadRequest, "a Content-Length next to a Transfer-Encoding")
		}
	case r.ContentLength > maxMessageBytes:
		return newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxMessageBytes)
	}
	return nil
}

// forward is what goes on of a request.
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

// parseTimeLeft reads a number with the unit m (milliseconds) or u (microseconds). No client
// waits for longer than its class has it.
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

// weight reads the units and the customer's set of edge nodes. Guards against figures that
// would spoil what the module knows of a customer.
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
