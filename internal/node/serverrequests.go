package node

import (
	"context"
	"time"
)

// requestWriter writes a request. A streamed body is written as it comes, for as long as the server reads it.
type requestWriter struct {
	*serverConn
	ctx       context.Context // of the sending
	streaming bool
}

func (w *requestWriter) WriteByte(b byte) error { return w.writer.WriteByte(b) }

func (w *requestWriter) WriteString(s string) (int, error) { return w.writer.WriteString(s) }

func (w *requestWriter) Write(b []byte) (int, error) {
	if !w.streaming {
		return w.writer.Write(b)
	}
	_ = w.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
	// The sending may have ended at this moment: its deadline must not be undone.
	if w.ctx.Err() != nil {
		_ = w.SetWriteDeadline(pastDeadline)
	}
	n, err := w.writer.Write(b)
	if err == nil {
		err = w.writer.Flush()
	}
	return n, err
}

// longBody is a streamed body for http.Request.Write. The first read tells the writer that the head has ended.
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

// send writes a request. A write that waits ends by the connection's deadline, which whoever ends ctx must set.
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
