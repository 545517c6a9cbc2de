package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// OutlierReportLifetime is the age at which a report on a slow server expires.
	OutlierReportLifetime = 2 * time.Second
	// agreementWindow is the time before the latest report on a server within which other reports agree with it.
	// Single long requests, which occur at any server, are further apart in a fleet.
	agreementWindow = 700 * time.Millisecond

	// A server is an outlier if reporterFraction of the live nodes report it, but at least minReportersNeeded and no
	// more than maxReportersNeeded nodes are required. A single reporter may itself have a bad link.
	reporterFraction   = 0.2
	minReportersNeeded = 2.0
	maxReportersNeeded = 4.0
	// A node that reports more than maxReportedFraction of the servers is taken to be the cause itself, and its reports
	// are ignored.
	maxReportedFraction = 0.34

	maxReportedServers = 64 // servers whose reports are kept
	maxOutlierReports  = 30 // outlier reports in a message
)

// Server identifies a server process, in the same way at all nodes.
type Server struct {
	Key       uint64 // hash of the server's name
	StartedAt uint64 // start time of the process in ms; after a restart the server counts as another one
}

// OutlierReport is a node's report that one of its attempts at a server took far longer than usual.
type OutlierReport struct {
	_         struct{} `cbor:",toarray"`
	ServerKey uint64   // Server.Key
	StartedAt uint64   // Server.StartedAt
	Reporter  int      // index of the reporting node
	Age       uint32   // age in ms
}

// Outlier is a server that enough nodes report as slow.
type Outlier struct {
	Server     Server
	Reporters  int           // number of nodes whose reports agree
	ReportedAt time.Duration // time of the latest report
}

// outlierReportKey identifies a report by its server and reporter.
type outlierReportKey struct {
	server Server
	node   int
}

func compareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.StartedAt, b.StartedAt))
}

func compareReportKeys(a, b outlierReportKey) int {
	return cmp.Or(compareServers(a.server, b.server), cmp.Compare(a.node, b.node))
}

// outlierReportSet holds the latest report of each node, this one included, on each slow server.
type outlierReportSet struct {
	reports map[Server]map[int]time.Duration // report times, by server and reporter
	changed map[Server]bool                  // servers with a new report since the last call of Outliers
}

func newOutlierReportSet() outlierReportSet {
	return outlierReportSet{reports: make(map[Server]map[int]time.Duration), changed: make(map[Server]bool)}
}

// ReportOutlier reports that an attempt of this node at a server is taking far longer than usual.
func (l *Limiter) ReportOutlier(now time.Duration, s Server) {
	l.Counts.OutlierReports++
	key := outlierReportKey{s, l.config.Node}
	l.outlierReports.add(key, now)
	l.ownReports.addOutlierReport(key, now)
	l.publishAt = min(l.publishAt, now+batchInterval)
	l.scheduleFlush(max(l.publishAt, l.quietUntil))
}

// add stores a report if it is newer than the last one of the same reporter on the same server.
func (set *outlierReportSet) add(key outlierReportKey, reportedAt time.Duration) {
	reporters := set.reports[key.server]
	if reporters == nil {
		if len(set.reports) >= maxReportedServers {
			set.evict(reportedAt)
		}
		reporters = make(map[int]time.Duration)
		set.reports[key.server] = reporters
	}
	if old, ok := reporters[key.node]; !ok || reportedAt > old {
		reporters[key.node] = reportedAt
		set.changed[key.server] = true
	}
}

// evict removes expired reports and, if there are still maxReportedServers servers, all reports on any one of them.
func (set *outlierReportSet) evict(now time.Duration) {
	for server, reporters := range set.reports {
		maps.DeleteFunc(reporters, func(_ int, reportedAt time.Duration) bool {
			return now > reportedAt+OutlierReportLifetime
		})
		if len(reporters) == 0 {
			delete(set.reports, server)
			delete(set.changed, server)
		}
	}
	for server := range set.reports {
		if len(set.reports) < maxReportedServers {
			return
		}
		delete(set.reports, server)
		delete(set.changed, server)
	}
}

// Outliers returns the servers with a new report since the last call that enough nodes report as slow. servers is the
// number of servers of the fleet.
func (l *Limiter) Outliers(now time.Duration, servers int) []Outlier {
	set := &l.outlierReports
	if len(set.changed) == 0 {
		return nil
	}
	var outliers []Outlier
	minByFraction := math.Max(minReportersNeeded, reporterFraction*float64(len(l.liveNodes)))
	minReporters := int(math.Ceil(math.Min(maxReportersNeeded, minByFraction)))
	maxServers := math.Max(1, maxReportedFraction*float64(servers))
	for _, server := range slices.SortedFunc(maps.Keys(set.changed), compareServers) {
		count, last := set.countAgreeing(server, maxServers, now)
		if count >= minReporters {
			l.Counts.Outliers++
			outliers = append(outliers, Outlier{server, count, last})
		}
	}
	clear(set.changed)
	return outliers
}

// countAgreeing returns the number of nodes whose report on a server lies within agreementWindow of the latest one, and
// the time of that one. Nodes that report more than maxServers servers are not counted.
func (set *outlierReportSet) countAgreeing(server Server, maxServers float64, now time.Duration) (count int, last time.Duration) {
	for _, reportedAt := range set.reports[server] {
		last = max(last, reportedAt)
	}
	for node, reportedAt := range set.reports[server] {
		agrees := reportedAt+agreementWindow >= last && last+OutlierReportLifetime >= now
		if agrees && set.countServersReportedBy(node, now) <= maxServers {
			count++
		}
	}
	return count, last
}

// countServersReportedBy returns the number of servers on which a node has a report that has not expired.
func (set *outlierReportSet) countServersReportedBy(node int, now time.Duration) (count float64) {
	for _, reporters := range set.reports {
		if reportedAt, ok := reporters[node]; ok && now <= reportedAt+OutlierReportLifetime {
			count++
		}
	}
	return count
}
