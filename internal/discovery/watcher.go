// Package discovery follows the server list of a discovery service by long-lived HTTP watches, and hands
// each update on. A watch that stalls or breaks is replaced within a bounded time; see "One clock for the
// list" in docs/design.md.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sloestile/fleet/subset"
)

// Config is what a watcher is made with.
type Config struct {
	Address    string         // host:port of discovery
	FleetSize  int            // nodes that share discovery
	DrainGrace time.Duration  // for which sends to a server that is told to drain are allowed
	Seed       uint64         // of the random parts of delays
	Subset     *subset.Config // the part of a long list that the node uses; nil is the whole of any list
	Polled     bool           // lists are polled, not pushed: an unanswered call counts as received too

	OnUpdate   func(Update)     // called for each usable update, in order, by Run's goroutine
	OnDegraded func(on bool)    // called when the cached list becomes stale or is current again
	OnDropped  func(*ListError) // called for each message that was dropped whole; with Subset only
}

// Watcher keeps a watch on the server list across failures of its connections.
type Watcher struct {
	client     *http.Client
	url        string
	rev        int64                                                                                        // of the cached list; noRev is none
	follow     func(context.Context, *http.Client, string, context.CancelCauseFunc, func(event) bool) error // a call's part
	selection  *selection                                                                                   // nil is that whole lists are used
	onUpdate   func(Update)
	onDegraded func(on bool)
	onDropped  func(*ListError)
	polled     bool
	pace       pace

	rejected bool // the latest call ended without a usable update, and not by a time-out
	unusable bool // discovery has answered without a usable update since the last progress
	degraded bool // what onDegraded was last called with

	mu          sync.Mutex
	address     string             // the address in force, or to move to
	nextAddress string             // the address to move to; "" is none
	endSession  context.CancelFunc // ends the session at the present address
}

const noRev = -1

// watchStream sets the watch's random numbers apart from those of the decisions, which use the same seed.
const watchRNGStream = 0x7761746368

// New makes a watcher; Run starts it. Its error is one of Config.Subset.
func New(cfg Config) (*Watcher, error) {
	rng := rand.New(rand.NewPCG(cfg.Seed, watchRNGStream))
	w := &Watcher{url: watchURL(cfg.Address), address: cfg.Address, rev: noRev, follow: followWatch, onUpdate: cfg.OnUpdate,
		onDegraded: cfg.OnDegraded, onDropped: cfg.OnDropped, polled: cfg.Polled, endSession: func() {},
		pace: pace{fleetSize: cfg.FleetSize, drainGrace: cfg.DrainGrace,
			jitter: func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit) + 1)) }},
		// There is no time-out but that on dialing: while discovery is down a call stays open, and
		// is answered when it is back.
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: lateAnswerTimeout}).DialContext,
			DisableKeepAlives: true, DisableCompression: true}}}
	if cfg.Subset != nil {
		var err error
		if w.selection, err = newSelection(*cfg.Subset, cfg.FleetSize); err != nil {
			return nil, err
		}
		w.follow = w.selection.follow
	}
	return w, nil
}

// Counts are the figures of the subset that is used; nil is that whole lists are used.
func (w *Watcher) Counts() *Counts {
	if w.selection == nil {
		return nil
	}
	return &w.selection.counts
}

// Address returns the address from which the list comes now.
func (w *Watcher) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Adopt takes a cached list, of this node's configuration or of another process, and returns what the node can use of it.
// Where it is current, of this discovery and complete, the watch requests changes since then, else the whole list. It must
// not be called once Run has started.
func (w *Watcher) Adopt(cached Update, current bool) Update {
	w.rev = cached.Rev
	if !current || cached.NodesPerServer > 0 || (cached.Rev == 0 && len(cached.Targets) == 0) {
		w.rev = noRev
	}
	if w.selection == nil {
		return cached
	}
	usable, err := w.selection.adopt(cached)
	if err != nil {
		w.rev = noRev
		slog.Warn("discovery: cached list not used", "error", err)
		w.onDropped(&ListError{Address: w.Address(), Entries: len(cached.Targets), Err: err})
	}
	return usable
}

func watchURL(addr string) string { return "http://" + addr + "/v1/servers?watch=1" }

// Move continues the watch at another address, at once.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddress, w.address = addr, addr
	w.endSession()
}

// startSession returns the context of a session at the address in force.
func (w *Watcher) startSession(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != "" {
		// Revisions of one discovery can't be compared with those of another: the whole list is
		// requested of the new one.
		w.url, w.rev, w.nextAddress = watchURL(w.nextAddress), noRev, ""
		w.pace.recordMove(time.Now())
	}
	ctx, w.endSession = context.WithCancel(ctx)
	return ctx, w.endSession
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.pace.recordProgress(time.Now())
	firstDelay := time.Duration(0)
	// A process that has a list waits a random time, so that nodes started together do not all call at once.
	if w.rev != noRev {
		firstDelay = w.pace.firstDelay()
	}
	for ; ctx.Err() == nil; firstDelay = 0 {
		sessionCtx, endSession := w.startSession(ctx)
		newSession(sessionCtx, w, firstDelay).run()
		endSession()
	}
}

// updateDegraded notifies the user when the cached list has become stale or is current again. What was missed counts as
// received by receivedBy; but where lists are pushed, a discovery that stays silent has nothing to send, beyond what it may
// have had when it last answered.
func (w *Watcher) updateDegraded() {
	degraded := (w.unusable || w.rejected || w.polled) && !time.Now().Before(w.pace.receivedBy)
	if degraded != w.degraded {
		w.degraded = degraded
		slog.Warn("discovery: degraded, the cached list is stale", "on", degraded, "rev", w.rev, "rejected", w.rejected)
		w.onDegraded(degraded)
	}
}

// listError is the error of an update that can't be used.
func (w *Watcher) listError(e event, err error) error {
	if w.selection == nil {
		return err
	}
	return &ListError{Address: w.Address(), Entries: e.entries, Err: err}
}

func (w *Watcher) notifyDropped(err error) {
	if dropped, ok := errors.AsType[*ListError](err); ok {
		w.onDropped(dropped)
	}
}

// apply passes an update on. After one that can't be used, a new watch requests changes from the last complete revision.
func (w *Watcher) apply(u Update, list *subset.List) error {
	if err := u.Check(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if u.All && u.Targets == nil && list == nil {
		// A whole list without its targets is damaged; taking it would leave no server to send to.
		return fmt.Errorf("discovery: rev %d: a whole list names no targets", u.Rev)
	}
	if !u.All && u.Rev < w.rev {
		// Discovery has begun to count anew: its changes don't fit the cached list.
		err := &VersionError{Have: w.rev, Got: u.Rev}
		w.rev = noRev
		return err
	}
	needed := true
	if w.selection != nil {
		var err error
		if u, needed, err = w.selection.choose(u, list); err != nil {
			return err
		}
	}
	w.rev = u.Rev
	if needed {
		w.onUpdate(u)
	}
	return nil
}
