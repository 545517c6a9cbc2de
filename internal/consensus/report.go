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

// voterCallKind is the first byte of calls among voters.
const voterCallKind = 'v'

// reportRequest is a call among voters. It is encoded as CBOR by the numbers in its tags.
type reportRequest struct {
	Admit    bool   `cbor:"1,keyasint,omitempty"` // the caller asks to be admitted, too
	Name     string `cbor:"2,keyasint"`
	Identity string `cbor:"3,keyasint"`
}

// voterReport is what a voter says of itself, and of the one that asks. It is encoded as CBOR by the numbers in its tags.
type voterReport struct {
	Identity           string      `cbor:"1,keyasint"`
	Empty              bool        `cbor:"2,keyasint"` // it has agreed to nothing
	Term               uint64      `cbor:"3,keyasint"`
	LastEntry          logPosition `cbor:"4,keyasint"`
	Leader             string      `cbor:"5,keyasint"` // its identity; "" is none known
	ConfigurationIndex uint64      `cbor:"6,keyasint"` // of Voters
	Voters             []string    `cbor:"7,keyasint"` // identities that it knows of last
	CallerRecord       peerRecord  `cbor:"8,keyasint"` // of the one that asks
	Rejected           string      `cbor:"9,keyasint,omitempty"`
}

// handleCall answers a call of another node; nil closes it.
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

// errLogNotOpen is the answer of a voter whose log is not open.
var errLogNotOpen = errors.New("council: between two lives")

// ownReport returns how this voter is, and what it has heard of another one.
func (v *Voter) ownReport(of raft.ServerID) (*voterReport, error) {
	v.mu.Lock()
	log, r, identity := v.log, v.raft, v.identity
	v.mu.Unlock()
	if log == nil {
		return nil, errLogNotOpen
	}
	report := &voterReport{Identity: string(identity), CallerRecord: v.records.get(of)}
	var err error
	if report.Term, _, err = log.Term(); err != nil {
		return nil, err
	}
	if report.LastEntry.Term, report.LastEntry.Index, err = log.Last(); err != nil {
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

// collectReports calls all other voters at once and returns their reports by name.
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

func (v *Voter) requestReport(ctx context.Context, p Peer, body []byte) *voterReport {
	raw, err := v.Call(ctx, p, voterCallKind, body)
	if err != nil {
		slog.Debug("consensus: voter not reached", "peer", p.Name, "error", err)
		return nil
	}
	report := &voterReport{}
	if err := cbor.Unmarshal(raw, report); err != nil || voterName(raft.ServerID(report.Identity)) != p.Name {
		slog.Warn("consensus: report of a voter is corrupt", "peer", p.Name, "error", err)
		return nil
	}
	return report
}

// errNotListening is the reason of a call that can't be made yet.
var errNotListening = errors.New("this voter does not listen yet")

// Call calls another voter. The form of its answer is that of the kind of call.
func (v *Voter) Call(ctx context.Context, p Peer, kind byte, body []byte) ([]byte, error) {
	v.mu.Lock()
	t := v.transport
	v.mu.Unlock()
	if t == nil {
		return nil, &transport.UnreachableError{Peer: p.Name, Err: errNotListening}
	}
	return t.Call(ctx, p.Name, p.Address, append([]byte{kind}, body...))
}
