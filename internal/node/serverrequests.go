package node

import (
	"context"
	"time"
)

// requestWriter writes a request to a server. While it streams a body, each write must finish within streamIdleTimeout.
type requestWriter struct {
	*serverConn
	ctx       context.Context // context of the sending
	streaming bool            // the header is written, and the body is flushed as it arrives
}

func (w *requestWriter) WriteByte(b byte) error { return w.writer.WriteByte(b) }

func (w *requestWriter) WriteString(s string) (int, error) { return w.writer.WriteString(s) }

func (w *requestWriter) Write(b []byte) (int, error) {
	if !w.streaming {
		return w.writer.Write(b)
	}
	_ = w.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
	// The sending may just have ended: the past deadline that its end set must not be replaced.
	if w.ctx.Err() != nil {
		_ = w.SetWriteDeadline(pastDeadline)
	}
	n, err := w.writer.Write(b)
	if err == nil {
		err = w.writer.Flush()
	}
	return n, err
}

// streamedBody is a streamed body for http.Request.Write. Its first read switches the writer to streaming, as the
// request header is written by then.
type streamedBody struct {
	writer *requestWriter
	prefix []byte
	stream *clientBody
}

func (b *streamedBody) Read(p []byte) (int, error) {
	b.writer.streaming = true
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	b.stream.consumed.Store(true)
	return b.stream.Read(p)
}

func (b *streamedBody) Close() error { return nil }

// send writes a request. A blocked write does not watch ctx: whoever cancels ctx must also set a past write deadline.
func (c *serverConn) send(ctx context.Context, a *attempt) error {
	w := &requestWriter{serverConn: c, ctx: ctx}
	if a.bodyStream != nil {
		a.req.Body = &streamedBody{writer: w, prefix: a.bodyPrefix, stream: a.bodyStream}
	}
	if err := a.req.Write(w); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if w.streaming {
		return c.SetWriteDeadline(time.Time{})
	}
	return nil
}
