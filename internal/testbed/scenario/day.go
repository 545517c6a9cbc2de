package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Day is one draw: all that happens from outside, fixed before the play begins.
type Day struct {
	Name      string
	Seed      uint64
	Length    time.Duration
	Zones     []Zone
	Nodes     []Node
	Servers   []Machine // those at the start, then those that come later
	Classes   []Class
	Plans     []DayPlan
	Customers []Customer
	Arrivals  []Arrival
	Faults    []Event
	Link      struct{ Same, Cross, Far, Client time.Duration }
	Clients   DayClients
	MeterLate time.Duration
	Notice    struct{ Change, Add time.Duration }
	Counter   struct {
		PerS float64
		Back time.Duration
	}
	File *File `json:"-"`
}

// Zone is a hall, and the region that it lies in.
type Zone struct {
	Name   string
	Region int
}

// Node is one edge node of the day.
type Node struct {
	Name   string
	Zone   int
	Late   time.Duration // by which discovery is late here
	Notice time.Duration // by which the front is late to see its death
	Seed   uint64
}

// Machine is one rating server.
type Machine struct {
	UID          string
	Zone, Cell   int
	Cores        int
	Speed        float64 // core-seconds a second that a core does
	Slots, Queue int
	Thrash       float64
	ThrashAt     float64
	ColdFrom     float64
	Cold         time.Duration
	Handshake    time.Duration // work of a new connection
	ErrorRate    float64
	TableTax     float64
	Pauses       []Pause       // by chance, in order
	From         time.Duration // when it starts; below zero is long ago
	Drain, Gone  time.Duration // zero is never
}

// Pause is a while in which a server does no work.
type Pause struct{ At, For time.Duration }

// DayPlan is a plan with its quota as drawn.
type DayPlan struct {
	Name                         string
	Rate, Depth, Price, OverCost float64
}

// Customer is one partner, with its weights over its set, which change from epoch to epoch.
type Customer struct {
	ID            uint64
	Plan          int
	First, Spread int
	Epoch         time.Duration
	Weights       [][]float32 `json:"-"`
}

// DayClients is what the clients of this deployment have in common.
type DayClients struct {
	Retries, TryShare, Honour, Elsewhere float64
	Backoff                              time.Duration
}

// Arrival is the first try of one request; Seed draws what its client does later.
type Arrival struct {
	At          time.Duration
	Customer    int
	Class       int
	Units, True int
	Work        time.Duration // on one core of speed 1
	Seed        uint64
}

// Event is one thing that the timetable does, with its targets.
type Event struct {
	At, For time.Duration
	Kind    string
	Targets []int // nodes, servers or a zone, by kind
	Size    float64
	Links   []Link `json:",omitempty"`
	Reset   bool   `json:",omitempty"`
	How     string `json:",omitempty"`
}

// Link is what joins a node and another party, and the directions of it that a fault concerns.
type Link struct {
	Kind        string // "peers", "servers", "agents", "clients"
	Node, Other int    // a node, a server; below zero where there is one alone
	Out, In     bool   // from the node, to it
}

// rngFor is a stream of its own for each matter, so that drawing one more figure of one kind
// changes no other.
func rngFor(seed uint64, matter string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(matter)))
}

// Draw makes the day of a seed.
func (f *File) Draw(seed uint64) (*Day, error) {
	d := &Day{Name: f.Name, Seed: seed, Length: span(f.Seconds), File: f}
	d.drawFleet(f)
	d.drawPlans(f)
	d.drawFaults(f)
	d.drawPauses(f)
	if f.Clients.Arrivals != "" {
		if err := d.readArrivals(f.Clients.Arrivals); err != nil {
			return nil, err
		}
		return d, nil
	}
	d.drawCustomers(f)
	return d, nil
}

// Digest names the day: two draws are the same if it is.
func (d *Day) Digest() string {
	raw, err := json.Marshal(struct {
		*Day
		W []Customer
	}{Day: d})
	if err != nil {
		panic(err) // plain figures; cannot be
	}
	h := sha256.New()
	h.Write(raw)
	for _, c := range d.Customers {
		fmt.Fprint(h, c.Weights)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Pick draws a node of a customer's set for a try at a time; ok tells which the front sends to.
// Below zero is none.
func (d *Day) Pick(customer int, at time.Duration, x float64, ok func(node int) bool) int {
	c := &d.Customers[customer]
	w := c.Weights[min(max(0, int(at/c.Epoch)), len(c.Weights)-1)]
	sum := 0.0
	for i := range w {
		if ok((c.First + i) % len(d.Nodes)) {
			sum += float64(w[i])
		}
	}
	last := -1
	for i := range w {
		if n := (c.First + i) % len(d.Nodes); ok(n) {
			if last = n; x*sum < float64(w[i]) {
				return n
			}
			x -= float64(w[i]) / sum
		}
	}
	return last
}

// Delay is what the link of two zones takes, one way.
func (d *Day) Delay(a, b int) time.Duration {
	switch z := d.Zones; {
	case a == b:
		return d.Link.Same
	case z[a].Region != z[b].Region:
		return d.Link.Far
	}
	return d.Link.Cross
}
