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

// transport dials other members at their dial addresses and counts packets, bytes and streams.
type transport struct {
	*memberlist.NetTransport
	dialAddresses map[string]string
	counts        *Counts
}

// dialAddress returns the address at which a member is dialed.
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

// logWriter passes memberlist's log lines to a logger. It counts lines about packets that can't be decoded.
type logWriter struct {
	logger *slog.Logger
	counts *Counts
}

var _ io.Writer = (*logWriter)(nil)

// Write logs one line of memberlist's log.
func (l *logWriter) Write(b []byte) (int, error) {
	level, text := slog.LevelDebug, strings.TrimSpace(string(b))
	for prefix, x := range map[string]slog.Level{"[ERR] ": slog.LevelError, "[WARN] ": slog.LevelWarn, "[INFO] ": slog.LevelInfo} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			level, text = x, rest
		}
	}
	// Packets of other fleets or programs may be frequent: they are counted, and logged at debug level only.
	if level >= slog.LevelWarn && (strings.Contains(text, "label") || strings.Contains(text, "ecode") || strings.Contains(text, "not supported") || strings.Contains(text, "CRC")) {
		l.counts.Corrupt.Add(1)
		level = slog.LevelDebug
	}
	l.logger.Log(context.Background(), level, text)
	return len(b), nil
}
