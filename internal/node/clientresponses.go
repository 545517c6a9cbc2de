package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// write sends a response to the client. It returns errClientDisconnected if the client does not read it, and another
// error if the source of a streamed response failed.
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

// setHeader sets the header of a response.
func (f *frontend) setHeader(h http.Header, a answer) {
	// A request may arrive on an open connection after the drain began: what counts is whether the node closes
	// connections now, not when the request arrived.
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	for k, v := range a.header {
		if !isHopHeader(k) {
			h[k] = v
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing it from the body
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

// bodyWriter writes a response body in parts, each with its own deadline, so that a client that reads nothing does not
// block it.
type bodyWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func (b *bodyWriter) extendDeadline() {
	_ = b.controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
}

// writePart writes a part of the body and flushes it.
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

// copyStream writes the streamed rest of a response as it arrives.
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

// isHopHeader reports whether a header applies to one hop only and so is not forwarded. This includes the protocol's
// headers from servers to the node.
func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", headerMeter, headerCost, headerLoad, headerUnprocessed:
		return true
	}
	return false
}
