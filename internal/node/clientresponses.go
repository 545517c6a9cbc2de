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
func (f *frontend) write(w http.ResponseWriter, resp *response) error {
	f.setHeader(w.Header(), resp)
	body := &bodyWriter{w: w, controller: http.NewResponseController(w)}
	body.extendDeadline()
	w.WriteHeader(resp.status)
	if resp.stream == nil && len(resp.body) <= unbudgetedBytes {
		if _, err := w.Write(resp.body); err != nil {
			return errClientDisconnected
		}
		return nil
	}
	for part := range slices.Chunk(resp.body, 2*unbudgetedBytes) {
		if err := body.writePart(part); err != nil {
			resp.close(err)
			return err
		}
	}
	resp.dropBody()
	if resp.stream == nil {
		return nil
	}
	return body.copyStream(resp)
}

// setHeader sets the header of a response.
func (f *frontend) setHeader(h http.Header, resp *response) {
	// A request may arrive on an open connection after the drain began: what counts is whether the node closes
	// connections now, not when the request arrived.
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	for k, v := range resp.header {
		if !isHopHeader(k) {
			h[k] = v
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing it from the body
	}
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', -1, 64))
	}
	switch {
	case resp.stream == nil:
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	case resp.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
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
func (b *bodyWriter) copyStream(resp *response) error {
	if err := b.writePart(nil); err != nil {
		resp.close(err)
		return err
	}
	for {
		part, err := resp.stream.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := b.writePart(part); err != nil {
			resp.close(err)
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
