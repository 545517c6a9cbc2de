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
	zoneCheckInterval = 100 * time.Millisecond // while there is evidence or a zone is evacuated
	zoneOrderTimeout  = time.Second            // for the loop to take an operator's order
)

// zoneEvacuation evacuates zones that fail and returns to them by a recovery ramp. It is owned by the event loop.
type zoneEvacuation struct {
	loop           *loop
	policy         *zone.Policy
	zoneByServer   map[uint32]string // the zone of each listed server
	checkScheduled bool
	lastEvidence   time.Duration // the last evidence
	views          atomic.Pointer[[]zone.View]
}

// newZoneEvacuation makes the policy for the zones that the fleet file names.
func newZoneEvacuation(cfg config.Config, l *loop) *zoneEvacuation {
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
	z := &zoneEvacuation{loop: l, policy: zone.New(own, zones), zoneByServer: make(map[uint32]string)}
	views := z.policy.Views()
	z.views.Store(&views)
	l.metricsRegistry().MustRegister(z)
	w := l.ensureStragglerWatch()
	w.onStraggler = append(w.onStraggler, func(server uint32) { z.observe(server, -1) })
	w.onOutcome = append(w.onOutcome, z.observe)
	return z
}

// updateServer takes an entry of the endpoint list; nil is that the server is no longer listed.
func (z *zoneEvacuation) updateServer(id uint32, t *discovery.Target) {
	if t == nil {
		delete(z.zoneByServer, id)
		return
	}
	z.zoneByServer[id] = t.Zone
}

// observe takes how an attempt ended; took is below zero for one that failed or is late.
func (z *zoneEvacuation) observe(server uint32, took time.Duration) {
	z.lastEvidence = z.loop.now()
	z.policy.Observe(z.lastEvidence, z.zoneByServer[server], uint64(server), 1, took >= 0, max(0, took.Seconds()))
	z.scheduleCheck()
}

// scheduleCheck has check called soon.
func (z *zoneEvacuation) scheduleCheck() {
	if !z.checkScheduled {
		z.checkScheduled = true
		time.AfterFunc(zoneCheckInterval, func() { z.loop.post(z.check) })
	}
}

// check decides anew, and goes on while there is evidence or a zone is not healthy.
func (z *zoneEvacuation) check() {
	z.checkScheduled = false
	now := z.loop.now()
	z.policy.Update(now)
	if z.publish() || now < z.lastEvidence+time.Second {
		z.scheduleCheck()
	}
}

// publish tells the decision module, the log and the console what has changed. cut reports whether a zone is not
// healthy.
func (z *zoneEvacuation) publish() (cut bool) {
	before, views := z.views.Load(), z.policy.Views()
	away := map[string]float64{}
	for name, part := range z.policy.TrafficFractions(0) {
		if part < 1 {
			away[name] = 1 - part
		}
	}
	changed := false
	for i, v := range views {
		cut = cut || v.State != zone.Healthy || v.Fraction < 1
		o := (*before)[i]
		changed = changed || o != v
		if o.State != v.State {
			slog.Info("zones: state of a zone changed", "zone", v.Zone, "state", v.State.String(), "part", v.Fraction, "why", v.Reason, "hold", v.EvacuationTime)
		}
	}
	if changed {
		z.views.Store(&views)
		z.loop.handle(control.ZoneEvacuation{Evacuated: away})
	}
	return cut
}

var zonePart = prometheus.NewDesc("node_zone_part", "Part of its usual traffic that a zone may have.", []string{"zone", "state"}, nil)

// Describe implements prometheus.Collector.
func (z *zoneEvacuation) Describe(to chan<- *prometheus.Desc) { to <- zonePart }

// Collect implements prometheus.Collector.
func (z *zoneEvacuation) Collect(to chan<- prometheus.Metric) {
	for _, v := range *z.views.Load() {
		to <- prometheus.MustNewConstMetric(zonePart, prometheus.GaugeValue, v.Fraction, v.Zone, v.State.String())
	}
}

// handleShow answers what the node does with each zone, and why. The JSON keys are the field names of line.
func (z *zoneEvacuation) handleShow(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	type line struct {
		Zone, State, Order, Why string
		Part                    float64
	}
	var lines []line
	for _, v := range *z.views.Load() {
		lines = append(lines, line{v.Zone, v.State.String(), v.Order.String(), v.Reason, v.Fraction})
	}
	_ = json.NewEncoder(w).Encode(lines)
}

// names returns the zones that orders may name.
func (z *zoneEvacuation) names() (names []string) {
	for _, v := range *z.views.Load() {
		names = append(names, v.Zone)
	}
	return names
}

// handleOrder takes an operator's order on a zone: leave, hold, return or none.
func (z *zoneEvacuation) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, err := zone.ParseOrder(r.URL.Query().Get("order"))
	if err != nil {
		writeError(w, err)
		return
	}
	name, known := r.URL.Query().Get("zone"), make(chan bool, 1)
	z.loop.post(func() {
		ok := z.policy.SetOrder(z.loop.now(), name, o)
		if ok {
			slog.Info("zones: operator's order taken", "zone", name, "order", o.String())
		}
		z.publish()
		z.scheduleCheck()
		known <- ok
	})
	select {
	case ok := <-known:
		if !ok {
			writeError(w, &ZoneError{name, z.names()})
			return
		}
		z.handleShow(w, r)
	case <-time.After(zoneOrderTimeout):
		writeError(w, &BusyError{"zones", zoneOrderTimeout})
	}
}
