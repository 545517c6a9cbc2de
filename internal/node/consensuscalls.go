package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sloestile/fleet/rules"
	"sloestile/internal/config"
	agreement "sloestile/internal/consensus"
	"sloestile/internal/consensus/learner"
	"sloestile/internal/oneline"
)

const (
	orderCallKind    = 'o'                     // kind of the calls that carry an order from a node to a voter
	orderTimeout     = 1500 * time.Millisecond // timeout of an order, and of its proposal at the leader
	maxVersionsShown = 100                     // maximum number of versions in a status; the newest are shown
)

// order is an operator's call as it is sent to the leader.
type order struct {
	Op     string `cbor:"1,keyasint"` // publish, activate, back, cancel, status or leader
	Author string `cbor:"2,keyasint,omitempty"`
	Number uint64 `cbor:"3,keyasint,omitempty"` // version number
	Kind   uint8  `cbor:"4,keyasint,omitempty"` // rules.ActivationKind
	At     uint64 `cbor:"5,keyasint,omitempty"` // activation time in ms of Unix time; 0 means now
	Parent int64  `cbor:"6,keyasint,omitempty"` // number of the parent version; -1 means the newest
	Text   []byte `cbor:"7,keyasint,omitempty"` // text of a rule set
}

// reply is a voter's response to an order: the result, or an error that names the leader.
type reply struct {
	Status int    `cbor:"1,keyasint"` // HTTP status
	Body   []byte `cbor:"2,keyasint,omitempty"`
	Leader string `cbor:"3,keyasint,omitempty"` // name of the leader, if another voter leads
}

// addRoutes adds the console's calls for the consensus group to calls.
func (c *consensusMember) addRoutes(calls map[string]map[string]http.HandlerFunc) {
	for name, read := range map[string]func(r *http.Request, o *order) error{
		"publish":  c.readPublish,
		"activate": readActivate,
		"back":     readRollback,
		"cancel":   func(r *http.Request, o *order) error { return readNumber(r, "cancel", "number", &o.Number) },
	} {
		calls["/council/"+name] = map[string]http.HandlerFunc{http.MethodPost: c.orderHandler(name, read)}
	}
	calls["/council/status"] = map[string]http.HandlerFunc{http.MethodGet: func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(c.statusJSON(r.Context()))
	}}
	if c.voter != nil {
		calls["/council/trust"] = map[string]http.HandlerFunc{http.MethodPost: func(w http.ResponseWriter, _ *http.Request) {
			slog.Warn("consensus: readmitting this voter without a quorum, ordered by an operator", "node", c.name)
			c.voter.RejoinWithoutQuorum()
			fmt.Fprintln(w, "trusted")
		}}
	}
}

// orderHandler returns the handler of a call that carries an order.
func (c *consensusMember) orderHandler(name string, read func(r *http.Request, o *order) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o := order{Op: name, Author: r.FormValue("by"), Parent: -1}
		if err := read(r, &o); err != nil {
			writeError(w, err)
			return
		}
		c.handleOrder(r.Context(), w, o)
	}
}

// readPublish reads a rule set from a call and checks it against this node's settings.
func (c *consensusMember) readPublish(r *http.Request, o *order) (err error) {
	if p := r.URL.Query().Get("parent"); p != "" {
		n, err := strconv.ParseUint(p, 10, 62)
		if err != nil {
			return &ConsensusCallError{"publish", "parent", p, "a version's number"}
		}
		o.Parent = int64(n)
	}
	if o.Text, err = io.ReadAll(io.LimitReader(r.Body, rules.MaxTextBytes+1)); err != nil {
		return &ConsensusCallError{"publish", "body", err.Error(), "the rule set's text"}
	}
	set, err := rules.Parse(o.Text)
	if err != nil {
		return err
	}
	return set.Check(c.settings)
}

// readActivate reads the version, the time and the kind of an activation from a call.
func readActivate(r *http.Request, o *order) error {
	if err := readNumber(r, "activate", "number", &o.Number); err != nil {
		return err
	}
	if at := r.FormValue("at"); at != "" {
		t, err := time.Parse(time.RFC3339, at)
		if err != nil {
			return &ConsensusCallError{"activate", "at", at, "a time as 2026-01-02T15:04:05Z"}
		}
		o.At = uint64(max(0, t.UnixMilli()))
	}
	return readKind(r, "activate", o)
}

// readRollback reads the version to roll back to and the kind of the activation from a call.
func readRollback(r *http.Request, o *order) error {
	if err := readNumber(r, "back", "to", &o.Number); err != nil {
		return err
	}
	return readKind(r, "back", o)
}

