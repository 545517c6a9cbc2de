package ratelimit

import "time"

const (
	planID    = 1
	tenantKey = 42
)

var quota = Quota{Rate: 5, Burst: 40}

// fataler is a *testing.T, *testing.B or *rapid.T.
type fataler interface{ Fatal(...any) }

// fleet simulates the limiters of a fleet, each with its own clock, and the messages between them.
type fleet struct {
	now          time.Duration
	limiters     []*Limiter
	clockOffsets []time.Duration
	nodes        NodeRange
	alive        []bool
	inFlight     []Outgoing
}

func newFleet(n int) *fleet {
	f := &fleet{nodes: NodeRange{0, n}}
	for i := range n {
		f.clockOffsets = append(f.clockOffsets, time.Duration(i)*time.Hour)
		f.alive = append(f.alive, true)
		f.limiters = append(f.limiters, NewLimiter(Config{Node: i, FleetSize: n, Incarnation: uint64(i + 1), Quotas: map[uint32]Quota{planID: quota}, MaxTenants: 1000}, f.clockOffsets[i]))
	}
	f.updateMembership(func(a, b int) bool { return true })
	return f
}

// updateMembership sets the live peers of node a to the live nodes b for which sees(a, b) is true.
func (f *fleet) updateMembership(sees func(a, b int) bool) {
	for i, limiter := range f.limiters {
		var others []Peer
		for j := range f.limiters {
			if i != j && f.alive[j] && sees(i, j) {
				others = append(others, Peer{j, uint64(j + 1)})
			}
		}
		limiter.SetLivePeers(f.clock(i), others)
	}
}

// clock returns the time of node i's clock.
func (f *fleet) clock(i int) time.Duration { return f.now + f.clockOffsets[i] }

func (f *fleet) consume(i int, tokens float64) {
	f.limiters[i].Consume(f.clock(i), tenantKey, planID, f.nodes, tokens, false)
}

func (f *fleet) level(i int) (LevelEstimate, bool) {
	return f.limiters[i].Level(f.clock(i), tenantKey, planID, f.nodes)
}

func (f *fleet) owner() int {
	o, _ := Owner(tenantKey, f.nodes, len(f.limiters), func(i int) bool { return f.alive[i] })
	return o
}

// flush collects the messages that are due at the live nodes.
func (f *fleet) flush() {
	for i, limiter := range f.limiters {
		if when, ok := limiter.NextFlush(); ok && when <= f.clock(i) && f.alive[i] {
			f.inFlight = append(f.inFlight, limiter.Flush(f.clock(i))...)
		}
	}
}

// deliver encodes, decodes and delivers a message. If the receiver is not live, the message is lost.
func (f *fleet) deliver(t fataler, o Outgoing) {
	raw, err := o.Message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(raw, len(f.limiters))
	if err != nil {
		t.Fatal(err)
	}
	if f.alive[o.To] {
		f.limiters[o.To].Receive(f.clock(o.To), m)
	}
}

// run advances the time by d; copies returns how many times each message is delivered.
func (f *fleet) run(t fataler, d time.Duration, copies func(from, to int) int) {
	const step = 10 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		f.flush()
		inFlight := f.inFlight
		f.inFlight = nil
		for _, o := range inFlight {
			for range copies(o.Message.Sender, o.To) {
				f.deliver(t, o)
			}
		}
	}
}

// consumed returns the tokens that the owner has counted.
func (f *fleet) consumed(owner int) float64 {
	if tenant := f.limiters[owner].ownedTenants[tenantKey]; tenant != nil {
		return tenant.bucket.consumed
	}
	return 0
}

func deliverOnce(int, int) int { return 1 }

func seq(n int) (s []int) {
	for i := range n {
		s = append(s, i)
	}
	return s
}
