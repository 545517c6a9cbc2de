package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// reportQueue holds reports to be sent, of which it keeps the latest on each bucket, of each owner, and of each
// reporter on each server.
type reportQueue struct {
	levels         map[uint64]queuedLevel             // by tenant
	owners         map[int]queuedOwner                // by node
	outlierReports map[outlierReportKey]time.Duration // time of the report
}

// queuedLevel is a queued LevelReport.
type queuedLevel struct {
	level   float64       // tokens
	validAt time.Duration // time at which the level was correct
	nodes   NodeRange     // nodes of the tenant, which receive the report
}

// queuedOwner is a queued OwnerReport.
type queuedOwner struct {
	validAt     time.Duration // time as of which the owner has reported all its low buckets
	maxDistance int           // OwnerReport.MaxDistance
}

func newReportQueue() reportQueue {
	return reportQueue{
		levels:         make(map[uint64]queuedLevel),
		owners:         make(map[int]queuedOwner),
		outlierReports: make(map[outlierReportKey]time.Duration),
	}
}

func (q *reportQueue) isEmpty() bool { return len(q.levels)+len(q.owners)+len(q.outlierReports) == 0 }

func (q *reportQueue) addLevel(tenant uint64, level queuedLevel) {
	if old, ok := q.levels[tenant]; !ok || level.validAt > old.validAt {
		q.levels[tenant] = level
	}
}

func (q *reportQueue) addOutlierReport(key outlierReportKey, reportedAt time.Duration) {
	if old, ok := q.outlierReports[key]; !ok || reportedAt > old {
		q.outlierReports[key] = reportedAt
	}
}

func (q *reportQueue) addOwner(node int, owner queuedOwner) {
	if old, ok := q.owners[node]; !ok || owner.validAt > old.validAt {
		q.owners[node] = owner
	}
}

// reportBatch holds queued reports as they are sent, in a deterministic order.
type reportBatch struct {
	levels         []LevelReport
	owners         []OwnerReport
	outlierReports []OutlierReport
}

// drain empties the queue and returns its reports with their ages at the given time.
func (q *reportQueue) drain(now time.Duration) reportBatch {
	var batch reportBatch
	age := func(validAt time.Duration) uint32 {
		return uint32(math.Ceil(float64(max(0, now-validAt)) / float64(time.Millisecond)))
	}
	for _, tenant := range slices.Sorted(maps.Keys(q.levels)) {
		l := q.levels[tenant]
		batch.levels = append(batch.levels, LevelReport{
			Tenant: tenant,
			First:  l.nodes.First,
			Count:  l.nodes.Count,
			Tokens: float32(l.level),
			Age:    age(l.validAt),
		})
	}
	for _, node := range slices.Sorted(maps.Keys(q.owners)) {
		o := q.owners[node]
		batch.owners = append(batch.owners, OwnerReport{Node: node, MaxDistance: o.maxDistance, Age: age(o.validAt)})
	}
	for _, key := range slices.SortedFunc(maps.Keys(q.outlierReports), compareReportKeys) {
		batch.outlierReports = append(batch.outlierReports, OutlierReport{
			ServerKey: key.server.Key,
			StartedAt: key.server.StartedAt,
			Reporter:  key.node,
			Age:       age(q.outlierReports[key]),
		})
	}
	*q = newReportQueue()
	return batch
}
