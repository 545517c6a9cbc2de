// Package membership keeps the list of a fleet's live edge nodes and sends messages between them. It uses SWIM with
// Lifeguard (hashicorp/memberlist). Start joins the fleet and returns Peers, which notifies its user of changes and
// messages through the callbacks in Config.
package membership

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"
)

const (
	// MetaVersion is the version of the state messages that members send each other. Members of version 1 accept none.
	// Later versions may add fields, which are skipped.
	MetaVersion = 2

	metaVersionWithoutState = 1 // version of a member that accepts no state messages

	// KindLimit is an exclusive upper bound of the first bytes that denote a kind of message. State messages have no
	// such byte: they begin with the first byte of a CBOR map.
	KindLimit = 0x20
)

const (
	maxMembers = 1024 // maximum number of other live members; new ones beyond it are rejected

	// memberlist's default timings for a LAN apply, except for these.
	initialJoinBackoff = 375 * time.Millisecond // first backoff between attempts to join while no other member is live
	maxJoinBackoff     = 3 * time.Second
	rejoinInterval     = 11 * time.Second // interval of attempts to join seeds that are not live, after a partition
	joinJitter         = 1. / 3           // fraction by which these delays vary, so that nodes don't join all at once
	nameReclaimTimeout = 5 * time.Second  // time after a death until its name may be used from another address
	leaveTimeout       = time.Second      // timeout of sending a graceful leave
	// retransmitMult times the number of digits of the fleet's size is how often a member passes on a change. With memberlist's
	// default of 4, among nine members some member misses a join in 6% of cases, and learns of it by a full exchange, every 30 s.
	retransmitMult = 8
	streamTimeout  = 3 * time.Second // timeout of a peer's stream; bad input must lead to a close within 3 s
)

// Config configures a node's membership.
type Config struct {
	Label         string // label of the fleet; traffic with another label is ignored
	Name          string // name of the node, the same after a restart
	Index         int    // index of the node in the fleet
	Zone, Region  string
	Program       string            // version of the program
	Bind          string            // host:port to listen at with TCP and UDP, also advertised as this node's address
	Seeds         []string          // host:port of nodes through which the fleet is joined
	DialAddresses map[string]string // dial address for each member's address where the two differ
	Seed          uint64            // seed of the random choice among Seeds

	// OnState receives the state messages of other nodes, OnMessage those messages whose first byte is below KindLimit.
	// Both must not block or keep raw. nil ignores the messages.
	OnState   func(raw []byte)
	OnMessage func(raw []byte)
	// OnChange is called after the result of Live has changed. It must not block. nil disables the call.
	OnChange func()
}

// Counts are counters for metrics. They may be read at any time.
type Counts struct {
	Live                            atomic.Int64 // number of other live members
	Joins, Deaths, Leaves           atomic.Int64
	Rejected, Conflicts, Corrupt    atomic.Int64
	SentBytes, SentPackets, Streams atomic.Int64
}

// Peers is this node's membership of the fleet, until Leave or Close.
type Peers struct {
	Counts  Counts
	cfg     Config
	list    *memberlist.Memberlist
	log     *slog.Logger
	meta    meta
	rng     *rand.Rand
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	seeds     []string
	live      map[string]Member
	epoch     uint64                   // increases with each change of live
	reachable map[int]*memberlist.Node // members that messages can be sent to, by index: live or leaving
}

// Start starts the membership of this node. It does not wait for other members: a goroutine joins the seeds until
// Leave or Close. Its error is a *ConfigError, *BindError or *StartError.
func Start(cfg Config, logger *slog.Logger) (*Peers, error) {
	host, port, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, &ConfigError{"bind", err}
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return nil, &ConfigError{"bind", err}
	}
	p := &Peers{cfg: cfg, log: logger, seeds: cfg.Seeds, live: make(map[string]Member), reachable: make(map[int]*memberlist.Node), rng: rand.New(rand.NewPCG(cfg.Seed, 0x70656572))}
	metaVersion := MetaVersion
	if cfg.OnState == nil {
		metaVersion = metaVersionWithoutState
	}
	p.meta = meta{cfg.Zone, cfg.Region, cfg.Program, metaVersion, uint64(time.Now().UnixMilli()), true, cfg.Index, cfg.OnMessage != nil}
	// The size is checked with Leaving set, which is the longest encoding.
	if n := len(p.NodeMeta(memberlist.MetaMaxSize)); n == 0 {
		return nil, &ConfigError{"zone, region and program", errors.New("their total length is too large")}
	}
	p.meta.Leaving = false
	if err := p.startMemberlist(host, portNumber); err != nil {
		return nil, err
	}
	p.running.Go(p.joinSeeds)
	return p, nil
}

