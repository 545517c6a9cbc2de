package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// write sends an answer for as long as the client reads it. It returns errClientLeft where the client does not, and
// another error where a streamed answer has begun and can't be finished.
func (f *frontend) write(w http.ResponseWriter, a answer) error {
	f.setHeader(w.Header(), a)
	body := &bodyWriter{w: w, controller: http.NewResponseController(w)}
	body.extendDeadline()
	w.WriteHeader(a.status)
	if a.stream == nil && len(a.body) <= unbudgetedBytes {
		if _, err := w.Write(a.body); err != nil {
			return errClientDisconnected
		}
		return nil
	}
	for part := range slices.Chunk(a.body, 2*unbudgetedBytes) {
		if err := body.writePart(part); err != nil {
			a.close(err)
			return err
		}
	}
	if a.stream == nil {
		return nil
	}
	return body.copyStream(a)
}

// setHeader sets the header of an answer.
func (f *frontend) setHeader(h http.Header, a answer) {
	// A request may come on an open connection after the drain began: what counts is whether the node lets go of
	// connections now, not when the request came.
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	for k, v := range a.header {
		if !isHopHeader(k) {
			h[k] = v
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // net/http must not guess it from the body
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
}

// answerWriter writes the body of an answer in parts, each with a deadline of its own, so that a client that reads
// nothing does not hold it.
type bodyWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func (b *bodyWriter) extendDeadline() {
	_ = b.controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
}

// send writes a part and flushes it.
func (b *bodyWriter) writePart(part []byte) error {
	b.extendDeadline()
	if _, err := b.w.Write(part); err != nil {
		return errClientDisconnected
	}
	if err := b.controller.Flush(); err != nil {
		return errClientDisconnected
	}
	return nil
}

// sendStream writes the rest of an answer as it comes.
func (b *bodyWriter) copyStream(a answer) error {
	if err := b.writePart(nil); err != nil {
		a.close(err)
		return err
	}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := a.stream.Read(buffer[:])
		if n > 0 {
			if writeErr := b.writePart(buffer[:n]); writeErr != nil {
				a.close(writeErr)
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// hopHeader reports whether a header is about one connection or hop only and so is not forwarded.
func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", headerMeter, headerCost, headerLoad, headerUnprocessed:
		return true
	}
	return false
}
