package ratelimit

import (
	"testing"
	"time"
)

// courtroom is a fleet of ten nodes whose links have all carried something, so that ages can be told.
func courtroom(t *testing.T) *fleet {
	f := newFleet(10)
	for range 10 {
		for i := range f.x {
			f.send(i, 1)
		}
		f.run(t, 100*time.Millisecond, all)
	}
	return f
}

// condemned gives the servers that each node is told of in a while.
func (f *fleet) condemned(t *testing.T, d time.Duration, carry func(a, b int) int) map[int]map[Server]int {
	got := map[int]map[Server]int{}
	for end := f.now + d; f.now < end; {
		f.run(t, 20*time.Millisecond, carry)
		for i, x := range f.x {
			for _, v := range x.Outliers(f.at(i), 5) {
				if got[i] == nil {
					got[i] = map[Server]int{}
				}
				got[i][v.Server] = v.Reporters
				if v.ReportedAt > f.at(i) || v.ReportedAt < f.at(i)-OutlierReportLifetime {
					t.Errorf("node %d is told a verdict of %v, now is %v", i, v.ReportedAt, f.at(i))
				}
			}
		}
	}
	return got
}

func TestVerdicts(t *testing.T) {
	slow := Server{Key: 3, StartedAt: 1}
	for _, x := range []struct {
		name    string
		charge  func(f *fleet)
		nodes   int // that are told of some server
		carry   func(a, b int) int
		servers int // that they are told of
	}{
		{"four are silent to at one server", func(f *fleet) {
			for i := range 4 {
				f.x[i].ReportOutlier(f.at(i), slow)
			}
		}, 10, all, 1},
		{"one node's own link is bad: all servers are silent to it", func(f *fleet) {
			for n := range uint64(5) {
				f.x[0].ReportOutlier(f.at(0), Server{Key: n, StartedAt: 1})
			}
		}, 0, all, 0},
		{"four nodes' links are bad", func(f *fleet) {
			for i := range 4 {
				for n := range uint64(5) {
					f.x[i].ReportOutlier(f.at(i), Server{Key: n, StartedAt: 1})
				}
			}
		}, 0, all, 0},
		{"they speak of two starts of a server", func(f *fleet) {
			f.x[0].ReportOutlier(f.at(0), slow)
			f.x[1].ReportOutlier(f.at(1), Server{Key: 3, StartedAt: 2})
		}, 0, all, 0},
		{"no word comes through", func(f *fleet) {
			for i := range 4 {
				f.x[i].ReportOutlier(f.at(i), slow)
			}
		}, 0, func(int, int) int { return 0 }, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := courtroom(t)
			x.charge(f)
			got := f.condemned(t, 1500*time.Millisecond, x.carry)
			if len(got) != x.nodes {
				t.Errorf("%d nodes are told of a server, wanted %d: %v", len(got), x.nodes, got)
			}
			for i, servers := range got {
				if len(servers) != x.servers {
					t.Errorf("node %d is told of %v", i, servers)
				}
			}
		})
	}
}

// Charges that are far apart don't agree, and old ones count no more.
func TestWitnessesAgreeInTime(t *testing.T) {
	f := courtroom(t)
	for i := range 6 {
		f.x[i].ReportOutlier(f.at(i), Server{Key: 3, StartedAt: 1})
		if got := f.condemned(t, 800*time.Millisecond, all); len(got) > 0 {
			t.Fatalf("told of %v by witnesses 0.8 s apart", got)
		}
	}
}

// What is remembered of charges is bounded, whatever comes.
func TestCourtIsBounded(t *testing.T) {
	x := NewLimiter(Config{Node: 0, FleetSize: 4, Incarnation: 1, MaxTenants: 100}, 0)
	for n := range uint64(12000) {
		x.slowReports.add(slowReportKey{Server{Key: n, StartedAt: n}, int(n % 4)}, time.Duration(n))
	}
	if c := &x.slowReports; len(c.reports) > maxReportedServers || len(c.changed) > maxReportedServers {
		t.Errorf("%d servers charged, %d of them news", len(c.reports), len(c.changed))
	}
}
