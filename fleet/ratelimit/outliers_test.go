package ratelimit

import (
	"testing"
	"time"
)

// newFleetWithTraffic returns a fleet of ten nodes that have exchanged messages, so that the ages of reports are known.
func newFleetWithTraffic(t *testing.T) *fleet {
	f := newFleet(10)
	for range 10 {
		for i := range f.limiters {
			f.consume(i, 1)
		}
		f.run(t, 100*time.Millisecond, deliverOnce)
	}
	return f
}

// outliersByNode runs the fleet for d and returns, by node, the outliers that it finds and their number of reporters.
func (f *fleet) outliersByNode(t *testing.T, d time.Duration, copies func(a, b int) int) map[int]map[Server]int {
	got := map[int]map[Server]int{}
	for end := f.now + d; f.now < end; {
		f.run(t, 20*time.Millisecond, copies)
		for i, limiter := range f.limiters {
			for _, outlier := range limiter.Outliers(f.clock(i), 5) {
				if got[i] == nil {
					got[i] = map[Server]int{}
				}
				got[i][outlier.Server] = outlier.Reporters
				if outlier.ReportedAt > f.clock(i) || outlier.ReportedAt < f.clock(i)-OutlierReportLifetime {
					t.Errorf("node %d finds an outlier reported at %v, now is %v", i, outlier.ReportedAt, f.clock(i))
				}
			}
		}
	}
	return got
}

// TestOutlierNeedsAgreeingReports guards against outliers that are not found at all nodes, and against healthy servers
// that are taken for outliers because the reporting nodes have bad links.
func TestOutlierNeedsAgreeingReports(t *testing.T) {
	slowServer := Server{Key: 3, StartedAt: 1}
	for _, test := range []struct {
		name        string
		report      func(f *fleet)
		wantNodes   int // nodes that find an outlier
		copies      func(a, b int) int
		wantServers int // outliers that each of these nodes finds
	}{
		{"four nodes report the same server", func(f *fleet) {
			for i := range 4 {
				f.limiters[i].ReportOutlier(f.clock(i), slowServer)
			}
		}, 10, deliverOnce, 1},
		{"one node with a bad link reports all servers", func(f *fleet) {
			for n := range uint64(5) {
				f.limiters[0].ReportOutlier(f.clock(0), Server{Key: n, StartedAt: 1})
			}
		}, 0, deliverOnce, 0},
		{"four nodes with bad links report all servers", func(f *fleet) {
			for i := range 4 {
				for n := range uint64(5) {
					f.limiters[i].ReportOutlier(f.clock(i), Server{Key: n, StartedAt: 1})
				}
			}
		}, 0, deliverOnce, 0},
		{"two nodes report different starts of a server", func(f *fleet) {
			f.limiters[0].ReportOutlier(f.clock(0), slowServer)
			f.limiters[1].ReportOutlier(f.clock(1), Server{Key: 3, StartedAt: 2})
		}, 0, deliverOnce, 0},
		{"all messages are lost", func(f *fleet) {
			for i := range 4 {
				f.limiters[i].ReportOutlier(f.clock(i), slowServer)
			}
		}, 0, func(int, int) int { return 0 }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleetWithTraffic(t)
			test.report(f)
			got := f.outliersByNode(t, 1500*time.Millisecond, test.copies)
			if len(got) != test.wantNodes {
				t.Errorf("%d nodes find an outlier, want %d: %v", len(got), test.wantNodes, got)
			}
			for i, servers := range got {
				if len(servers) != test.wantServers {
					t.Errorf("node %d finds outliers %v, want %d", i, servers, test.wantServers)
				}
			}
		})
	}
}

// TestReportsFarApartFindNoOutlier guards against an outlier found from unrelated reports: six nodes report a server
// one after the other, further apart than agreementWindow.
func TestReportsFarApartFindNoOutlier(t *testing.T) {
	f := newFleetWithTraffic(t)
	for i := range 6 {
		f.limiters[i].ReportOutlier(f.clock(i), Server{Key: 3, StartedAt: 1})
		if got := f.outliersByNode(t, 800*time.Millisecond, deliverOnce); len(got) > 0 {
			t.Fatalf("found outliers %v from reports 0.8 s apart", got)
		}
	}
}

// TestRememberedOutlierReportsAreBounded guards against unbounded state: reports on 12000 servers must not make a node
// keep more than maxReportedServers.
func TestRememberedOutlierReportsAreBounded(t *testing.T) {
	limiter := NewLimiter(Config{Node: 0, FleetSize: 4, Incarnation: 1, MaxTenants: 100}, 0)
	for n := range uint64(12000) {
		limiter.outlierReports.add(outlierReportKey{Server{Key: n, StartedAt: n}, int(n % 4)}, time.Duration(n))
	}
	if reports := &limiter.outlierReports; len(reports.reports) > maxReportedServers || len(reports.changed) > maxReportedServers {
		t.Errorf("reports on %d servers kept, %d of them changed", len(reports.reports), len(reports.changed))
	}
}
