package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

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

// Capacity is the core-seconds a second that all servers of the start do when warm.
func (d *Day) Capacity() float64 {
	sum := 0.0
	for _, s := range d.Servers[:d.started()] {
		sum += float64(s.Cores) * s.Speed
	}
	return sum
}

// MostServersAtOnce returns how many servers of the day run at once at most.
func (d *Day) MostServersAtOnce() int {
	type change struct {
		at    time.Duration
		count int
	}
	var changes []change
	for _, s := range d.Servers {
		changes = append(changes, change{s.From, 1})
		if s.Gone > 0 {
			changes = append(changes, change{s.Gone, -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.count, b.count)) })
	running, most := 0, 0
	for _, c := range changes {
		running += c.count
		most = max(most, running)
	}
	return most
}

// Group returns the number of nodes of the fleet, of which the day may play some only.
func (d *Day) Group() int { return max(len(d.Nodes), d.File.Fleet.Group) }
