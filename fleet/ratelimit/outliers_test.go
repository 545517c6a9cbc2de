package ratelimit

import (
	"testing"
	"time"
)

// courtroom is a fleet of ten nodes whose links have all carried something, so that ages can be told.
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

// condemned gives the servers that each node is told of in a while.
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
					t.Errorf("node %d is told a verdict of %v, now is %v", i, outlier.ReportedAt, f.clock(i))
				}
			}
		}
	}
	return got
}

func TestOutliers(t *testing.T) {
	slowServer := Server{Key: 3, StartedAt: 1}
	for _, test := range []struct {
		name        string
		report      func(f *fleet)
		wantNodes   int // that are told of some server
		copies      func(a, b int) int
		wantServers int // that they are told of
	}{
		{"four are silent to at one server", func(f *fleet) {
			for i := range 4 {
				f.limiters[i].ReportOutlier(f.clock(i), slowServer)
			}
		}, 10, deliverOnce, 1},
		{"one node's own link is bad: all servers are silent to it", func(f *fleet) {
			for n := range uint64(5) {
				f.limiters[0].ReportOutlier(f.clock(0), Server{Key: n, StartedAt: 1})
			}
		}, 0, deliverOnce, 0},
		{"four nodes' links are bad", func(f *fleet) {
			for i := range 4 {
				for n := range uint64(5) {
					f.limiters[i].ReportOutlier(f.clock(i), Server{Key: n, StartedAt: 1})
				}
			}
		}, 0, deliverOnce, 0},
		{"they speak of two starts of a server", func(f *fleet) {
			f.limiters[0].ReportOutlier(f.clock(0), slowServer)
			f.limiters[1].ReportOutlier(f.clock(1), Server{Key: 3, StartedAt: 2})
		}, 0, deliverOnce, 0},
		{"no word comes through", func(f *fleet) {
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
				t.Errorf("%d nodes are told of a server, wanted %d: %v", len(got), test.wantNodes, got)
			}
			for i, servers := range got {
				if len(servers) != test.wantServers {
					t.Errorf("node %d is told of %v", i, servers)
				}
			}
		})
	}
}

// Charges that are far apart don't agree, and old ones count no more.
func TestReportsFarApartFindNoOutlier(t *testing.T) {
	f := newFleetWithTraffic(t)
	for i := range 6 {
		f.limiters[i].ReportOutlier(f.clock(i), Server{Key: 3, StartedAt: 1})
		if got := f.outliersByNode(t, 800*time.Millisecond, deliverOnce); len(got) > 0 {
			t.Fatalf("told of %v by witnesses 0.8 s apart", got)
		}
	}
}

// What is remembered of charges is bounded, whatever comes.
func TestRememberedOutlierReportsAreBounded(t *testing.T) {
	limiter := NewLimiter(Config{Node: 0, FleetSize: 4, Incarnation: 1, MaxTenants: 100}, 0)
	for n := range uint64(12000) {
		limiter.outlierReports.add(outlierReportKey{Server{Key: n, StartedAt: n}, int(n % 4)}, time.Duration(n))
	}
	if reports := &limiter.outlierReports; len(reports.reports) > maxReportedServers || len(reports.changed) > maxReportedServers {
		t.Errorf("%d servers charged, %d of them news", len(reports.reports), len(reports.changed))
	}
}
