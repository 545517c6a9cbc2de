package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"sloestile/internal/discovery"
)

// newSubsetDroppedCounter returns the counter of dropped updates of the endpoint list.
func newSubsetDroppedCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "node_subset_dropped_total", Help: "Lists and changes of them that were dropped whole."})
}

// registerSubsetMetrics registers the metrics of the subset.
func registerSubsetMetrics(r *prometheus.Registry, c *discovery.Counts, dropped prometheus.Counter) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_subset_listed", Help: "Rating servers in the whole list."},
			func() float64 { return float64(c.Listed.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_subset_chosen", Help: "Rating servers of it that this node uses."},
			func() float64 { return float64(c.Chosen.Load()) }),
		dropped)
}
