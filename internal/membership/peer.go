// Package peer is the membership of a fleet's edge nodes: who is there, told by SWIM. It keeps a
// list of the live members and tells when it changes; what is done with it is decided elsewhere.
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
	// StateVersion is the version of what members tell each other. Those of version 1 tell nothing but
	// that they are there; one that is newer may tell more, which is skipped.
	StateVersion = 2

	aloneVersion = 1 // of one that takes nothing but kinds

	// KindsEnd ends the first bytes that name a kind of message. Those without begin with a CBOR map's.
	KindsEnd = 0x20

	membersMost  = 1024                   // remembered; beyond it new ones are refused
	joinFirst    = 375 * time.Millisecond // between two tries to join while alone; it doubles
	joinMost     = 3 * time.Second
	rejoin       = 11 * time.Second // between two looks for seeds that are not live: a healed partition
	joinSpread   = 1. / 3           // by which each of these is more or less, so that nodes don't join in step
	reclaim      = 5 * time.Second  // after which a name may come back from another address
	leaveWithin  = time.Second      // for the word of a graceful leave to go out
	streamWithin = 3 * time.Second  // of a peer's stream; the library gives 10 s, improper peers are owed a close in 3 s
)

// Config is how a node takes part.
type Config struct {
	Label        string // of the fleet; others are not heard
	Name         string // the same after a restart
	Index        int    // in the group
	Zone, Region string
	Program      string // its version
	Bind         string // address for TCP and UDP, the one that others are told
	Seeds        []string
	Via          map[string]string // addresses to be reached by others, where links stand between
	Seed         uint64            // of the choice of seeds
	Receive      func(raw []byte)  // takes what another sends, and does not wait; nil is nothing taken
	Kinds        func(raw []byte)  // takes those whose first byte is below KindsEnd, as Receive does
	Changed      func()            // is told that Live has changed, and does not wait; nil is nobody
}

// Counts are figures for the operators. All are safe to read at any time.
type Counts struct {
	Live                            atomic.Int64 // other members that are live
	Joins, Deaths, Leaves           atomic.Int64
	Refused, Conflicts, Spoilt      atomic.Int64
	SentBytes, SentPackets, Streams atomic.Int64
}

// Peers takes part in the membership until Leave or Close.
type Peers struct {
	Counts Counts
	cfg    Config
	list   *memberlist.Memberlist
	log    *slog.Logger
	said   meta
	rng    *rand.Rand
	life   context.Context
	end    context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	seeds []string
	live  map[string]Member
	epoch uint64                   // grows with each change of live
	nodes map[int]*memberlist.Node // that can be sent to, by index: live, or leaving
}

// Start begins to take part. It does not wait for others: joining goes on beside. Its error is a
// ConfigError, a BindError or a StartError.
func Start(cfg Config, l *slog.Logger) (*Peers, error) {
	host, port, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, &ConfigError{"bind", err}
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, &ConfigError{"bind", err}
	}
	p := &Peers{cfg: cfg, log: l, seeds: cfg.Seeds, live: make(map[string]Member), nodes: make(map[int]*memberlist.Node), rng: rand.New(rand.NewPCG(cfg.Seed, 0x70656572))}
	state := StateVersion
	if cfg.Receive == nil {
		state = aloneVersion
	}
	p.said = meta{cfg.Zone, cfg.Region, cfg.Program, state, uint64(time.Now().UnixMilli()), true, cfg.Index, cfg.Kinds != nil}
	if n := len(p.NodeMeta(memberlist.MetaMaxSize)); n == 0 {
		return nil, &ConfigError{"zone, region and program", errors.New("their names are too long together")}
	}
	p.said.Leaving = false
	std := log.New(&lines{l, &p.Counts}, "", 0)
	// The library does not tell which error it was.
	probe, err := net.Listen("tcp", cfg.Bind)
	if err != nil {
		return nil, &BindError{cfg.Bind, err}
	}
	_ = probe.Close()
	net, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: number, Logger: std})
	if err != nil {
		return nil, &BindError{cfg.Bind, err}
	}
	// The timings are the library's for one site.
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.BindAddr, c.BindPort = cfg.Name, cfg.Label, host, net.GetAutoBindPort()
	c.AdvertiseAddr, c.AdvertisePort = host, c.BindPort
	c.Transport = &transport{net, cfg.Via, &p.Counts}
	c.EnableCompression = false // CPU is scarce, and what is told is small
	c.TCPTimeout = streamWithin
	c.DeadNodeReclaimTime = reclaim
	c.Logger, c.Delegate, c.Events, c.Conflict, c.Alive = std, p, p, p, p
	p.life, p.end = context.WithCancel(context.Background())
	if p.list, err = memberlist.Create(c); err != nil {
		_ = net.Shutdown()
		return nil, &StartError{cfg.Name, cfg.Bind, err}
	}
	p.done.Go(p.join)
	return p, nil
}

