package consensus

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/transport"
)

// voterCallKind is the first byte of calls between voters.
const voterCallKind = 'v'

// reportRequest is a call from one voter to another. It is encoded as a CBOR map with the keys in its tags.
type reportRequest struct {
	Admit    bool   `cbor:"1,keyasint,omitempty"` // the caller also requests admission
	Name     string `cbor:"2,keyasint"`
	Identity string `cbor:"3,keyasint"`
}

// voterReport is the answer to a reportRequest: the state of the answering voter, and its record of the caller. It is
// encoded as a CBOR map with the keys in its tags.
type voterReport struct {
	Identity           string      `cbor:"1,keyasint"`
	Empty              bool        `cbor:"2,keyasint"` // it has neither a log entry nor a snapshot
	Term               uint64      `cbor:"3,keyasint"`
	LastEntry          logPosition `cbor:"4,keyasint"`
	Leader             string      `cbor:"5,keyasint"` // identity of the leader; "" means that none is known
	ConfigurationIndex uint64      `cbor:"6,keyasint"` // log index of the configuration that lists Voters
	Voters             []string    `cbor:"7,keyasint"` // identities in the latest configuration of the group
	CallerRecord       peerRecord  `cbor:"8,keyasint"`
	Rejected           string      `cbor:"9,keyasint,omitempty"` // why the caller is not admitted yet
}

// handleCall answers a call of another node. A nil answer closes the call.
func (v *Voter) handleCall(from string, body []byte) []byte {
	if len(body) == 0 {
		return nil
	}
	if body[0] != voterCallKind {
		if handle := v.config.CallHandlers[body[0]]; handle != nil {
			return handle(from, body[1:])
		}
		return nil
	}
	var request reportRequest
	if err := cbor.Unmarshal(body[1:], &request); err != nil {
		return nil
	}
	identity := raft.ServerID(request.Identity)
	report, err := v.ownReport(identity)
	if err != nil {
		return nil
	}
	if request.Admit {
		if err := v.advanceAdmission(request.Name, identity); err != nil {
			report.Rejected = err.Error()
		}
	}
	raw, err := cbor.Marshal(report)
	if err != nil {
		return nil
	}
	return raw
}

// errLogNotOpen means that a voter cannot report because its log is not open.
var errLogNotOpen = errors.New("council: the log of this voter is not open")

// ownReport returns the state of this voter and its record of the caller with an identity.
func (v *Voter) ownReport(caller raft.ServerID) (*voterReport, error) {
	v.mu.Lock()
	log, r, identity := v.log, v.raft, v.identity
	v.mu.Unlock()
	if log == nil {
		return nil, errLogNotOpen
	}
	report := &voterReport{Identity: string(identity), CallerRecord: v.records.get(caller)}
	var err error
	if report.Term, _, err = log.Term(); err != nil {
		return nil, err
	}
	if report.LastEntry.Term, report.LastEntry.Index, err = log.LastPosition(); err != nil {
		return nil, err
	}
	report.Empty = report.LastEntry == (logPosition{})
	var configuration raft.Configuration
	if r != nil {
		future := r.GetConfiguration()
		configuration = future.Configuration()
		report.ConfigurationIndex = future.Index()
		_, leader := r.LeaderWithID()
		report.Leader = string(leader)
	} else if configuration, report.ConfigurationIndex, err = log.Configuration(); err != nil {
		return nil, err
	}
	for _, server := range configuration.Servers {
		report.Voters = append(report.Voters, string(server.ID))
	}
	return report, nil
}

// collectReports requests reports from all other voters at once and returns those that come within reportTimeout, by
// the voters' names.
func (v *Voter) collectReports(ctx context.Context, identity raft.ServerID) map[string]*voterReport {
	body, err := cbor.Marshal(reportRequest{Name: v.config.Name, Identity: string(identity)})
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	reports := make(map[string]*voterReport)
	for _, peer := range v.config.Voters {
		if peer.Name == v.config.Name {
			continue
		}
		calls.Go(func() {
			report := v.requestReport(ctx, peer, body)
			if report == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[peer.Name] = report
		})
	}
	calls.Wait()
	return reports
}

// requestReport sends an encoded reportRequest to a voter. It returns nil if no usable report comes back.
func (v *Voter) requestReport(ctx context.Context, p Peer, body []byte) *voterReport {
	raw, err := v.Call(ctx, p, voterCallKind, body)
	if err != nil {
		slog.Debug("consensus: requesting a report failed", "peer", p.Name, "error", err)
		return nil
	}
	report := &voterReport{}
	if err := cbor.Unmarshal(raw, report); err != nil || voterName(raft.ServerID(report.Identity)) != p.Name {
		slog.Warn("consensus: voter sent a corrupt report", "peer", p.Name, "error", err)
		return nil
	}
	return report
}

// errNotListening means that no call can be made because the transport is not open.
var errNotListening = errors.New("this voter is not listening yet")

// Call calls another voter and returns its answer. kind is the call's first byte: it selects the handler at the other
// voter (see Config.CallHandlers) and with it the encoding of the body and the answer. Its error is an
// UnreachableError.
func (v *Voter) Call(ctx context.Context, p Peer, kind byte, body []byte) ([]byte, error) {
	v.mu.Lock()
	t := v.transport
	v.mu.Unlock()
	if t == nil {
		return nil, &transport.UnreachableError{Peer: p.Name, Err: errNotListening}
	}
	return t.Call(ctx, p.Name, p.Address, append([]byte{kind}, body...))
}
