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
	zoneCheckInterval = 100 * time.Millisecond // interval of checks while there are new outcomes or a zone is not healthy
	zoneOrderTimeout  = time.Second            // timeout for the loop to execute an operator's order
)

// zoneEvacuation moves traffic away from zones that fail and returns it by a recovery ramp. It is owned by the event
// loop; other goroutines may only read views.
type zoneEvacuation struct {
	loop           *loop
	policy         *zone.Policy
	zoneByServer   map[uint32]string // zone of each listed server, by server ID
	checkScheduled bool
	lastEvidence   time.Duration               // time of the last observation
	views          atomic.Pointer[[]zone.View] // states of all zones, for the console and the metrics
}

// newZoneEvacuation returns the evacuation of the zones that the fleet file names. It observes the attempts through the
// straggler watch.
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

// updateServer applies an entry of the endpoint list. A nil entry means that the server is no longer listed.
func (z *zoneEvacuation) updateServer(id uint32, t *discovery.Target) {
	if t == nil {
		delete(z.zoneByServer, id)
		return
	}
	z.zoneByServer[id] = t.Zone
}

// observe records the outcome of an attempt at a server. A negative duration means that the attempt failed or is late.
func (z *zoneEvacuation) observe(server uint32, duration time.Duration) {
	z.lastEvidence = z.loop.now()
	z.policy.Observe(z.lastEvidence, z.zoneByServer[server], uint64(server), 1, duration >= 0, max(0, duration.Seconds()))
	z.scheduleCheck()
}

// scheduleCheck schedules a check after zoneCheckInterval, unless one is scheduled.
func (z *zoneEvacuation) scheduleCheck() {
	if !z.checkScheduled {
		z.checkScheduled = true
		time.AfterFunc(zoneCheckInterval, func() { z.loop.post(z.check) })
	}
}

// check updates the states of the zones. It schedules another check while there are new outcomes or a zone is not
// healthy.
func (z *zoneEvacuation) check() {
	z.checkScheduled = false
	now := z.loop.now()
	z.policy.Update(now)
	if z.publish() || now < z.lastEvidence+time.Second {
		z.scheduleCheck()
	}
}

// publish logs changes of zones' states and passes changes to the decision module, the console and the metrics.
// unhealthy reports whether a zone is not healthy or has less than its usual traffic.
func (z *zoneEvacuation) publish() (unhealthy bool) {
	oldViews, views := z.views.Load(), z.policy.Views()
	evacuated := map[string]float64{}
	for name, fraction := range z.policy.TrafficFractions(0) {
		if fraction < 1 {
			evacuated[name] = 1 - fraction
		}
	}
	changed := false
	for i, v := range views {
		unhealthy = unhealthy || v.State != zone.Healthy || v.Fraction < 1
		old := (*oldViews)[i]
		changed = changed || old != v
		if old.State != v.State {
			slog.Info("zones: state of a zone changed", "zone", v.Zone, "state", v.State.String(), "part", v.Fraction, "why", v.Reason, "hold", v.EvacuationTime)
		}
	}
	if changed {
		z.views.Store(&views)
		z.loop.handle(control.ZoneEvacuation{Evacuated: evacuated})
	}
	return unhealthy
}

// zoneFractionDesc describes the metric of the zones' traffic fractions.
var zoneFractionDesc = prometheus.NewDesc("node_zone_part", "Part of its usual traffic that a zone may have.", []string{"zone", "state"}, nil)

// Describe implements prometheus.Collector.
func (z *zoneEvacuation) Describe(to chan<- *prometheus.Desc) { to <- zoneFractionDesc }

// Collect implements prometheus.Collector.
func (z *zoneEvacuation) Collect(to chan<- prometheus.Metric) {
	for _, v := range *z.views.Load() {
		to <- prometheus.MustNewConstMetric(zoneFractionDesc, prometheus.GaugeValue, v.Fraction, v.Zone, v.State.String())
	}
}

// handleGet answers with the state of each zone and its reason. The JSON keys are the field names of line.
func (z *zoneEvacuation) handleGet(w http.ResponseWriter, _ *http.Request) {
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

// zoneNames returns the names of the zones.
func (z *zoneEvacuation) zoneNames() (names []string) {
	for _, v := range *z.views.Load() {
		names = append(names, v.Zone)
	}
	return names
}

// handleOrder executes an operator's order on a zone: leave, hold, return or none.
func (z *zoneEvacuation) handleOrder(w http.ResponseWriter, r *http.Request) {
	order, err := zone.ParseOrder(r.URL.Query().Get("order"))
	if err != nil {
		writeError(w, err)
		return
	}
	name, result := r.URL.Query().Get("zone"), make(chan bool, 1)
	z.loop.post(func() {
		ok := z.policy.SetOrder(z.loop.now(), name, order)
		if ok {
			slog.Info("zones: executed an operator's order", "zone", name, "order", order.String())
		}
		z.publish()
		z.scheduleCheck()
		result <- ok
	})
	select {
	case ok := <-result:
		if !ok {
			writeError(w, &ZoneError{name, z.zoneNames()})
			return
		}
		z.handleGet(w, r)
	case <-time.After(zoneOrderTimeout):
		writeError(w, &BusyError{"zones", zoneOrderTimeout})
	}
}
