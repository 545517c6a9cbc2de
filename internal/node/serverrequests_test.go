package node

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The end of a sending that comes while the writer gives its next piece its time is not undone: the
// piece does not wait for an app server that takes nothing.
func TestCanceledSendKeepsPastDeadline(t *testing.T) {
	n := newConnPair(t)
	c, err := n.u.open(t.Context(), n.pool.endpoint)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	c.responses.start(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = c.SetWriteDeadline(pastDeadline)
	w := &requestWriter{serverConn: c, ctx: ctx, streaming: true}
	startedAt := time.Now()
	_, err = w.Write(make([]byte, 16*mebibyte)) // more than sockets hold
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Less(t, time.Since(startedAt), streamIdleTimeout)
}
