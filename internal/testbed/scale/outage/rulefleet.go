package outage

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sloestile/fleet/rules"
	"sloestile/internal/testbed/eventqueue"
)

const (
	voters   = 5                    // nodes 0 to 4, in different zones and regions
	wakeMost = time.Millisecond     // until a node's event loop takes up a message
	diskMost = 8 * time.Millisecond // of a synced write, and a tenth of it at least
	// electTake is the time from a leader's death until another leads, and newsTake until a node
	// knows of it at most.
	electTake = 2 * time.Second
	newsTake  = 500 * time.Millisecond
	// A node's membership drops a dead node in detectFrom to detectMost: memberlist's suspicion takes
	// 4 log10(5,800) probe intervals of 1 s. After a cut has healed a node rejoins within rejoinMost:
	// internal/membership looks for lost seeds each 11 s and a third more at most.
	detectFrom = 15 * time.Second
	detectMost = 20 * time.Second
	rejoinMost = 11 * time.Second * 4 / 3
)

// ruleFleet runs the rules code of a whole fleet in virtual time: rules.Node at each node and the
// registry at the voters. Links, disks, the voters' rounds and membership are simulated.
type ruleFleet struct {
	eventqueue.Agenda
	size     fleetSize
	links    links
	rng      *rand.Rand
	end      time.Duration
	nodes    []ruleNode
	registry rules.Registry
	leader   int // -1 is none
	term     int
	busy     bool // a command of the leader's own is under way
	versions map[uint64]*version
	refused  int    // activations that were refused for good
	full     int    // asks that were refused because the grantor had too many holders
	newest   uint64 // version that became active last
	relays   map[int]bool
	waiting  map[int][]*textWait // by source
	meter    *meter
	textSize int // bytes of a rule set
	// loses reports whether a message is withheld: a planted fault. Nil is none.
	loses  func(from, to int, m *rules.Message) bool
	wrong  wrongCounts
	err    error
	cancel context.Context
}

// version is what is known of a published version.
type version struct {
	published, active, passed time.Duration // 0 is not yet
	late                      []float64     // s from publication until in force, by node
}

// ruleNode is one node, with a clock of its own.
type ruleNode struct {
	*rules.Node
	skew     time.Duration
	rate     float64
	armed    time.Duration // its next wake; 0 is none
	keeping  uint64        // mark on its way to the disk
	fetching rules.VersionID
	text     uint64 // fetched last
	parents  []int
	dead     bool
	acting   uint64
	looks    time.Duration // when its lease ends; 0 is not planned
	highest  uint64
	changed  time.Duration // since when it acts so
}

// newRuleFleet starts the nodes of a fleet, which elects node 0.
func newRuleFleet(ctx context.Context, f fleetSize, l links, end time.Duration, seed uint64) *ruleFleet {
	s := &ruleFleet{size: f, links: l, rng: rand.New(rand.NewPCG(seed, 6)), end: end, nodes: make([]ruleNode, f.nodes),
		leader: -1, versions: map[uint64]*version{}, relays: map[int]bool{}, waiting: map[int][]*textWait{}, meter: newMeter(f.nodes),
		textSize: rules.MaxTextBytes, cancel: ctx}
	for i := range s.nodes {
		n := &s.nodes[i]
		n.skew = time.Duration(s.rng.Int64N(int64(time.Hour)))
		n.rate = 1 + rules.DefaultLeaseParams.MaxClockDrift/2*(2*s.rng.Float64()-1)
		n.Node = rules.NewNode(rules.Config{Node: i, Incarnation: uint64(i) + 1, LeaseParams: rules.DefaultLeaseParams}, s.clock(i))
	}
	s.elect(0)
	return s
}

// run simulates all that is planned.
func (s *ruleFleet) run() error {
	s.Run()
	return s.err
}

// after plans something, unless the simulation ends before it or was cancelled.
func (s *ruleFleet) after(wait time.Duration, do func()) {
	if s.err == nil && s.cancel.Err() != nil {
		s.err = s.cancel.Err()
	}
	if s.err == nil && s.Now+wait <= s.end {
		s.After(wait, do)
	}
}

// clock returns a node's own clock.
func (s *ruleFleet) clock(i int) time.Duration {
	return s.nodes[i].skew + time.Duration(float64(s.Now)*s.nodes[i].rate)
}

