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

// transport reaches other members by their dial addresses, and counts what it sends.
type transport struct {
	*memberlist.NetTransport
	dialAddresses map[string]string
	counts        *Counts
}

// to returns the address by which a member is reached.
func (t *transport) dialAddress(a memberlist.Address) memberlist.Address {
	if v, ok := t.dialAddresses[a.Addr]; ok {
		a.Addr = v
	}
	return a
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.counts.SentPackets.Add(1)
	t.counts.SentBytes.Add(int64(len(b)))
	return t.NetTransport.WriteToAddress(b, t.dialAddress(a))
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.counts.Streams.Add(1)
	return t.NetTransport.DialAddressTimeout(t.dialAddress(a), timeout)
}

// lines passes the library's log on. Lines about packets that can't be read are counted.
type logWriter struct {
	logger *slog.Logger
	counts *Counts
}

var _ io.Writer = (*logWriter)(nil)

// Write takes one line of the log.
func (l *logWriter) Write(b []byte) (int, error) {
	level, text := slog.LevelDebug, strings.TrimSpace(string(b))
	for prefix, x := range map[string]slog.Level{"[ERR] ": slog.LevelError, "[WARN] ": slog.LevelWarn, "[INFO] ": slog.LevelInfo} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			level, text = x, rest
		}
	}
	// Packets of other fleets or programs may come often: they are counted, and logged for debugging only.
	if level >= slog.LevelWarn && (strings.Contains(text, "label") || strings.Contains(text, "ecode") || strings.Contains(text, "not supported") || strings.Contains(text, "CRC")) {
		l.counts.Corrupt.Add(1)
		level = slog.LevelDebug
	}
	l.logger.Log(context.Background(), level, text)
	return len(b), nil
}
