package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"sloestile/control"
)

// stats are the metrics that are available without a fleet file. The result of each request is counted exactly once,
// where it is decided. All values are atomics, so that reading them never blocks.
type stats struct {
	classNames []string // names of the classes, sorted
	byClass    map[string]*classStats
	attempts   atomic.Int64 // attempts written completely to servers
	inflight   atomic.Int64 // requests received and not yet ended
	listed     atomic.Int64 // servers in the list
	avoided    atomic.Int64 // listed servers that the decision module avoids
	unserved   atomic.Int64 // requests completed without the event loop
	cutOffs    atomic.Int64 // responses that the end of the process cut off
	examined   atomic.Int64 // servers that the decision module's rules have looked at
	slowestUS  atomic.Int64 // longest event of the loop in the last interval, in microseconds
	longestUS  atomic.Int64 // longest wait of an event for the loop in the last interval, in microseconds
}

// classStats counts the results of one class's requests.
type classStats struct{ success, rejected, failure atomic.Int64 }

func newStats(classes []control.Class) *stats {
	s := &stats{byClass: make(map[string]*classStats, len(classes))}
	for _, k := range classes {
		s.classNames = append(s.classNames, k.Name)
		s.byClass[k.Name] = &classStats{}
	}
	slices.Sort(s.classNames)
	return s
}

// countResponse counts a final response that was written to a client.
func (s *stats) countResponse(class string, status int) {
	t := s.byClass[class]
	switch status {
	case http.StatusOK:
		t.success.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		t.rejected.Add(1)
	default:
		t.failure.Add(1)
	}
}

// write writes the metrics in the Prometheus text format. The label tier is the class.
func (s *stats) write(w io.Writer) {
	for _, m := range []struct {
		name, help string
		counter    func(*classStats) *atomic.Int64
	}{
		{"node_success_total", "Requests served.", func(t *classStats) *atomic.Int64 { return &t.success }},
		{"node_busy_total", "Requests refused.", func(t *classStats) *atomic.Int64 { return &t.rejected }},
		{"node_failure_total", "Requests failed.", func(t *classStats) *atomic.Int64 { return &t.failure }},
	} {
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n", m.name, m.help, m.name)
		for _, name := range s.classNames {
			fmt.Fprintf(w, "%s{tier=%q} %d\n", m.name, name, m.counter(s.byClass[name]).Load())
		}
	}
	writeMetrics(w, []metric{
		{"node_backend_calls_total", "counter", "Attempts written whole to rating servers.", &s.attempts},
		{"node_inflight", "gauge", "Requests taken and not ended.", &s.inflight},
		{"node_hosts_listed", "gauge", "Rating servers in the list.", &s.listed},
		{"node_hosts_down", "gauge", "Listed rating servers that are avoided now.", &s.avoided},
	})
}

// writeLoop writes the metrics of the event loop in the Prometheus text format.
func (s *stats) writeLoop(w io.Writer) {
	writeMetrics(w, []metric{
		{"node_unserved_total", "counter", "Requests completed without the event loop: at their deadline, or as the process ended.", &s.unserved},
		{"node_cut_off_total", "counter", "Responses to requests that came late in a shutdown, cut off by its end.", &s.cutOffs},
		{"node_servers_examined_total", "counter", "Servers that the decisions have looked at.", &s.examined},
		{"node_loop_slowest_us", "gauge", "Longest event of the event loop in the last interval of 5 s, in microseconds.", &s.slowestUS},
		{"node_loop_wait_us", "gauge", "Longest wait of an event for the event loop in the last interval of 5 s, in microseconds.", &s.longestUS},
	})
}

// metric is a metric without labels.
type metric struct {
	name, kind, help string
	value            *atomic.Int64
}

// writeMetrics writes metrics without labels.
func writeMetrics(w io.Writer, metrics []metric) {
	for _, m := range metrics {
		writeMetric(w, m.name, m.kind, m.help, m.value)
	}
}

// writeMetric writes one metric without labels.
func writeMetric(w io.Writer, name, kind, help string, value *atomic.Int64) {
	fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n%s %d\n", name, help, name, kind, name, value.Load())
}

// writeRegistry writes the metrics of a registry in the Prometheus text format.
func writeRegistry(w io.Writer, r *prometheus.Registry) {
	families, err := r.Gather()
	if err != nil {
		slog.Error("metrics: gathering failed", "error", err)
	}
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return
		}
	}
}
