package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// OutlierReportLifetime is the age at which a report on a slow server counts no more.
	OutlierReportLifetime = 2 * time.Second
	// agreementWindow is the time within which reports have to agree: odd long requests of a fleet come further apart.
	agreementWindow = 700 * time.Millisecond

	// An outlier needs reporterFraction of the live nodes as independent reporters, within these limits. One alone
	// may have a bad link of its own.
	reporterFraction   = 0.2
	minReportersNeeded = 2.0
	maxReportersNeeded = 4.0
	// maxReportedFraction is the fraction of the servers beyond which a node that reports them is itself to blame.
	maxReportedFraction = 0.34

	maxReportedServers = 64 // remembered
	maxOutlierReports  = 30 // in a message
)

// Server is a server's process as all nodes name it.
type Server struct {
	Key       uint64 // hash of its name
	StartedAt uint64 // ms; a server that started anew is another one
}

// OutlierReport is one node's report that an attempt of its own was far slower at a server than is usual.
type OutlierReport struct {
	_         struct{} `cbor:",toarray"`
	ServerKey uint64
	StartedAt uint64
	Reporter  int    // the reporter
	Age       uint32 // ms
}

// Outlier is a server that enough nodes report as slow.
type Outlier struct {
	Server     Server
	Reporters  int
	ReportedAt time.Duration // latest report
}

// slowReportKey names a report by its server and reporter.
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

// slowReportSet holds this node's and others' reports on slow servers.
type outlierReportSet struct {
	reports map[Server]map[int]time.Duration // by server and reporter: when
	changed map[Server]bool                  // reported anew since the last call of Outliers
}

func newOutlierReportSet() outlierReportSet {
	return outlierReportSet{reports: make(map[Server]map[int]time.Duration), changed: make(map[Server]bool)}
}

// ReportOutlier reports a server: an attempt of this node's own there takes far longer than is usual.
func (l *Limiter) ReportOutlier(now time.Duration, s Server) {
	l.Counts.OutlierReports++
	key := outlierReportKey{s, l.config.Node}
	l.outlierReports.add(key, now)
	l.ownReports.addOutlierReport(key, now)
	l.publishAt = min(l.publishAt, now+batchInterval)
	l.scheduleFlush(max(l.publishAt, l.quietUntil))
}

// add remembers a report, if it is newer than the last one of its reporter.
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

// makeRoom drops expired reports, and where none is, all reports on one server.
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

// Outliers returns the servers that have come to be reported by enough nodes since the last call, among some number
// of servers.
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

// agreeing returns how many reporters of a server agree in time with the latest one, and when that reported. A
// reporter of more servers than is credible does not count.
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

// serversReportedBy counts the servers on which a node's reports are valid.
func (set *outlierReportSet) countServersReportedBy(node int, now time.Duration) (count float64) {
	for _, reporters := range set.reports {
		if reportedAt, ok := reporters[node]; ok && now <= reportedAt+OutlierReportLifetime {
			count++
		}
	}
	return count
}
