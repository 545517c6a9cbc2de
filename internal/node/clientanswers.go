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
func (f *front) write(w http.ResponseWriter, a answer) error {
	f.setHeader(w.Header(), a)
	out := &answerWriter{w: w, control: http.NewResponseController(w)}
	out.extendDeadline()
	w.WriteHeader(a.status)
	if a.stream == nil && len(a.body) <= uncountedBytes {
		if _, err := w.Write(a.body); err != nil {
			return errClientLeft
		}
		return nil
	}
	for part := range slices.Chunk(a.body, 2*uncountedBytes) {
		if err := out.send(part); err != nil {
			a.close(err)
			return err
		}
	}
	if a.stream == nil {
		return nil
	}
	return out.sendStream(a)
}

// setHeader sets the header of an answer.
func (f *front) setHeader(h http.Header, a answer) {
	// A request may come on an open connection after the drain began: what counts is whether the node lets go of
	// connections now, not when the request came.
	if f.closing.Load() {
		h.Set("Connection", "close")
	}
	for k, v := range a.header {
		if !hopHeader(k) {
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
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (o *answerWriter) extendDeadline() {
	_ = o.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
}

// send writes a part and flushes it.
func (o *answerWriter) send(part []byte) error {
	o.extendDeadline()
	if _, err := o.w.Write(part); err != nil {
		return errClientLeft
	}
	if err := o.control.Flush(); err != nil {
		return errClientLeft
	}
	return nil
}

// sendStream writes the rest of an answer as it comes.
func (o *answerWriter) sendStream(a answer) error {
	if err := o.send(nil); err != nil {
		a.close(err)
		return err
	}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := a.stream.Read(buffer[:])
		if n > 0 {
			if gone := o.send(buffer[:n]); gone != nil {
				a.close(gone)
				return gone
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
func hopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", headerMeter, headerCost, headerLoad, headerUnprocessed:
		return true
	}
	return false
}