// readNumber reads a version number from the form value key of a call into to.
func readNumber(r *http.Request, call, key string, to *uint64) error {
	n, err := strconv.ParseUint(r.FormValue(key), 10, 62)
	if err != nil || n == 0 {
		return &ConsensusCallError{call, key, r.FormValue(key), "a version's number"}
	}
	*to = n
	return nil
}

// readKind reads the kind of an activation from a call into o.
func readKind(r *http.Request, call string, o *order) error {
	for _, k := range []rules.ActivationKind{rules.Overlap, rules.Exclusive} {
		if r.FormValue("kind") == k.String() {
			o.Kind = uint8(k)
			return nil
		}
	}
	return &ConsensusCallError{call, "kind", r.FormValue("kind"), "overlap or exclusive"}
}

// ConsensusCallError reports that a parameter of a call for the consensus group is not valid. Have is the value of the
// parameter Key, or the error with which it could not be read; Want describes a valid value.
type ConsensusCallError struct{ Call, Key, Have, Want string }

func (e *ConsensusCallError) Error() string {
	return fmt.Sprintf("console: council/%s: %s: %q is not valid; give %s", e.Call, e.Key, e.Have, e.Want)
}

// handleOrder sends an order to the leader and writes the leader's reply. It answers with Retry-After on failure.
func (c *consensusMember) handleOrder(ctx context.Context, w http.ResponseWriter, o order) {
	a, err := c.sendToLeader(ctx, o)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), orderStatus(err))
		slog.Info("console: call rejected", "call", o.Op, "error", err)
		return
	}
	slog.Info("consensus: executed an operator's order", "call", o.Op, "author", o.Author, "number", o.Number, "status", a.Status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// sendToLeader sends an order to the leader and returns its reply. It never retries an order that the leader may have
// received; the error is an OutcomeUnknownError then.
func (c *consensusMember) sendToLeader(ctx context.Context, o order) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	leader, err := c.findLeader(ctx)
	if err != nil {
		return nil, err
	}
	if leader.Name == c.name {
		return c.execute(o), nil
	}
	a, err := c.callVoter(ctx, leader, o)
	if err != nil {
		return nil, &agreement.OutcomeUnknownError{Err: err}
	}
	return a, nil
}

// findLeader returns the voter that confirms that it leads. It asks this node first if it is a voter, and then the
// voters that the replies name as leader or that it has not asked yet.
func (c *consensusMember) findLeader(ctx context.Context) (leader agreement.Peer, err error) {
	var lastErr error = &agreement.NoMajorityError{Reason: "none of the voters is reached"}
	asked, nextName := map[string]bool{}, c.name
	for range len(c.config.Voters) + 1 {
		var candidate *config.Voter
		for i, v := range c.config.Voters {
			if !asked[v.Name] && (v.Name == nextName || candidate == nil) {
				candidate = &c.config.Voters[i]
			}
		}
		if candidate == nil {
			break
		}
		asked[candidate.Name] = true
		var voterReply *reply
		voter := agreement.Peer{Name: candidate.Name, Address: candidate.Address}
		if candidate.Name == c.name {
			voterReply = c.execute(order{Op: "leader"})
		} else if voterReply, err = c.callVoter(ctx, voter, order{Op: "leader"}); err != nil {
			lastErr = err
			continue
		}
		if voterReply.Status == http.StatusOK {
			return voter, nil
		}
		nextName, lastErr = voterReply.Leader, errors.New(strings.TrimSpace(string(voterReply.Body)))
	}
	if e, ok := errors.AsType[*agreement.NoMajorityError](lastErr); ok {
		return leader, e
	}
	return leader, &agreement.NoMajorityError{Reason: oneline.Of(lastErr)}
}

// callVoter sends an order to a voter and returns its reply.
func (c *consensusMember) callVoter(ctx context.Context, p agreement.Peer, o order) (*reply, error) {
	body, err := cbor.Marshal(o)
	if err != nil {
		return nil, err
	}
	raw, err := c.call(ctx, p, body)
	if err != nil {
		return nil, err
	}
	a := &reply{}
	return a, cbor.Unmarshal(raw, a)
}

// call sends an encoded order to a voter and returns the encoded reply.
func (c *consensusMember) call(ctx context.Context, p agreement.Peer, body []byte) ([]byte, error) {
	if c.voter != nil {
		return c.voter.Call(ctx, p, orderCallKind, body)
	}
	return c.transport.Call(ctx, p.Name, p.Address, append([]byte{orderCallKind}, body...))
}

