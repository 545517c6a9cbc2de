package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a request that waits for memory for its body while the process ends, and is closed with no response.
func TestBodyThatWaitsForMemoryIsAnsweredAtTheEndOfADrain(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	r.updateList(newTestServer(t, serveOK).target("s-1", 0))
	bodies := r.node.upstream.budget.requestBodies
	for bodies.TryAcquire(1 << 10) { // takes all of the memory for bodies
	}
	c := r.dial()
	begun := time.Now()
	r.stop()
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", postHeaders, maxBufferedBytes/2, patternBytes(maxBufferedBytes/2))
	status, took := timedStatus(t, c, begun)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Less(t, took, r.node.drainTimeout+drainWriteTimeout)
}
