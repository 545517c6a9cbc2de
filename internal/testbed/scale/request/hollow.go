// Package request sweeps the costs of the request path of an edge node: of requests, list changes,
// tenants and rules. It drives the program's own controller in hollow nodes, in virtual time.
package request

import (
	"time"

	"sloestile/control"
)

// Servers answer attempts by a model. Serve gives how long the answer to an attempt that begins now
// takes; the work goes on there whether or not somebody waits for it.
type Servers interface {
	Serve(now time.Duration, server uint32, units float64) time.Duration
}

// Node is a hollow edge node. All decisions are those of control.Controller; the node carries out its
// actions as the loop of internal/node does (loop.go, attempts.go), on a virtual clock and with a
// model in place of server connections. Clients' bodies and answers are short, so that no request is
// Long and no answer streams. It is not safe for concurrent use.
type Node struct {
	control   *control.Controller
	clock     *Clock
	servers   Servers
	sendCap   int
	used      int // of a quota, as answers tell it: 1 + percent; 0 is not told
	exchanges map[string]*exchange
	up        map[uint32]bool // servers to which there are connections
	pending   []control.Event // that the node itself caused while it acted
	record    *Recording      // of all that the controller is told; nil is none
	counts    Counts
}

// Counts tell what became of requests, since the node was made or its counts were reset.
type Counts struct {
	Requests, Answered, Refused, Failed int
	Sends                               int
	SentTo                              map[uint32]int
	LastTo                              map[uint32]time.Duration // when a server was last sent to
	Waits                               []time.Duration          // from the arrival of a request to its first send
	Disconnects, Remarks                int
}

// exchange is one client request on its way to its final answer.
type exchange struct {
	request  control.Request
	arrived  time.Duration
	deadline time.Duration
	done     bool // has its final answer, or the client has left
	sends    int
	out      int        // attempts outstanding
	attempts []*attempt // nil is one that was not made
}

// attempt is one request at a server.
type attempt struct {
	server uint32
	sent   time.Duration
	over   bool
}

// NewNode makes a node with a controller of its own.
func NewNode(s control.Settings, seed uint64, clock *Clock, servers Servers, used int) (*Node, error) {
	c, err := control.New(s, seed)
	if err != nil {
		return nil, err
	}
	n := &Node{control: c, clock: clock, servers: servers, sendCap: s.MaxAttempts, used: used,
		exchanges: make(map[string]*exchange), up: make(map[uint32]bool)}
	n.ResetCounts()
	return n, nil
}

// Counts gives what became of requests.
func (n *Node) Counts() *Counts { return &n.counts }

// ResetCounts starts the counts anew.
func (n *Node) ResetCounts() {
	n.counts = Counts{SentTo: make(map[uint32]int), LastTo: make(map[uint32]time.Duration)}
}

// Record has all that the controller is told from now on written down; nil ends it.
func (n *Node) Record(r *Recording) { n.record = r }

// List takes in what discovery tells. Connections to servers that are not up are closed.
func (n *Node) List(e control.EndpointUpdate) {
	if e.Kind != control.Delta {
		clear(n.up)
	}
	for i := range e.Endpoints {
		if m := &e.Endpoints[i]; m.Condition == control.Active {
			n.up[m.Server] = true
		} else {
			delete(n.up, m.Server)
		}
	}
	n.Handle(e)
}

// Begin takes in a client's request, unless one with its id is still held.
func (n *Node) Begin(r control.Request) {
	if n.exchanges[r.ID] != nil {
		return
	}
	now := n.clock.Now()
	n.exchanges[r.ID] = &exchange{request: r, arrived: now, deadline: now + r.TimeLeft}
	n.counts.Requests++
	n.Handle(r)
}

// Handle tells the controller of an event, and of those that follow from what it does.
func (n *Node) Handle(e control.Event) {
	n.pending = append(n.pending, e)
	for len(n.pending) > 0 {
		e := n.pending[0]
		n.pending = n.pending[1:]
		if n.record != nil {
			n.record.add(n.clock.Now(), e)
		}
		for _, a := range n.control.Handle(n.clock.Now(), e) {
			n.act(a)
		}
	}
}

