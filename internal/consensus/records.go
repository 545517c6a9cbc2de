package consensus

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// logPosition is the position of a log entry. A position of a later term is after one of an earlier term at any index.
type logPosition struct {
	Term  uint64 `cbor:"1,keyasint,omitempty"`
	Index uint64 `cbor:"2,keyasint,omitempty"`
}

func (p logPosition) isAfter(other logPosition) bool {
	return p.Term > other.Term || (p.Term == other.Term && p.Index > other.Index)
}

// peerRecord is the state that another voter has sent to this one. The other voter had it on its disk when it sent it,
// so less than that on its disk later means that the disk has lost it.
type peerRecord struct {
	LastEntry     logPosition `cbor:"1,keyasint"` // last entry that it acknowledged
	Term          uint64      `cbor:"2,keyasint"` // latest term in its answers
	VotedTerm     uint64      `cbor:"3,keyasint"` // last term in which it voted for this voter
	lastContactAt time.Time   // time of its last answer
}

// maxPeerRecords is the maximum number of identities with a record; beyond it, the one with the oldest contact is
// dropped.
const maxPeerRecords = 64

// peerRecords holds a peerRecord for each identity that has answered this voter. It is safe for concurrent use.
type peerRecords struct {
	mu         sync.Mutex
	byIdentity map[raft.ServerID]*peerRecord
}

func newPeerRecords() *peerRecords {
	return &peerRecords{byIdentity: make(map[raft.ServerID]*peerRecord)}
}

// get returns the record of an identity, or the zero record if there is none.
func (p *peerRecords) get(id raft.ServerID) peerRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	if record := p.byIdentity[id]; record != nil {
		return *record
	}
	return peerRecord{}
}

// update adds an answer of an identity to its record. The zero position and votedTerm 0 leave these fields as they are.
func (p *peerRecords) update(id raft.ServerID, term uint64, lastEntry logPosition, votedTerm uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.byIdentity[id]
	if record == nil {
		p.evictOldest()
		record = &peerRecord{}
		p.byIdentity[id] = record
	}
	record.Term = max(record.Term, term)
	record.VotedTerm = max(record.VotedTerm, votedTerm)
	record.lastContactAt = time.Now()
	if lastEntry.isAfter(record.LastEntry) {
		record.LastEntry = lastEntry
	}
}

// evictOldest drops the record with the oldest contact if there are maxPeerRecords.
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
