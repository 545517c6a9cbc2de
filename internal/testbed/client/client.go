package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sloestile/internal/testbed/ratingserver"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

const (
	lateHeard = 500 * time.Millisecond // beyond its time within which an answer earns nothing and is not lost
	slack     = 50 * time.Millisecond  // of every limit on sockets
	slowRead  = 500 * time.Millisecond // that a slow reader lets an answer wait
	roomPart  = 0.5                    // of a store unused, from which a refusal counts as one with room
)

// Clients sends the day's arrivals and lives through what becomes of each.
type Clients struct {
	Day    *scenario.Day
	Book   *record.Book
	Ledger *refbucket.Ledger
	Nodes  []*Node
	Clock  func() time.Duration
	Killed func(node int, from, to time.Duration) bool // whether it was killed meanwhile
	out    sync.WaitGroup
}

// scheduleAhead is how long before its time a send is scheduled by a timer of its own, so that no send waits for what
// becomes of those before.
const scheduleAhead = 100 * time.Millisecond

// Run sends each arrival at its time, whatever has become of those before, and returns when all
// have ended or ctx has.
func (c *Clients) Run(ctx context.Context) {
	defer c.out.Wait()
	for i := range c.Day.Arrivals {
		a := &c.Day.Arrivals[i]
		if wait := a.At - scheduleAhead - c.Clock(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		c.out.Add(1)
		time.AfterFunc(a.At-c.Clock(), func() {
			defer c.out.Done()
			late := c.Clock() - a.At
			c.Book.With(func() { c.Book.Late = append(c.Book.Late, late) })
			c.request(ctx, i)
		})
	}
}

// request is one request with all its tries.
func (c *Clients) request(ctx context.Context, i int) {
	a := &c.Day.Arrivals[i]
	m := c.Day.Manner(a)
	due := a.At
	for n := range m.Tries {
		left, ok := m.Left(due)
		if !ok || ctx.Err() != nil {
			return
		}
		t := &record.Try{ID: fmt.Sprintf("%016x", m.Uint64()), Arrival: i, N: n, Customer: a.Customer, Class: a.Class,
			Units: a.Units, True: a.True, Due: due, Left: left}
		c.Book.Begin(t)
		c.try(ctx, t, m.Place, m.Hasty, m.Slow)
		if t.End == record.Answered && t.Status == http.StatusOK || t.End == record.Left {
			return
		}
		wait := m.Wait(t.Advice)
		due = c.Clock() + wait
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// place draws the node of a try among those that ok holds for; false where there is none.
func (c *Clients) place(t *record.Try, x float64, ok func(*Node) bool) bool {
	node := c.Day.Pick(t.Customer, max(0, t.Due), x, func(n int) bool { return ok(c.Nodes[n]) })
	c.Book.With(func() { t.Node = node })
	return node >= 0
}

// try sends one try, on a connection kept where there is one. A request that crosses the close of a
// connection used before, and that the node has not read, goes once more on a new one, which the
// front opens to a node that it sends to.
func (c *Clients) try(ctx context.Context, t *record.Try, place float64, hasty, slow bool) {
	if !c.place(t, place, (*Node).Takes) {
		c.ended(t, record.Unsent, 0)
		return
	}
	cn := c.Nodes[t.Node].kept()
	for {
		if cn == nil {
			if !c.Nodes[t.Node].Up() && !c.place(t, place, (*Node).Up) {
				c.ended(t, record.Unsent, 0)
				return
			}
			var err error
			if cn, err = c.Nodes[t.Node].dial(ctx); err != nil {
				c.ended(t, record.Unsent, 0)
				return
			}
		}
		if c.exchange(t, c.Nodes[t.Node], cn, hasty, slow) || !cn.reused || c.read(t) || c.Killed(t.Node, t.Sent, c.Clock()) {
			return
		}
		cn = nil
	}
}

// read tells whether the node has read a try: it has sent it on.
func (c *Clients) read(t *record.Try) (yes bool) {
	c.Book.With(func() { yes = len(t.Attempts) > 0 })
	return yes
}

// exchange writes a try on a connection and reads its answer; it gives false where the node closed
// the connection and had not read the try.
func (c *Clients) exchange(t *record.Try, n *Node, cn *conn, hasty, slow bool) bool {
	t.Fresh, t.Kept = !cn.reused, cn.reused && !n.Up()
	limit := t.Left + lateHeard + slack
	if hasty {
		limit = t.Left
	}
	var over sync.Once
	unheard := record.Open
	timer := time.AfterFunc(limit, func() { // from now, where it can't even be written
		over.Do(func() {
			if unheard = record.Unheard; hasty {
				unheard = record.Left
			}
			_ = cn.Close()
		})
	})
	defer timer.Stop()
	if _, err := cn.Write(c.message(t)); err != nil {
		_ = cn.Close()
		c.ended(t, record.Unsent, 0)
		return false
	}
	timer.Reset(limit)
	c.Book.With(func() { t.Sent = c.Clock() })
	if slow {
		time.Sleep(slowRead)
	}
	if _, err := cn.in.Peek(1); err != nil {
		over.Do(func() {})
		unread := cn.WroteAfterEnd() || cn.unread(err)
		_ = cn.Close()
		if unheard != record.Open {
			c.ended(t, unheard, 0)
			return true
		}
		c.ended(t, record.Broken, 0)
		return !unread
	}
	resp, err := http.ReadResponse(cn.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	over.Do(func() {})
	if err != nil {
		_ = cn.Close()
		end := record.Broken
		if unheard != record.Open {
			end = unheard
		}
		c.ended(t, end, 0)
		return true
	}
	c.answered(t, resp, body)
	if resp.Close {
		_ = cn.Close()
	} else {
		n.put(cn)
	}
	return true
}

func (c *Clients) message(t *record.Try) []byte {
	class, cust := &c.Day.Classes[t.Class], &c.Day.Customers[t.Customer]
	body, method, key := ratingserver.Body(class.Effect, t.ID), "POST", ""
	if class.Effect == "free" {
		method = "GET"
	} else {
		key = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if class.Effect == "guarded" {
		key += "Idempotency-Key: " + t.ID + t.ID + "\r\n"
	}
	return fmt.Appendf(nil, "%s /%s?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: %s\r\n"+
		"X-Time-Left: %dm\r\n%sX-Weight: units=%d,spread=%d,first=%d\r\n\r\n%s", method, class.Name, cust.ID, t.ID,
		c.Day.Plans[cust.Plan].Name, t.Left.Milliseconds(), key, t.Units, cust.Spread, cust.First, body)
}

func (c *Clients) answered(t *record.Try, resp *http.Response, body []byte) {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	genuine := false
	c.Book.With(func() {
		for _, a := range t.Attempts {
			genuine = genuine || string(body) == ratingserver.Answer(t.ID, a.Server)
		}
		t.Genuine = genuine
		t.Advice = refused && resp.Header.Get("Retry-After") != ""
	})
	c.ended(t, record.Answered, resp.StatusCode)
}

func (c *Clients) ended(t *record.Try, e record.End, status int) {
	now := c.Clock()
	killed := t.Node >= 0 && c.Killed(t.Node, t.Due, now)
	room := e != record.Unsent && status != http.StatusOK && c.Ledger.Room(t.Customer, now) >= roomPart
	c.Book.With(func() { t.End, t.Status, t.Ended, t.NodeKilled, t.Room = e, status, now, killed, room })
}
