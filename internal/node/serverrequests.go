package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// errBodyConsumed is the error of an attempt at a request whose body another attempt has begun to consume.
var errBodyConsumed = errors.New("sending the request: another attempt has consumed its body")

// headerEnd is a body that ends the writing of a request behind its header. net/http would copy a body through a buffer of
// its own, which no budget counts.
type headerEnd struct{ reached bool }

// errServerRetired is the error of an attempt at a server that drains or is removed, of which nothing was sent yet.
var errServerRetired = errors.New("sending the request: the server drains or is gone")

// errHeaderEnd is the error by which headerEnd stops net/http.
var errHeaderEnd = errors.New("sending the request: end of the header")

func (h *headerEnd) Read([]byte) (int, error) {
	h.reached = true
	return 0, errHeaderEnd
}

func (h *headerEnd) Close() error { return nil }

// headerWriter writes a header to a bufio.Writer. It hides the writer's ReadFrom, which would keep the error of headerEnd.
type headerWriter struct{ buffered *bufio.Writer }

func (w headerWriter) Write(b []byte) (int, error) { return w.buffered.Write(b) }

// WriteByte keeps net/http from writing through a further buffer.
func (w headerWriter) WriteByte(b byte) error { return w.buffered.WriteByte(b) }

// writeHeader writes the header of a request with a body.
func (c *serverConn) writeHeader(req *http.Request) error {
	end := &headerEnd{}
	req.Body = end
	if err := req.Write(headerWriter{c.writer}); !end.reached {
		return err
	}
	return nil
}

// send writes a request. A blocked write does not watch ctx: whoever cancels ctx must also set a past write deadline.
func (c *serverConn) send(ctx context.Context, a *attempt, memory *budget) error {
	defer c.takeWriter()()
	switch {
	case a.bodyStream != nil:
		return c.sendStream(ctx, a, memory)
	case len(a.body) == 0:
		if err := a.req.Write(c.writer); err != nil {
			return err
		}
	default:
		if err := c.writeHeader(a.req); err != nil {
			return err
		}
		if _, err := c.writer.Write(a.body); err != nil {
			return err
		}
	}
	return c.writer.Flush()
}

// sendStream writes a request whose body is streamed. The header is sent with the first part of the body.
func (c *serverConn) sendStream(ctx context.Context, a *attempt, memory *budget) error {
	if err := c.writeHeader(a.req); err != nil {
		return err
	}
	w := &bodyPartWriter{serverConn: c, ctx: ctx, chunked: a.req.ContentLength < 0, isRetired: a.isRetired}
	prefix, ok := a.bodyStream.unconsumedPrefix()
	if !ok {
		return errBodyConsumed
	}
	if len(prefix) > 0 {
		if err := w.writePart(prefix); err != nil {
			return err
		}
	}
	if !a.bodyStream.consume() {
		return errBodyConsumed
	}
	if err := w.copyBody(a.bodyStream, memory); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// bodyPartWriter writes a streamed body to a server in parts as they arrive. Each part must be written within
// streamIdleTimeout.
type bodyPartWriter struct {
	*serverConn
	ctx       context.Context // context of the sending
	chunked   bool
	started   bool        // a byte of the request was written
	isRetired func() bool // reports whether nothing new may be sent to the server; nil means never
}

// copyBody writes what is left of a body, and the end of a chunked one. The client may have paused before the first part:
// if the server drains or is gone by then, the part is given back.
func (w *bodyPartWriter) copyBody(body *clientBody, memory *budget) error {
	buffer := memory.newStreamBuffer(-1)
	defer buffer.free()
	for {
		n, err := body.Read(buffer.bytes)
		if n > 0 && !w.started && w.isRetired != nil && w.isRetired() {
			body.giveBack(buffer.bytes[:n])
			return errServerRetired
		}
		if n > 0 {
			if writeErr := w.writePart(buffer.bytes[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return w.writeEnd()
		}
		if err != nil {
			return err
		}
	}
}

// writePart writes a part of the body.
func (w *bodyPartWriter) writePart(part []byte) error {
	w.started = true
	w.extendDeadline()
	if w.chunked {
		if _, err := fmt.Fprintf(w.writer, "%x\r\n", len(part)); err != nil {
			return err
		}
	}
	if _, err := w.writer.Write(part); err != nil {
		return err
	}
	if w.chunked {
		if _, err := w.writer.WriteString("\r\n"); err != nil {
			return err
		}
	}
	return w.writer.Flush()
}

// writeEnd writes the end of the body.
func (w *bodyPartWriter) writeEnd() error {
	w.extendDeadline()
	if w.chunked {
		if _, err := w.writer.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	return w.writer.Flush()
}

// extendDeadline gives the server streamIdleTimeout for the next part. The sending may just have ended: the past deadline
// that its end set must not be replaced.
func (w *bodyPartWriter) extendDeadline() {
	_ = w.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
	if w.ctx.Err() != nil {
		_ = w.SetWriteDeadline(pastDeadline)
	}
}
