package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/zone"
	"sloestile/internal/golden"
)

// fixedZones returns a zoneEvacuation with a zone in each state and under each order.
func fixedZones() *zoneEvacuation {
	z := &zoneEvacuation{}
	z.views.Store(&[]zone.View{
		{Zone: "z0", State: zone.Healthy, Fraction: 1},
		{Zone: "z1", State: zone.Suspect, Fraction: 0.5, Order: zone.Hold, Reason: "slow", Since: time.Second},
		{Zone: "z2", State: zone.Evacuated, Order: zone.Leave, Reason: "ordered", EvacuationTime: time.Minute},
		{Zone: "z3", State: zone.Returning, Fraction: 0.25, Order: zone.Return, Reason: "returning"},
	})
	return z
}

// The console's response to GET /zones must not change: operators' tools parse it.
func TestZonesResponseMatchesGoldenFile(t *testing.T) {
	w := httptest.NewRecorder()
	fixedZones().handleGet(w, httptest.NewRequest(http.MethodGet, "/zones", nil))
	golden.CheckText(t, "zones", w.Header().Get("Content-Type")+"\n"+w.Body.String())
}

// The name, help text, labels and values of the zones' metric must not change.
func TestZoneMetricMatchesGoldenFile(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(fixedZones())
	families, err := registry.Gather()
	require.NoError(t, err)
	var out strings.Builder
	for _, family := range families {
		_, err := expfmt.MetricFamilyToText(&out, family)
		require.NoError(t, err)
	}
	golden.CheckText(t, "zones-metric", out.String())
}
