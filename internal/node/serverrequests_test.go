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
func TestEndOfASendingIsNotUndone(t *testing.T) {
	n := newLine(t)
	c, err := n.u.open(t.Context(), n.pool.endpoint)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	c.answers.start(t.Context())
	ctx, end := context.WithCancel(t.Context())
	end()
	_ = c.SetWriteDeadline(deadlinePassed)
	w := &requestWriter{conn: c, ctx: ctx, streams: true}
	begun := time.Now()
	_, err = w.Write(make([]byte, 16*mega)) // more than sockets hold
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Less(t, time.Since(begun), streamIdleTimeout)
}