func (s *ruleFleet) part(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

func (s *ruleFleet) write() time.Duration { return diskMost/10 + s.part(diskMost*9/10) }

// wire draws the time until a node's event loop has taken up a message.
func (s *ruleFleet) wire(from, to int) time.Duration {
	return s.links.delay(s.size, s.rng, from, to) + s.part(wakeMost)
}

func (s *ruleFleet) reachable(a, b int) bool {
	return !s.nodes[a].dead && !s.nodes[b].dead && s.links.connected(s.size, a, b)
}

// elect makes a voter the leader, and has each node that it can reach learn of it.
func (s *ruleFleet) elect(i int) {
	s.leader, s.busy = i, false
	s.term++
	s.nodes[i].Observe(s.clock(i), s.registry.State())
	s.nodes[i].BecomeLeader(s.clock(i))
	live := s.members(i)
	s.relays = map[int]bool{}
	for j := range s.nodes {
		if !s.reachable(i, j) {
			continue
		}
		s.after(s.part(newsTake), func() { s.tellParents(j, live) })
	}
	s.step(i)
}

// members returns the nodes that a node can reach, itself among them.
func (s *ruleFleet) members(of int) (live []rules.Peer) {
	for i := range s.nodes {
		if s.reachable(of, i) {
			live = append(live, rules.Peer{Index: i, Zone: zoneName(s.size.zoneOf(i))})
		}
	}
	return live
}

// tellParents has a node choose whom it asks for leases, among the nodes that it takes for live.
func (s *ruleFleet) tellParents(i int, live []rules.Peer) {
	n := &s.nodes[i]
	if n.dead {
		return
	}
	var among []int
	for v := range min(voters, s.size.nodes) {
		among = append(among, v)
	}
	parents := rules.ChooseGrantors(i, s.leader, among, live)
	if i >= voters && len(parents) == 1 { // it asks the leader only
		s.relays[i] = true
	}
	parents = slices.DeleteFunc(parents, func(p int) bool { return !contains(live, p) })
	n.parents = parents
	n.SetGrantors(s.clock(i), parents)
	s.step(i)
}

// contains reports whether a node is among live ones, which are sorted by index.
func contains(live []rules.Peer, index int) bool {
	_, ok := slices.BinarySearchFunc(live, index, func(p rules.Peer, i int) int { return p.Index - i })
	return ok
}

// membersChange has the nodes of a group see those they can reach now, each at a time of its own.
func (s *ruleFleet) membersChange(group []int, from, most time.Duration) {
	if len(group) == 0 {
		return
	}
	live := s.members(group[0])
	for _, i := range group {
		s.after(from+s.part(most-from), func() { s.tellParents(i, live) })
	}
}

// step is one turn of a node's event loop.
func (s *ruleFleet) step(i int) {
	n := &s.nodes[i]
	if n.dead {
		return
	}
	began, now := time.Now(), s.clock(i)
	outs := n.Flush(now)
	raws := s.encode(outs)
	s.meter.spent(s.Now, s.roleOf(i), time.Since(began))
	for k, o := range outs {
		s.send(i, o, raws[k])
	}
	if i == s.leader {
		s.lead(i)
	}
	if name, ok := n.MissingText(); ok && name != n.fetching {
		n.fetching = name
		s.fetch(i, name, 0)
	}
	if number, ok := n.PersistDue(now); ok && number > n.keeping {
		n.keeping = number
		s.after(s.write(), func() {
			n.Persisted(number)
			s.step(i)
		})
	}
	s.observe(i)
	s.arm(i)
}

// arm has the event loop turn when something is due.
func (s *ruleFleet) arm(i int) {
	n, now := &s.nodes[i], s.clock(i)
	when, ok := n.NextWake(now)
	if !ok {
		return
	}
	due := s.Now + max(0, time.Duration(float64(when-now)/n.rate)) + time.Microsecond
	if n.armed > s.Now && n.armed <= due {
		return
	}
	n.armed = due
	s.after(due-s.Now, func() {
		if n.armed == due {
			n.armed = 0
			s.step(i)
		}
	})
}

func (s *ruleFleet) roleOf(i int) role {
	switch {
	case i == s.leader:
		return leader
	case s.relays[i] || i < voters:
		return relay
	}
	return ordinary
}

// byRole returns the live nodes of each role.
func (s *ruleFleet) byRole() (of [roles][]int) {
	for i := range s.nodes {
		if !s.nodes[i].dead {
			r := s.roleOf(i)
			of[r] = append(of[r], i)
		}
	}
	return of
}
