package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stalled"] = playStalled }

// stalledPeers is the number of improper peers at once: about a quarter of the descriptors.
const stalledPeers = 160

// playStalled: other clients stop in the middle of a body and stay.
func playStalled(p *play) error {
	f, err := p.startFleet([]string{"hall-a", "hall-b", "hall-c"}, 150*time.Millisecond)
	if err != nil {
		return err
	}
	n, err := p.startNode(f)
	if err != nil {
		return err
	}
	var out sync.WaitGroup
	defer out.Wait()
	for i := range 56 { // a charge each 250 ms
		out.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			id := fmt.Sprintf("a0%014x", i)
			p.charge(n, f, &request{method: http.MethodPost, class: "charge-post", id: id, key: "k" + id, customer: uint64(i % 8),
				timeLeft: 1500 * time.Millisecond, body: 20000})
		})
	}
	if !p.trouble {
		return nil
	}
	for burst := range 3 {
		time.Sleep(3 * time.Second)
		p.record.printf("%d improper peers connect, and send a head and 3 bytes of a body of 64 KiB", stalledPeers)
		for i := range stalledPeers {
			out.Go(func() { p.stalledPeer(n.address, 1000*burst+i) })
		}
	}
	return nil
}

// stalledPeer sends a head and three bytes of its body, and waits for its error or close.
func (p *play) stalledPeer(address string, number int) {
	c, err := dial(address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	q := request{method: http.MethodPost, class: "charge-post", id: fmt.Sprintf("f0%014x", number), key: "k", customer: 1,
		timeLeft: 3 * time.Second, body: 64 << 10}
	_, _ = c.Write([]byte(q.header() + "xxx"))
	start := time.Now()
	p.record.printf("improper peer: %s got %v", q.id, c.read(start.Add(3*time.Second)).after(start))
}
