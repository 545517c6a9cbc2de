package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["longbody"] = playLongBody }

// longBody is the length of the clients' bodies in bytes: the pages have up to 32 MB.
const longBody = 448 << 10

// playLongBody: one of four rating servers hangs while clients send long bodies.
func playLongBody(p *play) error {
	f, err := p.startFleet([]string{"hall-a", "hall-a", "hall-b", "hall-c"}, 150*time.Millisecond)
	if err != nil {
		return err
	}
	n, err := p.startNode(f)
	if err != nil {
		return err
	}
	for i := range 8 {
		q := request{method: http.MethodGet, class: "rate-lookup", id: fmt.Sprintf("a0%014x", i), customer: 1, timeLeft: 6 * time.Second}
		a := ask(n.address, &q)
		p.record.printf("client: %s sent %s, got %v", q.id, q.class, a)
		if a.status != http.StatusOK {
			return fmt.Errorf("request %s got %v before the trouble", q.id, a)
		}
	}
	if p.trouble {
		p.record.printf("rating server %s hangs (SIGSTOP)", f.servers[0].UID)
		_ = f.servers[0].cmd.Process.Signal(syscall.SIGSTOP)
	}
	var out sync.WaitGroup
	for i := range 24 { // a charge each 250 ms
		out.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			id := fmt.Sprintf("b0%014x", i)
			p.charge(n, f, &request{method: http.MethodPost, class: "charge-post", id: id, key: "k" + id, customer: uint64(i % 4),
				timeLeft: 3 * time.Second, body: longBody})
		})
	}
	out.Wait()
	return nil
}
