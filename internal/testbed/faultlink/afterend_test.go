package faultlink

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A write is known to come after the other end's close, and one before it is not, though the other end reads both.
func TestWriteAfterTheOtherEndHasClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := NewPath(0, 1, time.Millisecond).Dial(t.Context(), l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	node, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = node.Close() }()
	_, err = c.Write([]byte("before"))
	require.NoError(t, err)
	assert.False(t, c.WroteAfterEnd())
	require.NoError(t, node.(*net.TCPConn).CloseWrite())
	require.Eventually(t, c.otherEnded, 5*time.Second, time.Millisecond)
	assert.False(t, c.WroteAfterEnd(), "the latest write was before the end")
	_, err = c.Write([]byte("after"))
	require.NoError(t, err)
	assert.True(t, c.WroteAfterEnd())
}
