package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a time left that was computed before the connection opened: the time that an attempt tells its server
// is at most what is left to the client when it is written.
func TestTimeLeftCountsTheOpeningOfTheConnection(t *testing.T) {
	const timeLeft, opening = 2 * time.Second, 400 * time.Millisecond
	r := newTestNode(t)
	told := make(chan string, 1)
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		told <- q.Header.Get(headerTimeLeft)
		serveOK(w, q)
	})
	r.updateList(a.target("s-1", 0))
	d := blockDials(r)
	c := r.dial()
	begun := time.Now()
	_, _ = io.WriteString(c, rawRequest(http.MethodGet, "roster-read", "id-1", timeLeft))
	receive(t, d.dialing)
	time.Sleep(opening)
	d.proceed <- struct{}{}
	ms, err := strconv.Atoi(strings.TrimSuffix(receive(t, told), "m"))
	require.NoError(t, err)
	const slack = 150 * time.Millisecond
	assert.LessOrEqual(t, time.Duration(ms)*time.Millisecond, timeLeft-opening+slack)
	assert.GreaterOrEqual(t, time.Duration(ms)*time.Millisecond, timeLeft-time.Since(begun)-slack)
	assert.Equal(t, http.StatusOK, readStatus(t, c))
}
