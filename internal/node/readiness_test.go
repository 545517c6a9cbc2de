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

// A process is ready at once by the list that it knows, and by its bound without one, whatever
// discovery does. Until it has a server it refuses; once it is told one it serves.
func TestReadyWhateverDiscoveryAnswers(t *testing.T) {
	require.Less(t, readyTimeout, 10*time.Second, "nine in ten processes are ready by then")
	for name, serveList := range map[string]func(w http.ResponseWriter, r *http.Request, tell <-chan string){
		"turns away": func(w http.ResponseWriter, _ *http.Request, _ <-chan string) {
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"resets":     func(w http.ResponseWriter, r *http.Request, _ <-chan string) { resetConn(w, r) },
		"is silent":  func(_ http.ResponseWriter, r *http.Request, _ <-chan string) { <-r.Context().Done() },
		"is garbled": func(w http.ResponseWriter, _ *http.Request, _ <-chan string) { _, _ = fmt.Fprintln(w, "<html>") },
		"is slow": func(w http.ResponseWriter, r *http.Request, tell <-chan string) {
			select { // not before the node is ready
			case line := <-tell:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
			}
			<-r.Context().Done()
		},
		"lists nobody": func(w http.ResponseWriter, r *http.Request, tell <-chan string) {
			line := `{"rev":9,"all":true,"targets":[]}`
			for {
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
				select {
				case line = <-tell:
				case <-r.Context().Done():
					return
				}
			}
		},
		"is down": nil,
	} {
		for _, listKnown := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", known ", listKnown), func(t *testing.T) {
				t.Parallel()
				server := newTestServer(t, serveOK)
				knownList := discovery.Update{Rev: 7, All: true, Targets: []discovery.Target{server.target("s-1", 0)}}
				lines := make(chan string, 1)
				discoveryServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveList(w, r, lines) }))
				_ = discoveryServer.Listener.Close()
				// On a host of its own: a port that is free again could go to another test's discovery, which would get this node's calls.
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
				sendsList := name == "is slow" || name == "lists nobody"
				if sendsList && !listKnown { // refused until then
					got, _ := r.do(r.newShortRequest("id-0"))
					require.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
				}
				if sendsList {
					knownList.Rev = 10
					line, err := json.Marshal(knownList)
					require.NoError(t, err)
					lines <- string(line)
					r.waitUntil("the list", func() bool { return r.node.loop.listRevision == 10 })
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

// impatient is a request whose turn has to come soon.
func (r *testNode) newShortRequest(id string) *http.Request {
	q := r.newRequest(http.MethodGet, "/roster-read", id)
	q.Header.Set(headerTimeLeft, "300m")
	return q
}
