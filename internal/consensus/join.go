package consensus

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
	"sloestile/internal/consensus/transport"
)

// How a voter comes to take part.
//
// With an identity on its disk it asks the others first, each time, as a disk that lies may bring back
// any mark of a clean end. It needs answers of a majority of all (itself not counted; one that has lost
// its disk counts once, as one disk is taken to lie). Has it acknowledged more to one of them
// than its disk has, or has another its place, it begins with another identity. Else it bars itself from
// the terms that the others know of, and from electing anybody who has less than the others had.
//
// With nothing on its disk it makes an identity that nobody knows. Where all voters say the same, the first by
// name founds the council. Else the leader takes it in: it hears the log without a vote, then the
// identity that had its name goes, and it votes.

const (
	askEach   = 300 * time.Millisecond
	askWithin = time.Second
	askLonger = time.Second     // for those that have not answered yet, once enough have
	aliveFor  = 2 * time.Second // since a voter was heard, in which nobody takes its place
	stepMost  = time.Second     // for the leader to begin a step of an admission

	callVoter = 'v'
)

// ask is a call among voters.
type ask struct {
	Admit    bool   `cbor:"1,keyasint,omitempty"` // else a report is asked for
	Name     string `cbor:"2,keyasint"`
	Identity string `cbor:"3,keyasint"`
}

// report is what a voter says of itself, and of the one that asks.
type report struct {
	Identity string   `cbor:"1,keyasint"`
	Fresh    bool     `cbor:"2,keyasint"` // it has agreed to nothing
	Term     uint64   `cbor:"3,keyasint"`
	Last     mark     `cbor:"4,keyasint"`
	Leader   string   `cbor:"5,keyasint"` // its identity; "" is none known
	Config   uint64   `cbor:"6,keyasint"` // index of the voters it knows of last
	Voters   []string `cbor:"7,keyasint"` // their identities
	Seen     sighting `cbor:"8,keyasint"` // of the one that asks
	Refused  string   `cbor:"9,keyasint,omitempty"`
}

// answer answers a call of another node.
func (v *Voter) answer(from string, body []byte) []byte {
	if len(body) == 0 {
		return nil
	}
	if body[0] != callVoter {
		if f := v.cfg.Calls[body[0]]; f != nil {
			return f(from, body[1:])
		}
		return nil
	}
	var q ask
	if err := cbor.Unmarshal(body[1:], &q); err != nil {
		return nil
	}
	a, err := v.report(raft.ServerID(q.Identity))
	if err != nil {
		return nil
	}
	if q.Admit {
		if err := v.admit(q.Name, raft.ServerID(q.Identity)); err != nil {
			a.Refused = err.Error()
		}
	}
	raw, err := cbor.Marshal(a)
	if err != nil {
		return nil
	}
	return raw
}

// report says how this voter is.
func (v *Voter) report(of raft.ServerID) (*report, error) {
	v.mu.Lock()
	log, r, id := v.log, v.raft, v.id
	v.mu.Unlock()
	if log == nil {
		return nil, errors.New("council: between two lives")
	}
	a := &report{Identity: string(id), Seen: v.seen.of(of)}
	var err error
	if a.Term, _, err = log.Term(); err != nil {
		return nil, err
	}
	if a.Last.Term, a.Last.Index, err = log.Last(); err != nil {
		return nil, err
	}
	a.Fresh = a.Last == (mark{})
	var c raft.Configuration
	if r != nil {
		f := r.GetConfiguration()
		c, a.Config = f.Configuration(), f.Index()
		_, leader := r.LeaderWithID()
		a.Leader = string(leader)
	} else if c, a.Config, err = log.Configuration(); err != nil {
		return nil, err
	}
	for _, s := range c.Servers {
		a.Voters = append(a.Voters, string(s.ID))
	}
	return a, nil
}

