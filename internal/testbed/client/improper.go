package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// improper is what peers send that are no clients; "" is silence.
var improper = []string{
	"", "GET", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "GET /rate-lookup HTTP/1.1\r\nHost: origin.svc\r\n",
	"POST /charge-post?account=zz HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: -4\r\n\r\n", "\r\n\r\n\x00\x00",
	"GET /rate-lookup?account=00000000b4d65521 HTTP/9.9\r\n\r\n", "PING\r\n",
}

const improperWait = 6 * time.Second

// Improper sends what is no request, so many times a second, and notes how long each peer waited
// for an error or a close, until ctx ends.
func (c *Clients) Improper(ctx context.Context, perSecond float64) {
	rng := rand.New(rand.NewPCG(c.Day.Seed, 77))
	var out sync.WaitGroup
	defer out.Wait()
	for i := 0; ; i++ {
		select {
		case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		n := c.Nodes[rng.IntN(len(c.Nodes))]
		if n.Up() {
			out.Go(func() { c.bother(ctx, n, improper[i%len(improper)]) })
		}
	}
}

func (c *Clients) bother(ctx context.Context, n *Node, text string) {
	cn, err := n.dial(ctx)
	if err != nil {
		return
	}
	defer func() { _ = cn.Close() }()
	from := c.Clock()
	stop := time.AfterFunc(improperWait, func() { _ = cn.Close() })
	defer stop.Stop()
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })()
	if _, err := cn.Write([]byte(text)); err == nil {
		_, _ = cn.in.Peek(1) // an error or a close; a served answer would be counted by its id
	}
	took := c.Clock() - from
	if !c.Killed(n.Index, from, c.Clock()) && ctx.Err() == nil {
		c.Book.With(func() { c.Book.Improper = append(c.Book.Improper, took) })
	}
}
