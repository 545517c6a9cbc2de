package discovery

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/faultlink"
)

// caller opens watches and gives their lines.
type caller struct {
	t    *testing.T
	addr string
}

func (c caller) watch() <-chan string {
	lines := make(chan string, 100)
	go func() {
		resp, err := http.Get("http://" + c.addr + "/v1/servers?watch=1&from=1")
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for s := bufio.NewScanner(resp.Body); s.Scan(); {
			lines <- s.Text()
		}
	}()
	return lines
}

func (c caller) hears(lines <-chan string, what string) {
	c.t.Helper()
	select {
	case l := <-lines:
		require.Contains(c.t, l, what)
	case <-time.After(10 * time.Second):
		c.t.Fatalf("%q did not come", what)
	}
}

// While discovery is down the agent learns nothing and holds the calls; when it is back it has all at
// once and answers all. An open watch that falls silent stays so, and a new one is answered.
func TestAgentIsSilentAndComesBack(t *testing.T) {
	has, told := make(chan string, 100), make(chan string, 100)
	a := NewAgent(Notes{Has: func(_ int, state string) { has <- state }, Told: func(_ int, state string) { told <- state }, Answered: func() {}})
	c := caller{t, "127.0.0.1:18500"}
	require.NoError(t, a.Serve(faultlink.NewPath(0, 0, 0), c.addr))
	defer a.Close()
	a.Put(0, Target{UID: "s-1", State: "up"})
	require.Equal(t, "up", <-has)
	first := c.watch()
	c.hears(first, `"rev":1`)

	a.Dark(true)
	held := c.watch()
	a.Put(0, Target{UID: "s-1", State: "draining"})
	require.Empty(t, has)
	a.Dark(false)
	require.Equal(t, "draining", <-has)
	c.hears(first, "draining")
	c.hears(held, "draining")

	a.Full(true)
	resp, err := http.Get("http://" + c.addr + "/v1/servers")
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	a.Full(false)
	first, held = c.watch(), c.watch()
	c.hears(first, "draining")
	c.hears(held, "draining")

	a.Silence()
	a.Put(0, Target{UID: "s-1", State: "removed"})
	require.Equal(t, "removed", <-has)
	c.hears(c.watch(), "removed")
	require.Empty(t, strings.TrimSpace(strings.Join([]string{drain(first), drain(held)}, "")))
	require.ElementsMatch(t, []string{"draining", "draining", "draining", "draining", "removed"},
		[]string{<-told, <-told, <-told, <-told, <-told})
}

// drain gives what lines have come and were not read.
func drain(lines <-chan string) string {
	all := ""
	for {
		select {
		case l := <-lines:
			all += l
		default:
			return all
		}
	}
}
