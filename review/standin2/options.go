package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const optionsPeers = 10

// playOptions lets peers connect that send what is no proper request, with a method and a target that no class has.
// Without trouble they are clients with proper requests.
func playOptions(r *record, trouble bool) (res result) {
	var arrived atomic.Int64
	handle := func(s *ratingServer, w http.ResponseWriter, req *http.Request) {
		arrived.Add(1)
		r.line("%s runs %s", s.UID, req.Header.Get("X-Correlation-Id"))
		meter(w)
		_, _ = io.WriteString(w, "rated "+req.Header.Get("X-Correlation-Id"))
	}
	list, err := startServers(9, handle)
	if err != nil {
		return result{cannot: err}
	}
	d, err := startDiscovery(r, list)
	if err != nil {
		return result{cannot: err}
	}
	e, err := startEdge(r, d, edgeOptions{memoryMB: 64, sockets: 384, drainGraceMS: 2000, classes: muscatClasses()})
	if err != nil {
		return result{cannot: err}
	}
	defer e.stop()
	time.Sleep(500 * time.Millisecond)
	for i := range optionsPeers {
		id := fmt.Sprintf("b%015x", i)
		text := get(id, 100+i)
		if trouble {
			text = "OPTIONS * HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
		}
		before := arrived.Load()
		c, err := dialClient(e.address)
		if err != nil {
			return result{cannot: err}
		}
		status, body, err := c.exchange(text, 5*time.Second)
		_ = c.conn.Close()
		ran := arrived.Load() > before
		r.line("peer %d got %d %q %v; a rating server got work: %t", i, status, body, err, ran)
		if status == http.StatusOK && !ran {
			res.broken = append(res.broken, fmt.Sprintf("peer %d was answered 200, and no rating server made the answer", i))
		}
	}
	if !trouble && arrived.Load() == 0 {
		res.cannot = errors.New("no request came to a rating server")
	}
	return res
}
