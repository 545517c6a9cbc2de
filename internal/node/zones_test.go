package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"sloestile/fleet/zone"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// A zone whose servers reset all requests is evacuated, and no more requests are sent to it. The console shows the
// states and reasons, and executes operators' orders, which take precedence over the outcomes of attempts.
func TestFailingZoneIsEvacuated(t *testing.T) {
	healthy, failing := newTestServer(t, serveOK), newTestServer(t, resetConn)
	r := newTestNodeWith(t, func(c *config.Config) {
		c.Fleet = &config.Fleet{Regions: map[string][]string{"gulf": {"z1", "z2"}}, Zones: &config.Zones{Evacuate: true}}
	})
	a := healthy.target("a", 1)
	a.Zone = "z1"
	all := []discovery.Target{a}
	for i := range 8 { // a single failing server would be ejected before its zone is evacuated
		b := failing.target(fmt.Sprint("b", i), 1)
		b.Zone = "z2"
		all = append(all, b)
	}
	r.updateList(all...)
	state := func(want zone.State) func() bool {
		return func() bool {
			for _, v := range *r.node.loop.zones.views.Load() {
				if v.Zone == "z2" {
					return v.State == want
				}
			}
			return false
		}
	}
	for i := range 60 {
		r.do(r.newRequest(http.MethodGet, "/roster-read", fmt.Sprint(i)))
	}
	r.waitUntil("evacuation of the zone", state(zone.Evacuated))
	n := failing.requestCount()
	for i := range 20 {
		if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", fmt.Sprint("x", i))); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d while the other zone serves", resp.StatusCode)
		}
	}
	if got := failing.requestCount(); got != n {
		t.Errorf("%d attempts sent to the evacuated zone", got-n)
	}
	call := func(method, path string) (int, string) {
		req, err := http.NewRequest(method, "http://"+r.node.console.listener.Addr().String()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
	if code, body := call(http.MethodGet, "/zones"); code != 200 || !strings.Contains(body, `"left"`) || !strings.Contains(body, "most of it fails") {
		t.Errorf("%d %s", code, body)
	}
	if code, body := call(http.MethodPost, "/zones?zone=z1&order=leave"); code != 200 || !strings.Contains(body, `"leave"`) {
		t.Errorf("%d %s", code, body)
	}
	for path, want := range map[string]int{"/zones?zone=z9&order=leave": 404, "/zones?zone=z1&order=go": 400} {
		if code, body := call(http.MethodPost, path); code != want {
			t.Errorf("%s: %d %s", path, code, body)
		}
	}
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "last")); resp.StatusCode == 0 {
		t.Error("no response while all zones are evacuated")
	}
}