// act carries out an action. Follow, Snapshot, Probe, Say and Count are not carried out on sockets
// either.
func (n *Node) act(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		n.send(a)
	case control.CancelAttempt:
		n.withdraw(a)
	case control.Reject:
		n.finish(n.exchanges[a.ID], &n.counts.Refused)
	case control.Fail:
		n.finish(n.exchanges[a.ID], &n.counts.Failed)
	case control.SetTimer:
		n.clock.After(a.After, func() { n.Handle(control.Timer{Label: a.Label}) })
	case control.Disconnect:
		n.counts.Disconnects++
	case control.LogLine:
		n.counts.Remarks++
	}
}

// send starts an attempt, or tells the controller that it can't be.
func (n *Node) send(a control.Send) {
	x, now := n.exchanges[a.ID], n.clock.Now()
	if x == nil {
		n.pending = append(n.pending, control.AttemptEnded{ID: a.ID, Server: a.Server, Outcome: control.NeverSent, Done: true})
		return
	}
	number := x.sends
	x.sends++
	left := x.deadline - now
	if a.Timeout > 0 && a.Timeout < left {
		left = a.Timeout
	}
	late := a.NotAfter > 0 && now > a.NotAfter
	if !n.up[a.Server] || x.done || left <= 0 || late || n.sendCap > 0 && x.sends > n.sendCap {
		x.attempts = append(x.attempts, nil)
		n.pending = append(n.pending, control.AttemptEnded{ID: a.ID, Attempt: number, Server: a.Server, Outcome: control.NeverSent, Done: x.done})
		return
	}
	x.out++
	at := &attempt{server: a.Server, sent: now}
	x.attempts = append(x.attempts, at)
	n.sent(x, a.Server)
	took, reason := n.servers.Serve(now, a.Server, x.request.Tokens), control.OK
	if took > left {
		took, reason = left, control.TimedOut
	}
	n.clock.After(took, func() { n.settle(x, number, at, reason) })
}

// sent counts an attempt.
func (n *Node) sent(x *exchange, server uint32) {
	n.counts.Sends++
	n.counts.SentTo[server]++
	n.counts.LastTo[server] = n.clock.Now()
	if x.sends == 1 {
		n.counts.Waits = append(n.counts.Waits, n.clock.Now()-x.arrived)
	}
}

// withdraw stops waiting for an attempt: it ends as cancelled, as soon as the loop comes to it.
func (n *Node) withdraw(a control.CancelAttempt) {
	x := n.exchanges[a.ID]
	if x == nil || a.Attempt >= len(x.attempts) || x.attempts[a.Attempt] == nil {
		return
	}
	n.clock.After(0, func() { n.settle(x, a.Attempt, x.attempts[a.Attempt], control.Cancelled) })
}

// settle takes in how an attempt ended. The first good answer is the final one.
func (n *Node) settle(x *exchange, number int, at *attempt, reason control.Outcome) {
	if at.over {
		return
	}
	at.over = true
	x.out--
	r := control.AttemptEnded{ID: x.request.ID, Attempt: number, Server: at.server, Outcome: reason, Latency: n.clock.Now() - at.sent}
	if reason == control.OK {
		r.MeterReading, r.Tokens = n.used, x.request.Tokens
		n.finish(x, &n.counts.Answered)
	}
	r.Done = x.done
	n.release(x)
	n.Handle(r)
}

// finish gives a request its final answer where it has none.
func (n *Node) finish(x *exchange, count *int) {
	if x == nil {
		return
	}
	if !x.done {
		x.done = true
		*count++
	}
	n.release(x)
}

// release forgets a finished request once no attempt of it is out.
func (n *Node) release(x *exchange) {
	if x.done && x.out == 0 {
		delete(n.exchanges, x.request.ID)
	}
}
