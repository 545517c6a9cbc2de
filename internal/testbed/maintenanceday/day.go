// Package maintenanceday plays the work of a fleet in virtual time: the state machine of fleet/maintenance and
// its agents, against machines, links and zones that are drawn. A judge of its own looks at each
// moment whether a bound is broken, and a search looks for the best order that there would have been.
package maintenanceday

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloestile/fleet/maintenance"
)

// Machine is one machine as drawn: what is seen of it, and what its turn truly takes.
type Machine struct {
	maintenance.Machine
	Work               bool // it is in the plan
	Drain, Out, Warmup time.Duration
	DiesAt             time.Duration // after its first grant; 0 is never
}

// Day is one draw.
type Day struct {
	Seed     uint64
	Machines []Machine
	Nodes    int
	Plan     *maintenance.Plan
	Followed *maintenance.Plan // by the state machine, where another than it is judged by
	Uplinks  []maintenance.UplinkWindow
	Lost     string // a zone that is lost, from At for For; "" is none
	At, For  time.Duration
	Loss     float64 // part of the messages of agents
}

// begin is the wall time at which a day begins, in Unix milliseconds.
const begin = maintenance.Timestamp(1_790_000_000_000)

// Draw makes a day of a fleet of some machines, three in five of them edge nodes, a third of either
// in the plan.
func Draw(seed uint64, machines int) *Day {
	rng := rand.New(rand.NewPCG(seed, uint64(machines)))
	d := &Day{Seed: seed, Nodes: machines * 3 / 5, Loss: 0.02}
	share := make([]float64, 3+rng.IntN(3))
	for i := range share {
		share[i] = 0.6 + 0.8*rng.Float64()
	}
	voters := map[int]bool{}
	for i := range machines {
		m := Machine{Machine: maintenance.Machine{Kind: maintenance.Server, Zone: fmt.Sprint("hall-", pick(rng, share)), Capacity: 50 * uint32(2+rng.IntN(4)), Phase: maintenance.PhaseWarm}}
		m.Host = fmt.Sprintf("rate-%05d", i-d.Nodes)
		if i < d.Nodes {
			m.Kind, m.Host, m.Index, m.Capacity = maintenance.Node, fmt.Sprintf("edge-%05d", i), i, 100
			if zone := pick(rng, share); len(voters) < 5 && !voters[zone] {
				voters[zone], m.Voter = true, true
				m.Zone = fmt.Sprint("hall-", zone)
			}
		}
		m.Name, m.Load = m.Host, uint32(100*(1+rng.ExpFloat64()))
		d.Machines = append(d.Machines, m)
	}
	d.drawPlan(rng, len(share))
	d.widen()
	d.Lost, d.For = fmt.Sprint("hall-", rng.IntN(len(share))), 3*time.Minute
	return d
}

// widen has the bound on warm capacity let each machine of the plan out alone.
func (d *Day) widen() {
	for _, m := range d.Machines {
		for m.Work && d.warm(m.Kind) < uint64(m.Capacity) {
			d.Plan.Bounds.MaxCapacityFraction += 10
		}
	}
}

// warm is what of a kind may be away after the worst zone's loss, in requests a second.
func (d *Day) warm(k maintenance.Kind) uint64 {
	zones, sum, worst := map[string]uint64{}, uint64(0), uint64(0)
	for _, m := range d.Machines {
		if m.Kind == k {
			zones[m.Zone] += uint64(m.Capacity)
			sum, worst = sum+uint64(m.Capacity), max(worst, zones[m.Zone])
		}
	}
	return (sum - worst) * uint64(d.Plan.Bounds.MaxCapacityFraction) / 1000
}

func pick(rng *rand.Rand, share []float64) int {
	sum := 0.0
	for _, s := range share {
		sum += s
	}
	at := rng.Float64() * sum
	for i, s := range share {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(share) - 1
}

// drawPlan has a third of the hosts worked on, in three jobs.
func (d *Day) drawPlan(rng *rand.Rand, zones int) {
	span := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Round(time.Second)
	}
	p := &maintenance.Plan{GrantTimeout: maintenance.Duration(20 * time.Second), DrainDuration: maintenance.Duration(6 * time.Second), WarmUpDuration: maintenance.Duration(45 * time.Second),
		Bounds: maintenance.Bounds{MaxZoneFraction: maintenance.Fraction(100 + rng.IntN(150)), MaxSetFraction: maintenance.Fraction(340 + rng.IntN(160)), SetSizes: []int{3, 5, 8},
			MaxCapacityFraction: maintenance.Fraction(100 + rng.IntN(150)), AllowOne: true, UplinkMargin: maintenance.Duration(5 * time.Minute)},
		HaltPolicy: maintenance.HaltPolicy{MaxServedDrop: 50, MaxNoMajorityDuration: maintenance.Duration(time.Second), ResumeMode: maintenance.ResumeAutomatically, ResumeDelay: maintenance.Duration(30 * time.Second)},
		Jobs: []maintenance.Job{{Name: "kernel", WorkDuration: maintenance.Duration(span(8*time.Minute, 15*time.Minute))},
			{Name: "power", WorkDuration: maintenance.Duration(span(15*time.Minute, 30*time.Minute))}, {Name: "disks", WorkDuration: maintenance.Duration(span(3*time.Minute, 8*time.Minute))}}}
	var nodes, servers []string
	beside := map[string]int{}
	for _, m := range d.Machines {
		beside[m.Zone+m.Kind.String()]++
	}
	for _, i := range rng.Perm(len(d.Machines)) {
		m := &d.Machines[i]
		if beside[m.Zone+m.Kind.String()] < 2 {
			continue // the only one of its kind there never goes
		}
		group := &servers
		if m.Kind == maintenance.Node {
			group = &nodes
		}
		if all := d.Nodes; len(*group)*3 >= all && m.Kind == maintenance.Node || len(*group)*3 >= len(d.Machines)-all && m.Kind == maintenance.Server {
			continue
		}
		*group = append(*group, m.Host)
		j := &p.Jobs[pick(rng, []float64{0.5, 0.3, 0.2})]
		j.Hosts = append(j.Hosts, m.Host)
		m.Work, m.Out = true, time.Duration(float64(j.WorkDuration)*(0.8+0.4*rng.Float64()))
		if rng.IntN(50) == 0 {
			m.Out *= 2 // it runs over
		}
		if m.Drain, m.Warmup = span(2*time.Second, 8*time.Second), span(20*time.Second, time.Minute); rng.IntN(60) == 0 && m.Kind == maintenance.Node {
			m.DiesAt = span(time.Second, 10*time.Second)
		}
	}
	for i := 0; i+1 < min(len(nodes), len(servers)) && i < 8; i += 2 {
		p.AntiAffinityGroups = append(p.AntiAffinityGroups, maintenance.AntiAffinityGroup{Name: fmt.Sprint("sources-", i), Hosts: nodes[i : i+2], MaxUnavailable: 1},
			maintenance.AntiAffinityGroup{Name: fmt.Sprint("spread-", i), Hosts: servers[i : i+2], MaxUnavailable: 1})
	}
	p.Jobs = slices.DeleteFunc(p.Jobs, func(j maintenance.Job) bool { return len(j.Hosts) == 0 })
	d.Plan = p
	d.Uplinks = []maintenance.UplinkWindow{{Zone: fmt.Sprint("hall-", rng.IntN(zones)), Start: begin + 40*60_000, End: begin + 50*60_000}}
}