// startMemberlist opens the sockets and starts memberlist.
func (p *Peers) startMemberlist(host string, port int) error {
	stdLog := log.New(&logWriter{p.log, &p.Counts}, "", 0)
	// memberlist does not return the cause of a failed bind, so a probe listens first.
	probe, err := net.Listen("tcp", p.cfg.Bind)
	if err != nil {
		return &BindError{p.cfg.Bind, err}
	}
	_ = probe.Close()
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: stdLog})
	if err != nil {
		return &BindError{p.cfg.Bind, err}
	}
	c := memberlist.DefaultLANConfig()
	c.Name = p.cfg.Name
	c.Label = p.cfg.Label
	c.BindAddr = host
	c.BindPort = netTransport.GetAutoBindPort()
	c.AdvertiseAddr = host
	c.AdvertisePort = c.BindPort
	c.Transport = &transport{netTransport, p.cfg.DialAddresses, &p.Counts}
	c.EnableCompression = false // CPU time is scarce, and messages are small
	c.TCPTimeout = streamTimeout
	c.RetransmitMult = retransmitMult
	c.DeadNodeReclaimTime = nameReclaimTimeout
	c.Logger = stdLog
	c.Delegate, c.Events, c.Conflict, c.Alive = p, p, p, p
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if p.list, err = memberlist.Create(c); err != nil {
		_ = netTransport.Shutdown()
		return &StartError{p.cfg.Name, p.cfg.Bind, err}
	}
	return nil
}

// Address returns the advertised address of this node.
func (p *Peers) Address() string { return p.list.LocalNode().Address() }

// Live returns the other live members, sorted by name, and an epoch that increases with each change.
func (p *Peers) Live() (members []Member, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.live {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members, p.epoch
}

// Incarnation returns the incarnation that this process publishes: its start in ms of Unix time.
func (p *Peers) Incarnation() uint64 { return p.meta.Incarnation }

// Send sends a message once, without delivery guarantee, to the member with an index. It returns a *MemberError if
// there is no such member.
func (p *Peers) Send(index int, raw []byte) error {
	p.mu.Lock()
	to := p.reachable[index]
	p.mu.Unlock()
	if to == nil {
		return &MemberError{index}
	}
	return p.list.SendBestEffort(to, raw)
}

// Introduce exchanges member lists with the member that has an index, and waits for the exchange. It is for a member
// that has restarted and may not know this node yet, although this node still sees it as live. It returns a
// *MemberError if there is no such member, and a *JoinError if the exchange fails.
func (p *Peers) Introduce(index int) error {
	p.mu.Lock()
	to := p.reachable[index]
	p.mu.Unlock()
	if to == nil {
		return &MemberError{index}
	}
	if _, err := p.list.Join([]string{to.Address()}); err != nil {
		return &JoinError{Seeds: 1, Err: err}
	}
	return nil
}

// SetSeeds replaces the addresses of the nodes through which the fleet is joined.
func (p *Peers) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// AnnounceLeave notifies the other members that this node is leaving, so that they no longer rely on it. It still
// receives and sends messages until Leave or Close.
func (p *Peers) AnnounceLeave() error {
	p.mu.Lock()
	p.meta.Leaving = true
	p.mu.Unlock()
	return p.leaveError(p.list.UpdateNode(leaveTimeout))
}

// leaveError wraps an error in a *LeaveError. It returns nil for nil.
func (p *Peers) leaveError(err error) error {
	if err == nil {
		return nil
	}
	return &LeaveError{p.cfg.Name, err}
}

// Leave ends the membership and must follow AnnounceLeave: other members can't distinguish memberlist's own leave from
// a death.
func (p *Peers) Leave() error {
	return p.leaveError(errors.Join(p.list.Leave(leaveTimeout), p.Close()))
}

// Close ends the membership without notifying other members, as a crash does.
func (p *Peers) Close() error {
	p.cancel()
	err := p.list.Shutdown()
	p.running.Wait()
	return err
}

// joinSeeds joins the seeds with exponential backoff until another member is live. After that it tries at intervals to
// join seeds that are not live, so that the sides of a partition rejoin when it heals.
func (p *Peers) joinSeeds() {
	aloneBackoff := &backoff.ExponentialBackOff{InitialInterval: initialJoinBackoff, MaxInterval: maxJoinBackoff, Multiplier: 2, RandomizationFactor: joinJitter}
	joinedBackoff := &backoff.ExponentialBackOff{InitialInterval: rejoinInterval, MaxInterval: rejoinInterval, Multiplier: 1, RandomizationFactor: joinJitter}
	for {
		if seeds := p.seedsToJoin(); len(seeds) > 0 {
			if _, err := p.list.Join(seeds); err != nil && p.Counts.Live.Load() == 0 {
				if first := errors.Unwrap(err); first != nil { // err lists the error of each seed, one per line
					err = first
				}
				p.log.Warn("peers: joining failed", "error", &JoinError{len(seeds), err})
			}
		}
		delays := aloneBackoff
		if p.Counts.Live.Load() > 0 {
			delays = joinedBackoff
			aloneBackoff.Reset()
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-p.ctx.Done():
			return
		}
	}
}

// seedsToJoin returns the seeds to join: all while no other member is live, else one of those that are not live.
func (p *Peers) seedsToJoin() []string {
	// memberlist calls NotifyJoin and the like while holding its own lock, so it must not be called while p.mu is held.
	own := p.Address()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{own: true}
	for _, m := range p.live {
		known[m.Address] = true
	}
	var absent []string
	for _, s := range p.seeds {
		if !known[s] {
			absent = append(absent, s)
		}
	}
	if len(p.live) > 0 && len(absent) > 1 {
		return []string{absent[p.rng.IntN(len(absent))]}
	}
	return absent
}
