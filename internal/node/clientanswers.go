package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// write sends an answer, whatever it is, for as long as the client takes it. Another error than
// errLeft is of an answer that has begun and can't be finished.
func (f *front) write(w http.ResponseWriter, a answer) error {
	limit := http.NewResponseController(w)
	h := w.Header()
	// Guards against requests that come on a held one's connection after the drain: what
	// counts is whether the node lets go now, not when the request came.
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	for k, v := range a.header {
		if !hopHeader(k) {
			h[k] = v
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // not to be guessed from the body
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	switch {
	case a.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	// Guards against a client that takes nothing: each piece has its own time.
	_ = limit.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	w.WriteHeader(a.status)
	if a.stream == nil && len(a.body) <= uncountedBytes {
		if _, err := w.Write(a.body); err != nil {
			return errClientLeft
		}
		return nil
	}
	send := func(b []byte) error {
		_ = limit.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		if _, err := w.Write(b); err != nil {
			return errClientLeft
		}
		if err := limit.Flush(); err != nil {
			return errClientLeft
		}
		return nil
	}
	for part := range slices.Chunk(a.body, 2*uncountedBytes) {
		if err := send(part); err != nil {
			a.close(err)
			return err
		}
	}
	if a.stream == nil {
		return nil
	}
	if err := send(nil); err != nil {
		a.close(err)
		return err
	}
	piece := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(piece)
	for {
		n, err := a.stream.Read(piece[:])
		if n > 0 {
			if err := send(piece[:n]); err != nil {
				a.close(err)
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// ownHeader tells whether a header speaks of one connection or hop only.
func hopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", headerMeter, headerCost, headerLoad, headerUnprocessed:
		return true
	}
	return false
}
