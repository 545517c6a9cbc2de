package consensus

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// logPosition is a place in the log; one of a later term is further, whatever the index.
type logPosition struct {
	Term  uint64 `cbor:"1,keyasint,omitempty"`
	Index uint64 `cbor:"2,keyasint,omitempty"`
}

func (p logPosition) isAfter(other logPosition) bool {
	return p.Term > other.Term || (p.Term == other.Term && p.Index > other.Index)
}

// peerRecord is what another voter has sent this one, which is on its disk unless that is faulty.
type peerRecord struct {
	LastEntry     logPosition `cbor:"1,keyasint"` // that it has acknowledged
	Term          uint64      `cbor:"2,keyasint"`
	VotedTerm     uint64      `cbor:"3,keyasint"` // the last term in which it voted for this one
	lastContactAt time.Time
}

// maxPeerRecords is the number of identities that are remembered; those in contact longest ago are dropped.
const maxPeerRecords = 64

// peerRecords holds what others have sent this voter. It is safe for concurrent use.
type peerRecords struct {
	mu         sync.Mutex
	byIdentity map[raft.ServerID]*peerRecord
}

func newPeerRecords() *peerRecords {
	return &peerRecords{byIdentity: make(map[raft.ServerID]*peerRecord)}
}

func (p *peerRecords) get(id raft.ServerID) peerRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	if record := p.byIdentity[id]; record != nil {
		return *record
	}
	return peerRecord{}
}

func (p *peerRecords) update(id raft.ServerID, term uint64, last logPosition, voted uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.byIdentity[id]
	if record == nil {
		p.evictOldest()
		record = &peerRecord{}
		p.byIdentity[id] = record
	}
	record.Term = max(record.Term, term)
	record.VotedTerm = max(record.VotedTerm, voted)
	record.lastContactAt = time.Now()
	if last.isAfter(record.LastEntry) {
		record.LastEntry = last
	}
}

// evictOldest drops the record that was in contact longest ago where there are as many as are remembered.
func (p *peerRecords) evictOldest() {
	if len(p.byIdentity) < maxPeerRecords {
		return
	}
	var oldest raft.ServerID
	for id, record := range p.byIdentity {
		if oldest == "" || record.lastContactAt.Before(p.byIdentity[oldest].lastContactAt) {
			oldest = id
		}
	}
	delete(p.byIdentity, oldest)
}