// others calls all other voters at once and gives their reports by name.
func (v *Voter) others(ctx context.Context, id raft.ServerID) map[string]*report {
	body, err := cbor.Marshal(ask{Name: v.cfg.Self, Identity: string(id)})
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	out := make(map[string]*report)
	for _, p := range v.cfg.Voters {
		if p.Name == v.cfg.Self {
			continue
		}
		calls.Go(func() {
			if a := v.call(ctx, p, body); a != nil {
				mu.Lock()
				out[p.Name] = a
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return out
}

func (v *Voter) call(ctx context.Context, p Peer, body []byte) *report {
	raw, err := v.Call(ctx, p, callVoter, body)
	if err != nil {
		slog.Debug("council: a voter is not heard", "peer", p.Name, "err", err)
		return nil
	}
	a := &report{}
	if err := cbor.Unmarshal(raw, a); err != nil || nameOf(raft.ServerID(a.Identity)) != p.Name {
		slog.Warn("council: a voter's word is spoilt", "peer", p.Name, "err", err)
		return nil
	}
	return a
}

// Call calls another voter; its answer's form is that of the kind of call.
func (v *Voter) Call(ctx context.Context, p Peer, kind byte, body []byte) ([]byte, error) {
	v.mu.Lock()
	l := v.link
	v.mu.Unlock()
	if l == nil {
		return nil, &transport.UnreachedError{Peer: p.Name, Why: errors.New("this voter does not listen yet")}
	}
	return l.Call(ctx, p.Name, p.Address, append([]byte{kind}, body...))
}

// settle asks the others before a voter with something on its disk takes part. Renew is why it can't
// go by that.
func (v *Voter) settle(ctx context.Context, log *raftlog.Log) (renew error, bar mark, err error) {
	var mine mark
	if mine.Term, mine.Index, err = log.Last(); err != nil {
		return nil, bar, err
	}
	term, voted, err := log.Term()
	if err != nil {
		return nil, bar, err
	}
	known, at, err := log.Configuration()
	if err != nil {
		return nil, bar, err
	}
	id := raft.ServerID(v.cfg.Self + "#" + log.Identity)
	heard := make(map[string]*report)
	var enough time.Time
	for {
		for name, a := range v.others(ctx, id) {
			heard[name] = a
		}
		if ctx.Err() != nil {
			return nil, bar, ctx.Err()
		}
		for name, a := range heard {
			if less := a.Seen.less(mine, term, voted); less != "" {
				return fmt.Errorf("%s has heard %s", name, less), bar, nil
			}
			if is := slices.Contains(a.Voters, string(id)); a.Config > at && is == log.Fresh {
				return fmt.Errorf("%s knows it as a voter: %v, and it has %d records", name, is, mine.Index), bar, nil
			}
		}
		trusted := false
		select {
		case <-v.trust:
			trusted = true
		default:
		}
		if log.Fresh && (len(heard) == len(v.peers)-1 || anyLed(heard)) {
			return nil, bar, nil
		}
		if enough.IsZero() && v.enough(heard, known) {
			enough = time.Now()
		}
		if trusted || !enough.IsZero() && (len(heard) == len(v.peers)-1 || time.Since(enough) > askLonger) && led(heard) {
			break
		}
		select {
		case <-time.After(askEach):
		case <-ctx.Done():
			return nil, bar, ctx.Err()
		}
	}
	for _, a := range heard {
		term = max(term, a.Term)
		if a.Last.beyond(bar) {
			bar = a.Last
		}
	}
	if !bar.beyond(mine) {
		bar = mark{}
	}
	slog.Info("council: this voter goes by its disk", "index", mine.Index, "term", term, "heard", len(heard), "behind", bar.Index)
	return nil, bar, log.Bar(term)
}

// less tells what a voter has said that its disk does not have; "" is nothing.
func (s *sighting) less(has mark, term, voted uint64) string {
	switch {
	case s.Last.beyond(has):
		return fmt.Sprintf("that it has record %d of term %d, it has %d of %d", s.Last.Index, s.Last.Term, has.Index, has.Term)
	case s.Term > term:
		return fmt.Sprintf("of term %d from it, it has %d", s.Term, term)
	case s.Voted > voted:
		return fmt.Sprintf("its vote in term %d, its last is in %d", s.Voted, voted)
	}
	return ""
}

// enough tells whether those heard are a majority. One that has agreed to nothing counts if its
// identity is known; of those that have lost what they had, one.
func (v *Voter) enough(heard map[string]*report, known raft.Configuration) bool {
	n, lost := 0, 0
	for _, a := range heard {
		if a.Fresh && !named(known.Servers, raft.ServerID(a.Identity)) {
			lost = 1
			continue
		}
		n++
	}
	return n+lost >= v.need
}

// led tells whether each leader that one of them knows was heard itself: what this voter had
// acknowledged to it counts there.
func led(heard map[string]*report) bool {
	for _, a := range heard {
		if a.Leader == "" {
			continue
		}
		if l := heard[nameOf(raft.ServerID(a.Leader))]; l == nil || l.Identity != a.Leader {
			return false
		}
	}
	return true
}

func anyLed(heard map[string]*report) bool {
	for _, a := range heard {
		if a.Leader != "" {
			return true
		}
	}
	return false
}
