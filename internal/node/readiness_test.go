package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// A node becomes ready at once if it knows a cached list, and after readyTimeout without one, whatever discovery
// answers. It rejects requests until a server is listed, and serves them afterwards.
func TestReadyWhateverDiscoveryAnswers(t *testing.T) {
	require.Less(t, readyTimeout, 10*time.Second, "nine in ten processes have to be ready within 10 s")
	for name, serveList := range map[string]func(w http.ResponseWriter, r *http.Request, lines <-chan string){
		"discovery answers 503": func(w http.ResponseWriter, _ *http.Request, _ <-chan string) {
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"discovery resets connections": func(w http.ResponseWriter, r *http.Request, _ <-chan string) { resetConn(w, r) },
		"discovery does not answer":    func(_ http.ResponseWriter, r *http.Request, _ <-chan string) { <-r.Context().Done() },
		"discovery sends no JSON":      func(w http.ResponseWriter, _ *http.Request, _ <-chan string) { _, _ = fmt.Fprintln(w, "<html>") },
		"discovery sends the list late": func(w http.ResponseWriter, r *http.Request, lines <-chan string) {
			select { // sent only after the node is ready
			case line := <-lines:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
			}
			<-r.Context().Done()
		},
		"discovery sends an empty list": func(w http.ResponseWriter, r *http.Request, lines <-chan string) {
			line := `{"rev":9,"all":true,"targets":[]}`
			for {
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
				select {
				case line = <-lines:
				case <-r.Context().Done():
					return
				}
			}
		},
		"discovery is down": nil,
	} {
		for _, listKnown := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", cached list ", listKnown), func(t *testing.T) {
				t.Parallel()
				server := newTestServer(t, serveOK)
				knownList := discovery.Update{Rev: 7, All: true, Targets: []discovery.Target{server.target("s-1", 0)}}
				lines := make(chan string, 1)
				discoveryServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveList(w, r, lines) }))
				_ = discoveryServer.Listener.Close()
				// Use a separate IP address: on a shared one the freed port could be assigned to the discovery of
				// another test, which would then get this node's calls.
				var err error
				discoveryServer.Listener, err = net.Listen("tcp", uniqueHost()+":0")
				require.NoError(t, err)
				discoveryServer.Start()
				t.Cleanup(discoveryServer.Close)
				if serveList == nil {
					discoveryServer.Close()
				}
				r := newTestNodeWith(t, func(c *config.Config) {
					if c.Discovery = discoveryServer.Listener.Addr().String(); listKnown {
						c.KnownServers = knownList
					}
				}, func(n *Node) {
					if n.readyTimeout = 100 * time.Millisecond; listKnown {
						n.readyTimeout = time.Hour
					}
				})
				r.waitUntil("ready", r.node.front.ready.Load)
				sendsList := name == "discovery sends the list late" || name == "discovery sends an empty list"
				if sendsList && !listKnown { // rejected until a list arrives
					got, _ := r.do(r.newShortRequest("id-0"))
					require.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
				}
				if sendsList {
					knownList.Rev = 10
					line, err := json.Marshal(knownList)
					require.NoError(t, err)
					lines <- string(line)
					r.waitUntil("revision 10 of the list", func() bool { return r.node.loop.listRevision == 10 })
				}
				got, _ := r.do(r.newShortRequest("id-1"))
				if listKnown || sendsList {
					require.Equal(t, http.StatusOK, got.StatusCode)
					return
				}
				require.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
				after, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Positive(t, after)
			})
		}
	}
}

// newShortRequest returns a request with a short time limit, so that it does not wait long in the queue.
func (r *testNode) newShortRequest(id string) *http.Request {
	q := r.newRequest(http.MethodGet, "/roster-read", id)
	q.Header.Set(headerTimeLeft, "300m")
	return q
}
