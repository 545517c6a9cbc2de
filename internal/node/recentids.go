package node

import "time"

const (
	maxRecentIDs = 4096             // requests that are remembered
	maxIDMemory  = 30 * time.Second // time for which a request is remembered at most
)

// recentIDs remembers the IDs of requests that are not idempotent and may have run, so that none runs again if its ID comes
// again: on another connection after its client has left, or at the other process during a handover. It is owned by the
// event loop.
type recentIDs struct {
	until map[string]time.Time // time to which each ID is remembered
	order []recentID           // in the order in which they were added
}

// recentID is an ID and the time to which it was remembered when it was added.
type recentID struct {
	id    string
	until time.Time
}

func newRecentIDs() *recentIDs { return &recentIDs{until: make(map[string]time.Time)} }

// add remembers an ID for a time. At maxRecentIDs the oldest one is forgotten.
func (r *recentIDs) add(id string, now time.Time, memory time.Duration) {
	until := now.Add(min(memory, maxIDMemory))
	if r.until[id].After(until) {
		return
	}
	r.forgetExpired(now)
	r.until[id] = until
	r.order = append(r.order, recentID{id, until})
	if len(r.order) > maxRecentIDs {
		r.forgetOldest()
	}
}

// contains reports whether an ID is remembered.
func (r *recentIDs) contains(id string, now time.Time) bool { return now.Before(r.until[id]) }

// remove forgets an ID whose request never ran.
func (r *recentIDs) remove(id string) { delete(r.until, id) }

// forgetExpired forgets IDs from the oldest one on whose time is over.
func (r *recentIDs) forgetExpired(now time.Time) {
	for len(r.order) > 0 && !now.Before(r.order[0].until) {
		r.forgetOldest()
	}
}

// forgetOldest forgets the ID that was added first, unless it was added again since.
func (r *recentIDs) forgetOldest() {
	oldest := r.order[0]
	r.order[0] = recentID{}
	r.order = r.order[1:]
	if r.until[oldest.id].Equal(oldest.until) {
		delete(r.until, oldest.id)
	}
}

// remaining returns how long each ID is still remembered.
func (r *recentIDs) remaining(now time.Time) map[string]time.Duration {
	left := make(map[string]time.Duration, len(r.until))
	for id, until := range r.until {
		if until.After(now) {
			left[id] = until.Sub(now)
		}
	}
	return left
}
