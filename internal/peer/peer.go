// Package peer is the membership of a fleet's edge nodes: who is there, told by SWIM. It keeps a
// list of the live members and tells when it changes; what is done with it is decided elsewhere.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

const (
	// StateVersion is the version of what members tell each other. Those of version 1 tell nothing but
	// that they are there; one that is newer may tell more, which is skipped.
	StateVersion = 2

	aloneVersion = 1 // of one that takes nothing

	membersMost  = 1024 // remembered; beyond it new ones are refused
	joinFirst    = 250 * time.Millisecond
	joinMost     = 4 * time.Second  // between two tries to join while alone
	rejoin       = 15 * time.Second // between two looks for seeds that are not live: a healed partition
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
	Seed         uint64            // of random pauses
	Receive      func(raw []byte)  // takes what another sends, and does not wait; nil is nothing taken
	Changed      func()            // is told that Live has changed, and does not wait; nil is nobody
}

// Member is a node as others see it.
type Member struct {
	Name, Address string
	Index         int // in the group
	Zone, Region  string
	Program       string
	State         int    // version of what it tells
	Incarnation   uint64 // of its process: ms of Unix time at its start
}

// meta is what a member says of itself, at most 512 bytes. Fields that are not known are skipped.
type meta struct {
	Zone        string `cbor:"1,keyasint,omitempty"`
	Region      string `cbor:"2,keyasint,omitempty"`
	Program     string `cbor:"3,keyasint,omitempty"`
	State       int    `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Leaving     bool   `cbor:"6,keyasint,omitempty"`
	Index       int    `cbor:"7,keyasint"`
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

// Start begins to take part. It does not wait for others: joining goes on beside.
func Start(cfg Config, l *slog.Logger) (*Peers, error) {
	host, port, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("peers: bind: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("peers: bind: port %q: %w", port, err)
	}
	p := &Peers{cfg: cfg, log: l, seeds: cfg.Seeds, live: make(map[string]Member), nodes: make(map[int]*memberlist.Node), rng: rand.New(rand.NewPCG(cfg.Seed, 0x70656572))}
	state := StateVersion
	if cfg.Receive == nil {
		state = aloneVersion
	}
	p.said = meta{cfg.Zone, cfg.Region, cfg.Program, state, uint64(time.Now().UnixMilli()), true, cfg.Index}
	if n := len(p.NodeMeta(memberlist.MetaMaxSize)); n == 0 {
		return nil, errors.New("peers: the names of zone, region and program are too long")
	}
	p.said.Leaving = false
	std := log.New(&lines{l, &p.Counts}, "", 0)
	// The library does not tell which error it was.
	probe, err := net.Listen("tcp", cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	probe.Close()
	net, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: number, Logger: std})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
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
		net.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
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

// Send sends a message to the member of an index, once: it may be lost.
func (p *Peers) Send(index int, raw []byte) error {
	p.mu.Lock()
	to := p.nodes[index]
	p.mu.Unlock()
	if to == nil {
		return fmt.Errorf("no member has index %d", index)
	}
	return p.list.SendBestEffort(to, raw)
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
	return p.list.UpdateNode(leaveWithin)
}

// Leave ends after a Part. The library tells those who hear of a leave that it is a death; the word
// has gone before it.
func (p *Peers) Leave() error { return errors.Join(p.list.Leave(leaveWithin), p.Close()) }

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
	pause := joinFirst
	for {
		if seeds := p.missing(); len(seeds) > 0 {
			if _, err := p.list.Join(seeds); err != nil && p.Counts.Live.Load() == 0 {
				p.log.Warn("peers: nobody joined", "seeds", len(seeds), "err", firstLine(err))
			}
		}
		if pause = min(2*pause, joinMost); p.Counts.Live.Load() > 0 {
			pause = rejoin
		}
		select {
		case <-time.After(pause/2 + time.Duration(p.rng.Int64N(int64(pause/2)))):
		case <-p.life.Done():
			return
		}
	}
}

// missing gives seeds to join by: all while alone, else one that is not live.
func (p *Peers) missing() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	here := map[string]bool{p.Address(): true}
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

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// member reads what a node says of itself; what can't be read is counted and left empty.
func (p *Peers) member(n *memberlist.Node) (m Member, leaving bool) {
	m = Member{Name: n.Name, Address: n.Address()}
	var said meta
	if err := cbor.Unmarshal(n.Meta, &said); err != nil {
		p.Counts.Spoilt.Add(1)
		p.log.Warn("peers: a member's word is spoilt", "peer", n.Name, "err", err)
		return m, false
	}
	m.Zone, m.Region, m.Program, m.State, m.Incarnation = said.Zone, said.Region, said.Program, said.State, said.Incarnation
	m.Index = said.Index
	return m, said.Leaving
}

// The library calls what follows; none of it waits.

// NodeMeta is what this node says of itself; nothing where that is too long.
func (p *Peers) NodeMeta(most int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := cbor.Marshal(p.said)
	if err != nil || len(raw) > most {
		return nil
	}
	return raw
}

// NotifyMsg takes a message of another member; the bytes are the library's after it.
func (p *Peers) NotifyMsg(raw []byte) {
	if p.cfg.Receive != nil {
		p.cfg.Receive(raw)
	}
}

// GetBroadcasts has nothing to add to gossip.
func (p *Peers) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState has nothing to add to an exchange of states.
func (p *Peers) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing from it.
func (p *Peers) MergeRemoteState([]byte, bool) {}

// NotifyAlive refuses members beyond what is remembered.
func (p *Peers) NotifyAlive(n *memberlist.Node) error {
	p.mu.Lock()
	_, known := p.live[n.Name]
	full := len(p.live) >= membersMost
	p.mu.Unlock()
	if full && !known && n.Name != p.cfg.Name {
		p.Counts.Refused.Add(1)
		return fmt.Errorf("%d members are the most", membersMost)
	}
	return nil
}

// NotifyJoin takes a member in. One that comes back under its old name supersedes its dead self.
func (p *Peers) NotifyJoin(n *memberlist.Node) { p.put(n, "peers: joined", &p.Counts.Joins) }

// NotifyUpdate takes what a member says anew.
func (p *Peers) NotifyUpdate(n *memberlist.Node) { p.put(n, "peers: changed", nil) }

func (p *Peers) put(n *memberlist.Node, what string, count *atomic.Int64) {
	if n.Name == p.cfg.Name {
		return
	}
	m, leaving := p.member(n)
	if leaving {
		p.remove(n.Name, "left", &p.Counts.Leaves)
		return
	}
	p.mu.Lock()
	p.live[n.Name] = m
	if to := *n; m.State >= StateVersion {
		p.nodes[m.Index] = &to
	}
	p.epoch++
	p.Counts.Live.Store(int64(len(p.live)))
	p.mu.Unlock()
	p.changed()
	if count != nil {
		count.Add(1)
	}
	p.log.Info(what, "peer", m.Name, "zone", m.Zone, "program", m.Program, "incarnation", m.Incarnation)
}

// NotifyLeave takes a member out that is dead; one that has left is out already.
func (p *Peers) NotifyLeave(n *memberlist.Node) {
	p.mu.Lock()
	maps.DeleteFunc(p.nodes, func(_ int, o *memberlist.Node) bool { return o.Name == n.Name })
	p.mu.Unlock()
	p.remove(n.Name, "dead", &p.Counts.Deaths)
}

func (p *Peers) changed() {
	if p.cfg.Changed != nil {
		p.cfg.Changed()
	}
}

func (p *Peers) remove(name, how string, count *atomic.Int64) {
	p.mu.Lock()
	_, known := p.live[name]
	if known {
		delete(p.live, name)
		p.epoch++
		p.Counts.Live.Store(int64(len(p.live)))
	}
	p.mu.Unlock()
	if known {
		p.changed()
		count.Add(1)
		p.log.Info("peers: gone", "peer", name, "how", how)
	}
}

// NotifyConflict is told of a name that two nodes use; the first stays.
func (p *Peers) NotifyConflict(existing, other *memberlist.Node) {
	p.Counts.Conflicts.Add(1)
	p.log.Error("peers: a name is used twice", "peer", existing.Name, "first", existing.Address(), "other", other.Address())
}

// transport reaches others by the addresses that this node has for them, and counts.
type transport struct {
	*memberlist.NetTransport
	via    map[string]string
	counts *Counts
}

func (t *transport) to(a memberlist.Address) memberlist.Address {
	if v, ok := t.via[a.Addr]; ok {
		a.Addr = v
	}
	return a
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.counts.SentPackets.Add(1)
	t.counts.SentBytes.Add(int64(len(b)))
	return t.NetTransport.WriteToAddress(b, t.to(a))
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.counts.Streams.Add(1)
	return t.NetTransport.DialAddressTimeout(t.to(a), timeout)
}

// lines takes the library's log. Its word of packets it can't read is counted.
type lines struct {
	to     *slog.Logger
	counts *Counts
}

var _ io.Writer = (*lines)(nil)

func (l *lines) Write(b []byte) (int, error) {
	level, text := slog.LevelDebug, strings.TrimSpace(string(b))
	for prefix, x := range map[string]slog.Level{"[ERR] ": slog.LevelError, "[WARN] ": slog.LevelWarn, "[INFO] ": slog.LevelInfo} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			level, text = x, rest
		}
	}
	// What others send that is nothing, or another fleet's, is theirs, and may come often.
	if level >= slog.LevelWarn && (strings.Contains(text, "label") || strings.Contains(text, "ecode") || strings.Contains(text, "not supported") || strings.Contains(text, "CRC")) {
		l.counts.Spoilt.Add(1)
		level = slog.LevelDebug
	}
	l.to.Log(context.Background(), level, text)
	return len(b), nil
}
