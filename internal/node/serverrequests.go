package node

import (
	"context"
	"time"
)

// requestWriter writes a request. A streamed body is written as it comes, for as long as the server reads it.
type requestWriter struct {
	*conn
	ctx     context.Context // of the sending
	streams bool
}

func (w *requestWriter) WriteByte(b byte) error { return w.w.WriteByte(b) }

func (w *requestWriter) WriteString(s string) (int, error) { return w.w.WriteString(s) }

func (w *requestWriter) Write(b []byte) (int, error) {
	if !w.streams {
		return w.w.Write(b)
	}
	_ = w.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
	// The sending may have ended at this moment: its deadline must not be undone.
	if w.ctx.Err() != nil {
		_ = w.SetWriteDeadline(deadlinePassed)
	}
	n, err := w.w.Write(b)
	if err == nil {
		err = w.w.Flush()
	}
	return n, err
}

// longBody is a streamed body for http.Request.Write. The first read tells the writer that the head has ended.
type longBody struct {
	to    *requestWriter
	first []byte
	rest  *clientBody
}

func (b *longBody) Read(p []byte) (int, error) {
	b.to.streams = true
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	b.rest.spent.Store(true)
	return b.rest.Read(p)
}

func (b *longBody) Close() error { return nil }

// send writes a request. A write that waits ends by the connection's deadline, which whoever ends ctx must set.
func (c *conn) send(ctx context.Context, a *attempt) error {
	w := &requestWriter{conn: c, ctx: ctx}
	if a.rest != nil {
		a.req.Body = &longBody{to: w, first: a.first, rest: a.rest}
	}
	if err := a.req.Write(w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	if w.streams {
		return c.SetWriteDeadline(time.Time{})
	}
	return nil
}
