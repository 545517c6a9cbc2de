package node

import (
	"time"
)

// requestWriter writes a request. The body of one that streams goes out as it comes, for as long
// as the app server takes it.
type requestWriter struct {
	*conn
	streams bool
}

func (w *requestWriter) WriteByte(b byte) error { return w.w.WriteByte(b) }

func (w *requestWriter) WriteString(s string) (int, error) { return w.w.WriteString(s) }

func (w *requestWriter) Write(b []byte) (int, error) {
	if !w.streams {
		return w.w.Write(b)
	}
	w.SetWriteDeadline(time.Now().Add(streamStall))
	if w.in.ctx.Err() != nil {
		w.SetWriteDeadline(past)
	}
	n, err := w.w.Write(b)
	if err == nil {
		err = w.w.Flush()
	}
	return n, err
}

// longBody gives a long body to the request's writer, which it tells where the head has ended.
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

// send writes a request.
func (c *conn) send(a *attempt) error {
	w := &requestWriter{conn: c}
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