// handleCall executes the encoded order of another node and returns the encoded reply; nil if it can't be decoded.
func (c *consensusMember) handleCall(_ string, body []byte) []byte {
	var o order
	if err := cbor.Unmarshal(body, &o); err != nil {
		return nil
	}
	raw, err := cbor.Marshal(c.execute(o))
	if err != nil {
		return nil
	}
	return raw
}

// execute executes an order. If this voter does not lead, the reply is an error that names the leader.
func (c *consensusMember) execute(o order) *reply {
	if o.Op == "status" || o.Op == "leader" {
		if err := c.voter.Verify(); err != nil {
			return errorReply(err)
		}
		if o.Op == "leader" {
			return &reply{Status: http.StatusOK}
		}
		raw, err := json.Marshal(c.leaderStatus())
		if err != nil {
			return errorReply(err)
		}
		return &reply{Status: http.StatusOK, Body: raw}
	}
	outcome, err := c.propose(o)
	if err != nil {
		return errorReply(err)
	}
	body, err := json.Marshal(map[string]any{"number": outcome.Result.Number, "call": o.Op})
	if err != nil {
		return errorReply(err)
	}
	return &reply{Status: http.StatusOK, Body: append(body, '\n')}
}

// propose proposes an order's command to the consensus group and returns the outcome once it is committed.
func (c *consensusMember) propose(o order) (learner.Outcome, error) {
	cmd, err := c.command(o)
	if err != nil {
		return learner.Outcome{}, err
	}
	raw, err := cmd.Encode()
	if err != nil {
		return learner.Outcome{}, err
	}
	result, err := c.voter.Propose(learner.StateMachineKind, raw, orderTimeout)
	if err != nil {
		return learner.Outcome{}, err
	}
	outcome, ok := result.(learner.Outcome)
	if !ok {
		return outcome, fmt.Errorf("council: executing a command: the registry returned %T instead of an outcome", result)
	}
	return outcome, outcome.Err
}

// command returns the registry's command for an order. It also checks a rule set against the leader's settings.
func (c *consensusMember) command(o order) (cmd rules.Command, err error) {
	parentNumber := func() uint64 {
		if o.Parent >= 0 {
			return uint64(o.Parent)
		}
		return c.registry.Newest()
	}
	switch o.Op {
	case "publish":
		set, err := rules.Parse(o.Text)
		if err == nil {
			err = set.Check(c.settings)
		}
		if err != nil {
			return cmd, err
		}
		cmd.Publish = &rules.Publish{Parent: parentNumber(), Author: o.Author, Text: o.Text}
	case "activate":
		cmd.Activate = &rules.Activate{Number: o.Number, Kind: rules.ActivationKind(o.Kind), At: o.At, Author: o.Author}
	case "back":
		cmd.Rollback = &rules.Rollback{Parent: parentNumber(), Target: o.Number, Kind: rules.ActivationKind(o.Kind), Author: o.Author}
	case "cancel":
		cmd.Cancel = &rules.Cancel{Number: o.Number, Author: o.Author}
	default:
		return cmd, &ConsensusCallError{o.Op, "call", o.Op, "publish, activate, back, cancel or status"}
	}
	return cmd, nil
}

// errorReply returns the reply to an order that failed.
func errorReply(err error) *reply {
	a := &reply{Status: orderStatus(err), Body: []byte(err.Error() + "\n")}
	if e, ok := errors.AsType[*agreement.NotLeaderError](err); ok {
		a.Leader = e.Leader.Name
	}
	return a
}

// orderStatus returns the HTTP status for the error of an order.
func orderStatus(err error) int {
	var (
		staleVersion, orderErr, phaseErr = new(rules.StaleVersionError), new(rules.OrderError), new(rules.PhaseError)
		noVersion                        = new(rules.NoVersionError)
		tooLarge                         = new(rules.TooLargeError)
		noMajority, notLeader            = new(agreement.NoMajorityError), new(agreement.NotLeaderError)
		outcomeUnknown                   = new(agreement.OutcomeUnknownError)
	)
	switch {
	case errors.As(err, &staleVersion), errors.As(err, &orderErr), errors.As(err, &phaseErr):
		return http.StatusConflict
	case errors.As(err, &noVersion):
		return http.StatusNotFound
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &noMajority), errors.As(err, &notLeader):
		return http.StatusServiceUnavailable
	case errors.As(err, &outcomeUnknown):
		return http.StatusGatewayTimeout
	}
	return http.StatusBadRequest
}
