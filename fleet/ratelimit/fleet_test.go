package ratelimit

import "time"

const (
	plan     = 1
	customer = 42
)

var quota = Quota{Rate: 5, Burst: 40}

// fataler is a test or a property.
type fataler interface{ Fatal(...any) }

// fleet is some exchanges, each with a clock of its own, and the messages between them.
type fleet struct {
	now   time.Duration
	x     []*Limiter
	skew  []time.Duration
	set   NodeRange
	alive []bool
	air   []Outgoing // in flight
}

func newFleet(n int) *fleet {
	f := &fleet{set: NodeRange{0, n}}
	for i := range n {
		f.skew = append(f.skew, time.Duration(i)*time.Hour)
		f.alive = append(f.alive, true)
		f.x = append(f.x, NewLimiter(Config{Node: i, FleetSize: n, Incarnation: uint64(i + 1), Quotas: map[uint32]Quota{plan: quota}, MaxTenants: 1000}, f.skew[i]))
	}
	f.tellLive(func(a, b int) bool { return true })
	return f
}

// tellLive tells each node which others it sees.
func (f *fleet) tellLive(sees func(a, b int) bool) {
	for i, x := range f.x {
		var others []Peer
		for j := range f.x {
			if i != j && f.alive[j] && sees(i, j) {
				others = append(others, Peer{j, uint64(j + 1)})
			}
		}
		x.SetLivePeers(f.at(i), others)
	}
}

func (f *fleet) at(i int) time.Duration { return f.now + f.skew[i] }

func (f *fleet) send(i int, units float64) {
	f.x[i].Consume(f.at(i), customer, plan, f.set, units, false)
}

func (f *fleet) level(i int) (LevelEstimate, bool) {
	return f.x[i].Level(f.at(i), customer, plan, f.set)
}

func (f *fleet) owner() int {
	o, _ := Owner(customer, f.set, len(f.x), func(i int) bool { return f.alive[i] })
	return o
}

// flush lets the nodes send what is due.
func (f *fleet) flush() {
	for i, x := range f.x {
		if when, ok := x.NextFlush(); ok && when <= f.at(i) && f.alive[i] {
			f.air = append(f.air, x.Flush(f.at(i))...)
		}
	}
}

// hear delivers a message, as a copy, by way of its bytes.
func (f *fleet) hear(t fataler, o Outgoing) {
	raw, err := o.Message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(raw, len(f.x))
	if err != nil {
		t.Fatal(err)
	}
	if f.alive[o.To] {
		f.x[o.To].Receive(f.at(o.To), m)
	}
}

// run lets time pass; carry gives how often each message arrives.
func (f *fleet) run(t fataler, d time.Duration, carry func(from, to int) int) {
	const step = 10 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		f.flush()
		air := f.air
		f.air = nil
		for _, o := range air {
			for range carry(o.Message.Sender, o.To) {
				f.hear(t, o)
			}
		}
	}
}

// taken is what the owner has counted.
func (f *fleet) taken(owner int) float64 {
	if e := f.x[owner].ownedTenants[customer]; e != nil {
		return e.bucket.consumed
	}
	return 0
}

func all(int, int) int { return 1 }

func seq(n int) (s []int) {
	for i := range n {
		s = append(s, i)
	}
	return s
}
