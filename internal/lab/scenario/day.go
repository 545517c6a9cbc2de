package scenario

import (
	"cmp"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
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

func (d *Day) drawFleet(f *File) {
	rng := rngFor(d.Seed, "fleet")
	regions := f.Fleet.Regions.whole(rng)
	for i := range f.Fleet.Zones.whole(rng) {
		d.Zones = append(d.Zones, Zone{"hall-" + string(rune('a'+i)), i % regions})
	}
	for i := range f.Fleet.Nodes.whole(rng) {
		d.Nodes = append(d.Nodes, Node{Name: "n" + strconv.Itoa(i), Zone: i % len(d.Zones),
			Late: spanMS(f.Discovery.NodeMS.draw(rng)), Notice: span(f.Clients.NoticeS.draw(rng)), Seed: rng.Uint64()})
	}
	s := &f.Server
	base := Machine{Cores: s.Cores, Speed: s.Speed.draw(rng), Slots: max(1, int(s.SlotsPerCore.draw(rng)*float64(s.Cores))),
		Queue: int(s.QueuePerCore.draw(rng) * float64(s.Cores)), Thrash: s.Thrash.draw(rng), ThrashAt: s.ThrashAt.draw(rng),
		ColdFrom: s.ColdFrom.draw(rng), Cold: span(s.ColdS.draw(rng)), Handshake: spanMS(s.HandshakeMS.draw(rng)),
		ErrorRate: s.ErrorRate.draw(rng), From: -time.Hour}
	cv := s.SpeedCV.draw(rng)
	for i := range f.Fleet.Servers.whole(rng) {
		d.Servers = append(d.Servers, d.machine(base, i, cv, rng))
	}
	d.Link.Same, d.Link.Cross = spanMS(f.Net.SameMS.draw(rng)), spanMS(f.Net.CrossMS.draw(rng))
	d.Link.Far, d.Link.Client = spanMS(f.Net.FarMS.draw(rng)), spanMS(f.Net.ClientMS.draw(rng))
	d.Clients = DayClients{Retries: f.Clients.Retries.draw(rng), TryShare: f.Clients.TryShare.draw(rng),
		Honour: f.Clients.Honour.draw(rng), Elsewhere: f.Load.Elsewhere.draw(rng), Backoff: spanMS(f.Clients.BackoffMS.draw(rng))}
	d.MeterLate = spanMS(f.Rules.MeterLateMS.draw(rng))
	d.Notice.Change, d.Notice.Add = span(f.Discovery.NoticeS.draw(rng)), span(f.Discovery.AddS.draw(rng))
	d.Counter.PerS, d.Counter.Back = f.Counter.PerS.draw(rng), span(f.Counter.BackS.draw(rng))
}

// drawPauses fixes when servers pause by chance, those of a release among them.
func (d *Day) drawPauses(f *File) {
	rng := rngFor(d.Seed, "pauses")
	every, tax := f.Server.PauseEveryS.draw(rng), f.Server.TableTax.draw(rng)
	for i := range d.Servers {
		m := &d.Servers[i]
		m.TableTax = tax
		for at := 0.0; every > 0; {
			if at += every * rng.ExpFloat64(); at >= f.Seconds {
				break
			}
			m.Pauses = append(m.Pauses, Pause{span(at), spanMS(f.Server.PauseMS.draw(rng))})
		}
	}
}

func (d *Day) machine(base Machine, i int, cv float64, rng *rand.Rand) Machine {
	m := base
	m.UID = fmt.Sprintf("s-%08x", rng.Uint32())
	m.Zone = i % len(d.Zones)
	// Cells lie within one zone and carry numbers of their own.
	m.Cell = m.Zone + len(d.Zones)*(i/len(d.Zones)/max(1, d.File.Server.CellSize))
	m.Speed *= math.Max(0.3, 1+cv*rng.NormFloat64())
	return m
}

func (d *Day) drawPlans(f *File) {
	rng := rngFor(d.Seed, "plans")
	for _, p := range f.Plan {
		rate := p.Rate.draw(rng)
		depth := math.Max(rate*p.BurstS.draw(rng), 2*float64(f.Load.MostUnits))
		d.Plans = append(d.Plans, DayPlan{Name: p.Name, Rate: rate, Depth: depth, Price: p.Price, OverCost: p.OverCost})
	}
	total := 0.0
	for _, c := range f.Class {
		c.Share = one(c.Share.draw(rng))
		c.WorkMS, c.CV = one(c.WorkMS.draw(rng)), one(c.CV.draw(rng))
		d.Classes = append(d.Classes, c)
		total += c.Share.Lo
	}
	for i := range d.Classes {
		d.Classes[i].Share = one(d.Classes[i].Share.Lo / total)
	}
}

// drawFaults fixes when each fault comes and whom it takes, and lists the servers that a release
// brings.
func (d *Day) drawFaults(f *File) {
	rng := rngFor(d.Seed, "faults")
	for _, x := range f.Fault {
		e := Event{At: span(x.AtS.draw(rng)), For: span(x.ForS.draw(rng)), Kind: x.Kind, Size: x.Size.draw(rng)}
		share, zone := x.Share.draw(rng), rng.IntN(len(d.Zones))
		if x.Zone != nil {
			zone = *x.Zone
		}
		some := func(n int) []int { return rng.Perm(n)[:max(1, int(math.Round(share*float64(n))))] }
		switch x.Kind {
		case "kill", "stop":
			e.Targets = some(len(d.Nodes))
		case "slow", "errors", "pause", "crash", "reset":
			e.Targets = some(d.started())
		case "zone", "split", "oneway", "delay", "loss":
			e.Targets = []int{zone}
		case "restart":
			for i, n := range some(len(d.Nodes)) {
				step := e
				step.At += span(float64(i) * x.EachS)
				step.Targets = []int{n}
				d.Faults = append(d.Faults, step)
			}
			continue
		case "replace":
			d.replace(e, some(d.started()), rng)
		}
		d.Faults = append(d.Faults, e)
	}
	slices.SortStableFunc(d.Faults, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// started counts the servers that run when the day begins.
func (d *Day) started() int {
	n := 0
	for _, s := range d.Servers {
		if s.From < 0 {
			n++
		}
	}
	return n
}

// replace lets new servers come one after the other, each in the zone and with the figures of an
// old one, which drains when it has started.
func (d *Day) replace(e Event, old []int, rng *rand.Rand) {
	for i, s := range old {
		at := e.At + time.Duration(float64(e.For)*float64(i)/float64(len(old)))
		m := d.Servers[s]
		m.UID, m.From = fmt.Sprintf("s-%08x", rng.Uint32()), at
		d.Servers = append(d.Servers, m)
		d.Servers[s].Drain = at + 500*time.Millisecond
		d.Servers[s].Gone = d.Servers[s].Drain + 5*time.Second
	}
}

// Capacity is the core-seconds a second that all servers of the start do when warm.
func (d *Day) Capacity() float64 {
	sum := 0.0
	for _, s := range d.Servers[:d.started()] {
		sum += float64(s.Cores) * s.Speed
	}
	return sum
}

// work draws a request's class, work and units. Units go by the work, three on average; the guess
// that the client names departs from the truth.
func (d *Day) work(rng *rand.Rand, guess distuv.LogNormal, mean float64) (class, units, real int, work time.Duration) {
	x := rng.Float64()
	for class < len(d.Classes)-1 && x > d.Classes[class].Share.Lo {
		x -= d.Classes[class].Share.Lo
		class++
	}
	c := &d.Classes[class]
	ms := c.WorkMS.Lo * lognormal(c.CV.Lo, rng).Rand()
	most := float64(d.File.Load.MostUnits)
	real = int(math.Min(most, math.Max(1, math.Round(3*ms/mean))))
	units = int(math.Min(most, math.Max(1, math.Round(float64(real)*guess.Rand()))))
	return class, units, real, spanMS(ms)
}

// lognormal has mean 1 and the coefficient of variation given.
func lognormal(cv float64, rng *rand.Rand) distuv.LogNormal {
	s2 := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: -s2 / 2, Sigma: math.Sqrt(s2), Src: rng}
}

func (d *Day) meanWork() float64 {
	mean := 0.0
	for _, c := range d.Classes {
		mean += c.Share.Lo * c.WorkMS.Lo
	}
	return mean
}

// appetite is what a customer asks, in parts of its rate, and when.
type appetite struct {
	base, spike       float64
	every, span, from float64 // s
}

func (a appetite) at(t float64) float64 {
	if a.spike > 0 && math.Mod(t+a.from, a.every) < a.span {
		return a.spike
	}
	return a.base
}

// inside is the part of the rate that it asks inside its quota, about.
func (a appetite) inside() float64 {
	duty := 0.0
	if a.spike > 0 {
		duty = a.span / a.every
	}
	return math.Min(1, a.base)*(1-duty) + duty
}

func (f *File) appetite(rng *rand.Rand, full, heavy, spiky float64) appetite {
	l := &f.Load
	a := appetite{base: l.CalmUse.draw(rng)}
	switch x := rng.Float64(); {
	case x < full:
		a.base = 0.85 + 0.15*rng.Float64()
	case x < full+heavy:
		a.base = l.HeavyX.draw(rng)
	case x < full+heavy+spiky:
		a.spike, a.span, a.every = l.SpikeX.draw(rng), l.SpikeS.draw(rng), l.SpikeEveryS.draw(rng)
		a.from = rng.Float64() * a.every
	}
	return a
}

// leastAsked is the part of the load below which a rest is none: what rounding leaves over.
const leastAsked = 1e-6

// drawCustomers adds customers plan by plan until what they ask inside their quotas is the load
// that the day is to have, and draws the arrivals of each.
func (d *Day) drawCustomers(f *File) {
	rng := rngFor(d.Seed, "customers")
	load := f.Load.Inside.draw(rng) * d.Capacity() / (d.meanWork() / 1000) // requests a second
	full, heavy, spiky := f.Load.Full.draw(rng), f.Load.Heavy.draw(rng), f.Load.Spiky.draw(rng)
	skew, shift, guess := f.Load.Skew.draw(rng), f.Load.ShiftS.draw(rng), f.Load.GuessCV.draw(rng)
	meanUnits := d.meanUnits(guess)
	for i, p := range f.Plan {
		left := load * p.Share
		for left > leastAsked*load {
			a := f.appetite(rng, full, heavy, spiky)
			if rate := d.Plans[i].Rate / meanUnits; rate*a.inside() > 2*left && len(d.Customers) > 0 {
				a.base, a.spike = left/rate, 0 // the last one asks what is missing
			}
			left -= a.inside() * d.Plans[i].Rate / meanUnits
			d.addCustomer(rng, i, p, skew, span(shift))
			d.drawArrivals(rng.Uint64(), len(d.Customers)-1, a, meanUnits, guess)
		}
	}
	slices.SortStableFunc(d.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

func (d *Day) meanUnits(guess float64) float64 {
	rng, sum, n := rngFor(d.Seed, "units"), 0, 4000
	dist := lognormal(guess, rng)
	for range n {
		_, units, _, _ := d.work(rng, dist, d.meanWork())
		sum += units
	}
	return float64(sum) / float64(n)
}

func (d *Day) addCustomer(rng *rand.Rand, plan int, p Plan, skew float64, shift time.Duration) {
	c := Customer{ID: rng.Uint64N(1 << 33), Plan: plan, First: rng.IntN(len(d.Nodes)), Epoch: shift,
		Spread: max(1, int(math.Round(p.Spread.draw(rng)*float64(len(d.Nodes)))))}
	if most := d.File.Load.SetMost; most > 0 {
		c.Spread = min(c.Spread, most)
	}
	for range int(d.Length/shift) + 2 {
		w := make([]float32, c.Spread)
		for i := range w {
			w[i] = float32(math.Exp(skew * rng.NormFloat64()))
		}
		c.Weights = append(c.Weights, w)
	}
	d.Customers = append(d.Customers, c)
}

// drawArrivals thins a steady stream at the customer's highest rate.
func (d *Day) drawArrivals(seed uint64, customer int, a appetite, meanUnits, guessCV float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	guess, mean := lognormal(guessCV, rng), d.meanWork()
	per := d.Plans[d.Customers[customer].Plan].Rate / meanUnits
	burst := 1.0
	for _, e := range d.Faults {
		if e.Kind == "burst" {
			burst = math.Max(burst, e.Size)
		}
	}
	most := per * math.Max(a.base, a.spike) * burst
	for t := rng.ExpFloat64() / most; t < d.Length.Seconds(); t += rng.ExpFloat64() / most {
		if rng.Float64()*most > per*a.at(t)*d.burstAt(span(t)) {
			continue
		}
		class, units, real, work := d.work(rng, guess, mean)
		d.Arrivals = append(d.Arrivals, Arrival{span(t), customer, class, units, real, work, rng.Uint64()})
	}
}

func (d *Day) burstAt(t time.Duration) float64 {
	for _, e := range d.Faults {
		if e.Kind == "burst" && t >= e.At && t < e.At+e.For {
			return e.Size
		}
	}
	return 1
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

// columns of a recording of arrivals, in this order.
var columns = []string{"at_ms", "account", "plan", "class", "units", "true_units", "work_ms"}

// readArrivals takes recorded arrivals in place of drawn ones. A customer's set is drawn.
func (d *Day) readArrivals(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if len(rows) == 0 || !slices.Equal(rows[0], columns) {
		return fmt.Errorf("%s: the first line is not %v", path, columns)
	}
	rng, seen := rngFor(d.Seed, "recorded"), map[string]int{}
	for i, row := range rows[1:] {
		a, plan, err := d.readArrival(row)
		if err != nil {
			return fmt.Errorf("%s: line %d: %w", path, i+2, err)
		}
		n, ok := seen[row[1]]
		if !ok {
			n, seen[row[1]] = len(d.Customers), len(d.Customers)
			id, err := strconv.ParseUint(row[1], 16, 33)
			if err != nil {
				return fmt.Errorf("%s: line %d: account: %w", path, i+2, err)
			}
			d.addCustomer(rng, plan, d.File.Plan[plan], d.File.Load.Skew.draw(rng), span(d.File.Load.ShiftS.draw(rng)))
			d.Customers[n].ID = id
		}
		a.Customer, a.Seed = n, rng.Uint64()
		d.Arrivals = append(d.Arrivals, a)
	}
	slices.SortStableFunc(d.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return nil
}

func (d *Day) readArrival(row []string) (a Arrival, plan int, err error) {
	at, err1 := strconv.ParseFloat(row[0], 64)
	plan = slices.IndexFunc(d.Plans, func(p DayPlan) bool { return p.Name == row[2] })
	a.Class = slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == row[3] })
	units, err2 := strconv.Atoi(row[4])
	real, err3 := strconv.Atoi(row[5])
	work, err4 := strconv.ParseFloat(row[6], 64)
	a.At, a.Units, a.True, a.Work = spanMS(at), units, real, spanMS(work)
	switch {
	case cmp.Or(err1, err2, err3, err4) != nil:
		return a, plan, cmp.Or(err1, err2, err3, err4)
	case plan < 0 || a.Class < 0:
		return a, plan, fmt.Errorf("plan %q or class %q is not in the scenario", row[2], row[3])
	case units < 1 || real < 1 || !(work > 0 && work < 1e6) || !(at >= 0 && at < 1e9):
		return a, plan, fmt.Errorf("a figure is out of range in %v", row)
	}
	return a, plan, nil
}
