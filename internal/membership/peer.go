// Package membership is the membership of a fleet's edge nodes and the transport of messages between them, by SWIM with
// Lifeguard (hashicorp/memberlist). It keeps the list of live members and notifies its user of changes and messages; it
// decides nothing.
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
	// MetaVersion is the version of the state that members send each other. Members of version 1 take none; a later
	// version may send more, which is skipped.
	MetaVersion = 2

	metaVersionWithoutState = 1 // of a member that takes messages by kind only

	// KindLimit is above the first bytes that name a kind of message. State messages have none: they begin with the
	// first byte of a CBOR map.
	KindLimit = 0x20
)

const (
	maxMembers = 1024 // beyond it new members are rejected

	// The library's timings are for one site and are used as they are, but for these.
	initialJoinBackoff = 375 * time.Millisecond // between two tries to join while alone; it doubles
	maxJoinBackoff     = 3 * time.Second
	rejoinInterval     = 11 * time.Second // between two looks for seeds that are not live, after a partition
	joinJitter         = 1. / 3           // fraction by which these vary, so that nodes don't join in step
	nameReclaimTimeout = 5 * time.Second  // after which a name may come back from another address
	leaveTimeout       = time.Second      // for sending a graceful leave
	streamTimeout      = 3 * time.Second  // of a peer's stream; peers with bad input get a close within 3 s
)

// Config is how a node takes part.
type Config struct {
	Label         string // of the fleet; members with another label are ignored
	Name          string // of the node, the same after a restart
	Index         int    // of the node in the fleet
	Zone, Region  string
	Program       string            // version of the program
	Bind          string            // host:port for TCP and UDP, which others get as this node's address
	Seeds         []string          // host:port of nodes by which the fleet is joined
	DialAddresses map[string]string // from a member's address to the one that reaches it, where they differ
	Seed          uint64            // of the random choice of seeds

	// OnState gets the state messages of other nodes, OnMessage those whose first byte is below KindLimit. Both must not
	// block or keep raw; nil takes none.
	OnState   func(raw []byte)
	OnMessage func(raw []byte)
	// OnChange is called after Live has changed. It must not block; nil is no call.
	OnChange func()
}

// Counts are counters for the operators' metrics. They may be read at any time.
type Counts struct {
	Live                            atomic.Int64 // other members that are live
	Joins, Deaths, Leaves           atomic.Int64
	Rejected, Conflicts, Corrupt    atomic.Int64
	SentBytes, SentPackets, Streams atomic.Int64
}

// Peers is this node's part in the membership, until Leave or Close.
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
	epoch     uint64                   // grows with each change of live
	reachable map[int]*memberlist.Node // that can be sent to, by index: live, or leaving
}

// Start takes part in the membership. It does not wait for others: a goroutine joins the seeds until Leave or Close. Its
// error is a *ConfigError, *BindError or *StartError.
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
	if n := len(p.NodeMeta(memberlist.MetaMaxSize)); n == 0 {
		return nil, &ConfigError{"zone, region and program", errors.New("their names are too long together")}
	}
	p.meta.Leaving = false
	if err := p.startMemberlist(host, portNumber); err != nil {
		return nil, err
	}
	p.running.Go(p.joinSeeds)
	return p, nil
}

// startList starts the library's part.
func (p *Peers) startMemberlist(host string, port int) error {
	stdLog := log.New(&logWriter{p.log, &p.Counts}, "", 0)
	// The library does not tell which error a failed bind was.
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
	c.EnableCompression = false // CPU is scarce, and messages are small
	c.TCPTimeout = streamTimeout
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

// Address returns the address that others have of this node.
func (p *Peers) Address() string { return p.list.LocalNode().Address() }

// Live returns the live members without this one, sorted by name, and an epoch that grows with each change.
func (p *Peers) Live() (members []Member, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.live {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members, p.epoch
}

// Incarnation returns the incarnation of this process, as others see it.
func (p *Peers) Incarnation() uint64 { return p.meta.Incarnation }

// Send sends a message to the member with an index, once: it may be lost. Where there is none the error is a
// *MemberError.
func (p *Peers) Send(index int, raw []byte) error {
	p.mu.Lock()
	to := p.reachable[index]
	p.mu.Unlock()
	if to == nil {
		return &MemberError{index}
	}
	return p.list.SendBestEffort(to, raw)
}

// Introduce exchanges the lists of members with the member that has an index: one that has restarted may not know this
// node yet, while this node goes on seeing it. It waits for the exchange.
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

// SetSeeds replaces the addresses by which the fleet is joined.
func (p *Peers) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// AnnounceLeave tells the others that this node leaves, so that they do not rely on it any more. It still receives and
// sends until Leave or Close.
func (p *Peers) AnnounceLeave() error {
	p.mu.Lock()
	p.meta.Leaving = true
	p.mu.Unlock()
	return p.leaveError(p.list.UpdateNode(leaveTimeout))
}

func (p *Peers) leaveError(err error) error {
	if err == nil {
		return nil
	}
	return &LeaveError{p.cfg.Name, err}
}

// Leave leaves the membership, after AnnounceLeave. By itself the library's leave would look like a death to others.
func (p *Peers) Leave() error {
	return p.leaveError(errors.Join(p.list.Leave(leaveTimeout), p.Close()))
}

// Close ends without telling the others, as a crash does.
func (p *Peers) Close() error {
	p.cancel()
	err := p.list.Shutdown()
	p.running.Wait()
	return err
}

// joinSeeds joins the seeds until another member is live, with exponential backoff, and then looks at intervals for seeds
// that are not live, so that the parts of a partition join again.
func (p *Peers) joinSeeds() {
	aloneBackoff := &backoff.ExponentialBackOff{InitialInterval: initialJoinBackoff, MaxInterval: maxJoinBackoff, Multiplier: 2, RandomizationFactor: joinJitter}
	joinedBackoff := &backoff.ExponentialBackOff{InitialInterval: rejoinInterval, MaxInterval: rejoinInterval, Multiplier: 1, RandomizationFactor: joinJitter}
	for {
		if seeds := p.seedsToJoin(); len(seeds) > 0 {
			if _, err := p.list.Join(seeds); err != nil && p.Counts.Live.Load() == 0 {
				if first := errors.Unwrap(err); first != nil { // of a list with a line for each
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

// seedsToJoin returns the seeds to join: all while alone, else one of those that are not live.
func (p *Peers) seedsToJoin() []string {
	// The library notifies under its own lock, so it must not be called under this one.
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
