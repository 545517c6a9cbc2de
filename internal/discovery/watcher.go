// Package discovery follows the server list of a discovery service by long-lived HTTP watches and passes each update to
// its user. A Watcher replaces a watch that stalls or breaks within a bounded time; see "One clock for the list" in
// docs/design.md. With Config.Subset it chooses the node's subset of a long list and passes on changes to that subset
// only.
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

// Config configures a Watcher.
type Config struct {
	Address    string         // host:port of discovery
	FleetSize  int            // number of nodes that share discovery
	DrainGrace time.Duration  // time for which requests may still be sent to a draining server
	Seed       uint64         // seed of the random parts of delays
	Subset     *subset.Config // subset of a long list that the node uses; nil means the whole list
	Polled     bool           // lists are polled, not pushed: missed updates count as received even without an answer

	OnUpdate   func(Update)     // called for each usable update, in order, by Run's goroutine; must not be nil
	OnDegraded func(on bool)    // called when the cached list becomes stale or is current again; must not be nil
	OnDropped  func(*ListError) // called for each dropped message; must not be nil if Subset is set, else unused
}

// Watcher keeps a watch on the server list across failures of its connections.
type Watcher struct {
	client *http.Client
	url    string
	rev    int64 // revision of the cached list; noRev if there is none
	// follow makes one watch request, as followWatch does.
	follow     func(context.Context, *http.Client, string, context.CancelCauseFunc, func(event) bool) error
	selection  *selection // nil if whole lists are used
	onUpdate   func(Update)
	onDegraded func(on bool)
	onDropped  func(*ListError)
	polled     bool
	pace       pace

	rejected bool // the latest call ended, and not by a timeout
	unusable bool // discovery has answered without a usable update since the last progress
	degraded bool // value last passed to onDegraded

	mu          sync.Mutex
	address     string             // current address, or the one to move to
	nextAddress string             // address to move to; "" if there is none
	endSession  context.CancelFunc // ends the session at the current address
}

// noRev stands for the revision of a list that is not cached or not usable as a base for changes.
const noRev = -1

// watchRNGStream separates the watch's random numbers from those of dispatch decisions, which use the same seed.
const watchRNGStream = 0x7761746368

// maxResponseHeaderBytes is the size of a response header of discovery.
const maxResponseHeaderBytes = 64 << 10

// RefuseRedirect is an http.Client's CheckRedirect that makes a redirect the response. An address that was not configured
// must not respond in the place of one that was.
func RefuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// New returns a watcher; Run starts it. It returns an error only for an invalid Config.Subset.
func New(cfg Config) (*Watcher, error) {
	rng := rand.New(rand.NewPCG(cfg.Seed, watchRNGStream))
	w := &Watcher{url: watchURL(cfg.Address), address: cfg.Address, rev: noRev, follow: followWatch, onUpdate: cfg.OnUpdate,
		onDegraded: cfg.OnDegraded, onDropped: cfg.OnDropped, polled: cfg.Polled, endSession: func() {},
		pace: pace{fleetSize: cfg.FleetSize, drainGrace: cfg.DrainGrace,
			jitter: func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit) + 1)) }},
		// There is no timeout but that on dialing: while discovery is down, a call stays open, and discovery answers it
		// when it is back.
		client: &http.Client{CheckRedirect: RefuseRedirect, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: lateAnswerTimeout}).DialContext,
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}}}
	if cfg.Subset != nil {
		var err error
		if w.selection, err = newSelection(*cfg.Subset, cfg.FleetSize); err != nil {
			return nil, err
		}
		w.follow = w.selection.follow
	}
	return w, nil
}

// Counts returns the counts of the list and its subset, or nil if whole lists are used.
func (w *Watcher) Counts() *Counts {
	if w.selection == nil {
		return nil
	}
	return &w.selection.counts
}

// Address returns the host:port of the discovery in use.
func (w *Watcher) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Adopt accepts a cached list from this node's configuration or from another process, and returns the part of it that
// the node uses. current is true if the list is current and came from this discovery. If it is also complete, the
// watch requests the changes since then, else the complete list. Adopt must not be called once Run has started.
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

// Move ends the watch and continues it at another address at once.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextAddress, w.address = addr, addr
	w.endSession()
}

// startSession returns the context of a session at the current address and the function that ends it.
func (w *Watcher) startSession(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != "" {
		// Revisions of one discovery can't be compared with those of another: request the new one's complete list.
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
	// A process with a cached list waits a random time, so that nodes started together do not all call at once.
	if w.rev != noRev {
		firstDelay = w.pace.firstDelay()
	}
	for ; ctx.Err() == nil; firstDelay = 0 {
		sessionCtx, endSession := w.startSession(ctx)
		newSession(sessionCtx, w, firstDelay).run()
		endSession()
	}
}

// updateDegraded calls onDegraded when the cached list has become stale or is current again. Updates that were missed
// count as received at pace.staleAt. But if lists are pushed, a discovery that stays silent counts as having
// nothing to send, except for what it may have had when it last answered without a usable update.
func (w *Watcher) updateDegraded() {
	degraded := (w.unusable || w.rejected || w.polled) && !time.Now().Before(w.pace.staleAt)
	if degraded != w.degraded {
		w.degraded = degraded
		slog.Warn("discovery: degraded state changed", "on", degraded, "rev", w.rev, "rejected", w.rejected)
		w.onDegraded(degraded)
	}
}

// listError returns the error for an unusable update: a *ListError if a subset is used, else err.
func (w *Watcher) listError(e event, err error) error {
	if w.selection == nil {
		return err
	}
	return &ListError{Address: w.Address(), Entries: e.entries, Err: err}
}

// notifyDropped calls onDropped if err is a *ListError.
func (w *Watcher) notifyDropped(err error) {
	if dropped, ok := errors.AsType[*ListError](err); ok {
		w.onDropped(dropped)
	}
}

// apply checks an update and passes it to onUpdate. After an unusable one, a new watch requests the changes since the
// last revision that was applied, or the complete list.
func (w *Watcher) apply(u Update, list *subset.List) error {
	if err := u.Check(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if u.All && u.Targets == nil && list == nil {
		// A complete list without the field "targets" is damaged; applying it would leave no server to send to.
		return fmt.Errorf("discovery: rev %d: a whole list without targets", u.Rev)
	}
	if !u.All && u.Rev < w.rev {
		// Discovery has restarted its revision numbers: its changes don't apply to the cached list.
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
