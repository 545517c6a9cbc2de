package membership

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport reaches others by the addresses that this node has for them, and counts.
type transport struct {
	*memberlist.NetTransport
	via    map[string]string
	counts *Counts
}

func (t *transport) to(a memberlist.Address) memberlist.Address {
	if v, ok := t.via[a.Addr]; ok {
		a.Addr = v
	}
	return a
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.counts.SentPackets.Add(1)
	t.counts.SentBytes.Add(int64(len(b)))
	return t.NetTransport.WriteToAddress(b, t.to(a))
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.counts.Streams.Add(1)
	return t.NetTransport.DialAddressTimeout(t.to(a), timeout)
}

// lines takes the library's log. Its word of packets it can't read is counted.
type lines struct {
	to     *slog.Logger
	counts *Counts
}

var _ io.Writer = (*lines)(nil)

func (l *lines) Write(b []byte) (int, error) {
	level, text := slog.LevelDebug, strings.TrimSpace(string(b))
	for prefix, x := range map[string]slog.Level{"[ERR] ": slog.LevelError, "[WARN] ": slog.LevelWarn, "[INFO] ": slog.LevelInfo} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			level, text = x, rest
		}
	}
	// What others send that is nothing, or another fleet's, is theirs, and may come often.
	if level >= slog.LevelWarn && (strings.Contains(text, "label") || strings.Contains(text, "ecode") || strings.Contains(text, "not supported") || strings.Contains(text, "CRC")) {
		l.counts.Spoilt.Add(1)
		level = slog.LevelDebug
	}
	l.to.Log(context.Background(), level, text)
	return len(b), nil
}
