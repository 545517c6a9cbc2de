// Package counter is the platform's shared counter: named numbers behind RESP2, served in turn at a
// fixed rate, that can be lost and come back empty.
package counter

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"sloestile/internal/testbed/faultlink"
)

const (
	lifeMost  = 60 * time.Second
	nameMost  = 64
	amountTop = 1e9
	waitMost  = 100 * time.Millisecond // in line; beyond it calls are turned away
	perNode   = 32                     // connections
)

type number struct {
	total float64
	until time.Time
}

// Counter keeps the numbers. It is safe for concurrent use.
type Counter struct {
	per     time.Duration // that one call takes
	mu      sync.Mutex
	numbers map[string]*number
	next    time.Time // when a call that comes now has its turn
	open    bool
	Calls   int
	servers []*redcon.Server
	conns   map[int]int
}

// New makes a counter that serves so many calls a second.
func New(perSecond float64) *Counter {
	return &Counter{per: time.Duration(float64(time.Second) / perSecond), numbers: make(map[string]*number), conns: make(map[int]int)}
}

// Open lets calls in: before the run begins all are turned away.
func (c *Counter) Open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = true
}

// Lose forgets all numbers.
func (c *Counter) Lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.numbers)
}

// Serve answers one node at an address across its path.
func (c *Counter) Serve(p *faultlink.Path, address string) error {
	l, err := p.Listen(address)
	if err != nil {
		return err
	}
	s := redcon.NewServer(address, c.call,
		func(redcon.Conn) bool { return c.came(p.From, 1) <= perNode },
		func(redcon.Conn, error) { c.came(p.From, -1) })
	s.SetIdleClose(10 * time.Second)
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	go func() { _ = s.Serve(l) }() // until Close
	return nil
}

// Close ends the counter.
func (c *Counter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

func (c *Counter) came(node, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[node] += n
	return c.conns[node]
}

func (c *Counter) call(conn redcon.Conn, cmd redcon.Command) {
	switch strings.ToUpper(string(cmd.Args[0])) {
	case "PING":
		conn.WriteString("PONG")
	case "CLIENT", "SELECT":
		conn.WriteString("OK")
	case "ADDGET":
		c.add(conn, cmd.Args[1:])
	default:
		conn.WriteError("ERR no such call")
	}
}

func (c *Counter) add(conn redcon.Conn, args [][]byte) {
	if len(args) != 3 || len(args[0]) == 0 || len(args[0]) > nameMost {
		conn.WriteError("ERR a name, an amount and a life are wanted")
		return
	}
	amount, err1 := strconv.ParseFloat(string(args[1]), 64)
	life, err2 := strconv.Atoi(string(args[2]))
	if err1 != nil || err2 != nil || !(amount <= amountTop && amount >= -amountTop) || life < 1 {
		conn.WriteError("ERR amount or life out of range")
		return
	}
	if !c.turn() {
		conn.WriteError("BUSY")
		return
	}
	total := c.sum(string(args[0]), amount, min(time.Duration(life)*time.Millisecond, lifeMost))
	conn.WriteBulkString(strconv.FormatFloat(total, 'g', 7, 64))
}

// turn waits for a call's turn; it gives false where the line is full.
func (c *Counter) turn() bool {
	c.mu.Lock()
	now := time.Now()
	wait := max(0, c.next.Sub(now))
	if !c.open || wait > waitMost {
		c.mu.Unlock()
		return false
	}
	c.next = now.Add(wait + c.per)
	c.Calls++
	c.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (c *Counter) sum(name string, amount float64, life time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.numbers[name]
	if n == nil || time.Now().After(n.until) {
		n = &number{until: time.Now().Add(life)}
		c.numbers[name] = n
	}
	n.total += amount
	return n.total
}

// Away silences the paths of a counter that is gone, until it is back, empty.
func (c *Counter) Away(ctx context.Context, paths []*faultlink.Path, back time.Duration) {
	var ends []func()
	for _, p := range paths {
		ends = append(ends, p.Begin(faultlink.Trouble{Drop: true}))
	}
	select {
	case <-time.After(back):
	case <-ctx.Done():
	}
	c.Lose()
	for i, p := range paths {
		ends[i]()
		p.Reset()
	}
}