// Address is where others reach this node.
func (p *Peers) Address() string { return p.list.LocalNode().Address() }

// Live gives the live members but this one, by name, and an epoch that grows with each change.
func (p *Peers) Live() (members []Member, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.live {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members, p.epoch
}

// Incarnation is this process's, as others see it.
func (p *Peers) Incarnation() uint64 { return p.said.Incarnation }

// Send sends a message to the member of an index, once: it may be lost. Where there is none its error
// is a MemberError.
func (p *Peers) Send(index int, raw []byte) error {
	p.mu.Lock()
	to := p.nodes[index]
	p.mu.Unlock()
	if to == nil {
		return &MemberError{index}
	}
	return p.list.SendBestEffort(to, raw)
}

// Meet exchanges all that is known of members with that of an index: one that has started anew may not
// know this node yet, while this node goes on seeing it. It waits for the exchange.
func (p *Peers) Meet(index int) error {
	p.mu.Lock()
	to := p.nodes[index]
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

// Part tells the others that this node goes: they don't count on it any more. It goes on hearing
// and telling until Leave or Close.
func (p *Peers) Part() error {
	p.mu.Lock()
	p.said.Leaving = true
	p.mu.Unlock()
	return p.left(p.list.UpdateNode(leaveWithin))
}

func (p *Peers) left(err error) error {
	if err == nil {
		return nil
	}
	return &LeaveError{p.cfg.Name, err}
}

// Leave ends after a Part. The library tells those who hear of a leave that it is a death; the word
// has gone before it.
func (p *Peers) Leave() error { return p.left(errors.Join(p.list.Leave(leaveWithin), p.Close())) }

// Close ends without a word, as a death does.
func (p *Peers) Close() error {
	p.end()
	err := p.list.Shutdown()
	p.done.Wait()
	return err
}

// join joins by the seeds until another member is there, with pauses that grow, and looks again now
// and then for seeds that are not live: what a partition has made two is joined again.
func (p *Peers) join() {
	alone := &backoff.ExponentialBackOff{InitialInterval: joinFirst, MaxInterval: joinMost, Multiplier: 2, RandomizationFactor: joinSpread}
	joined := &backoff.ExponentialBackOff{InitialInterval: rejoin, MaxInterval: rejoin, Multiplier: 1, RandomizationFactor: joinSpread}
	for {
		if seeds := p.missing(); len(seeds) > 0 {
			if _, err := p.list.Join(seeds); err != nil && p.Counts.Live.Load() == 0 {
				if first := errors.Unwrap(err); first != nil { // of a list with a line for each
					err = first
				}
				p.log.Warn("peers: joining failed", "error", &JoinError{len(seeds), err})
			}
		}
		pauses := alone
		if p.Counts.Live.Load() > 0 {
			pauses = joined
			alone.Reset()
		}
		select {
		case <-time.After(pauses.NextBackOff()):
		case <-p.life.Done():
			return
		}
	}
}

// missing gives seeds to join by: all while alone, else one that is not live.
func (p *Peers) missing() []string {
	// The library tells of members under its own lock, so it is never asked for anything under ours.
	own := p.Address()
	p.mu.Lock()
	defer p.mu.Unlock()
	here := map[string]bool{own: true}
	for _, m := range p.live {
		here[m.Address] = true
	}
	var out []string
	for _, s := range p.seeds {
		if !here[s] {
			out = append(out, s)
		}
	}
	if len(p.live) > 0 && len(out) > 1 {
		return []string{out[p.rng.IntN(len(out))]}
	}
	return out
}
