package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/fleet/zone"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

const (
	lookEach    = 100 * time.Millisecond // at the zones, while there is something to see
	zonesWithin = time.Second            // for the loop to take an order
)

// zoning is the node's part in leaving zones and returning to them. It belongs to the loop.
type zoning struct {
	loop   *loop
	policy *zone.Policy
	of     map[uint32]string // the zone of each listed server
	armed  bool
	seen   time.Duration // the last evidence
	views  atomic.Pointer[[]zone.View]
}

// newZoning makes the policy of the zones that the fleet file names.
func newZoning(cfg config.Config, l *loop) *zoning {
	own := cfg.Settings.Zone
	zones := []zone.Zone{{Name: own}}
	for region, names := range cfg.Fleet.Regions {
		for _, name := range names {
			if name == own {
				continue
			}
			z := zone.Zone{Name: name, Distance: 1}
			if region != cfg.Fleet.Region(own) {
				z.Distance = 2
			}
			zones = append(zones, z)
		}
	}
	z := &zoning{loop: l, policy: zone.New(own, zones), of: make(map[uint32]string)}
	views := z.policy.Views()
	z.views.Store(&views)
	l.registry().MustRegister(z)
	w := l.watch()
	w.late = append(w.late, func(server uint32) { z.saw(server, -1) })
	w.fared = append(w.fared, z.saw)
	return z
}

// listed takes an entry of the list, or that one is gone.
func (z *zoning) listed(id uint32, t *discovery.Target) {
	if t == nil {
		delete(z.of, id)
		return
	}
	z.of[id] = t.Zone
}

// saw takes how an attempt went; took is below zero for one that failed or is late.
func (z *zoning) saw(server uint32, took time.Duration) {
	z.seen = z.loop.now()
	z.policy.Saw(z.seen, z.of[server], uint64(server), 1, took >= 0, max(0, took.Seconds()))
	z.arm()
}

func (z *zoning) arm() {
	if !z.armed {
		z.armed = true
		time.AfterFunc(lookEach, func() { z.loop.post(z.look) })
	}
}

// look decides anew, and goes on while there is evidence or a zone is not whole.
func (z *zoning) look() {
	z.armed = false
	now := z.loop.now()
	z.policy.Look(now)
	if z.publish() || now < z.seen+time.Second {
		z.arm()
	}
}

// publish tells the module, the log and the console of what has changed. It tells whether a zone is
// not whole.
func (z *zoning) publish() (cut bool) {
	before, views := z.views.Load(), z.policy.Views()
	away := map[string]float64{}
	for name, part := range z.policy.Parts(0) {
		if part < 1 {
			away[name] = 1 - part
		}
	}
	changed := false
	for i, v := range views {
		cut = cut || v.State != zone.Healthy || v.Part < 1
		o := (*before)[i]
		changed = changed || o != v
		if o.State != v.State {
			slog.Info("zones: turned", "zone", v.Zone, "state", v.State.String(), "part", v.Part, "why", v.Why, "hold", v.Hold)
		}
	}
	if changed {
		z.views.Store(&views)
		z.loop.handle(control.ZoneEvacuation{Evacuated: away})
	}
	return cut
}

var zonePart = prometheus.NewDesc("node_zone_part", "Part of its usual traffic that a zone may have.", []string{"zone", "state"}, nil)

// Describe names the figures.
func (z *zoning) Describe(to chan<- *prometheus.Desc) { to <- zonePart }

// Collect gives the figures.
func (z *zoning) Collect(to chan<- prometheus.Metric) {
	for _, v := range *z.views.Load() {
		to <- prometheus.MustNewConstMetric(zonePart, prometheus.GaugeValue, v.Part, v.Zone, v.State.String())
	}
}

// show answers what the node does with each zone, and why.
func (z *zoning) show(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	type line struct {
		Zone, State, Order, Why string
		Part                    float64
	}
	var lines []line
	for _, v := range *z.views.Load() {
		lines = append(lines, line{v.Zone, v.State.String(), v.Order.String(), v.Why, v.Part})
	}
	_ = json.NewEncoder(w).Encode(lines)
}

// names gives the zones that orders may name.
func (z *zoning) names() (names []string) {
	for _, v := range *z.views.Load() {
		names = append(names, v.Zone)
	}
	return names
}

// order takes the operators' word on a zone: leave, hold, return or none.
func (z *zoning) order(w http.ResponseWriter, r *http.Request) {
	o, err := zone.ParseOrder(r.URL.Query().Get("order"))
	if err != nil {
		refuse(w, err)
		return
	}
	name, known := r.URL.Query().Get("zone"), make(chan bool, 1)
	z.loop.post(func() {
		ok := z.policy.Tell(z.loop.now(), name, o)
		if ok {
			slog.Info("zones: ordered", "zone", name, "order", o.String())
		}
		z.publish()
		z.arm()
		known <- ok
	})
	select {
	case ok := <-known:
		if !ok {
			refuse(w, &ZoneError{name, z.names()})
			return
		}
		z.show(w, r)
	case <-time.After(zonesWithin):
		refuse(w, &BusyError{"zones", zonesWithin})
	}
}
