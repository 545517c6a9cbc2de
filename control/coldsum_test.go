package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

type coldDay struct {
	group, servers int
	from           float64 // part of its capacity that a cold server starts with
	does           float64 // requests a second that a warm server can do
	takes          float64 // s that an idle server takes
	load           float64 // part of the warm servers' capacity that is asked for
	cv             float64 // of the work of a request
	always         bool    // whoever has room sends
}

// sums gives the worst part of the formula over all spans, and the mean sent as a part of N, by quarter of the ramp.
func (d coldDay) sums(seed uint64) (worst float64, part [4]float64, falls int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := fleet(d.group)
	s.Cold, s.ColdFrom, s.Fall, s.FallMultiple = 16*time.Second, d.from, 1500*ms, 2
	up := time.Hour
	var members []Member
	for i := 1; i <= d.servers; i++ {
		members = append(members, Member{Server: uint32(i), Key: uint32(i) * 2654435761, Zone: "z1"})
	}
	members[0].CameUp, members[0].HasCameUp = up, true
	gs := make([]*Controller, d.group)
	total := d.load * 18 * float64(d.servers-1)
	each := total / float64(d.group)
	for i := range gs {
		s.SelfIndex = i
		c, err := New(s, seed*10007+uint64(i))
		if err != nil {
			panic(err)
		}
		c.latency, c.idle, c.seen, c.unitsMean = d.takes, d.takes, 100, 1
		c.servedRate, c.answerRate = each, each
		c.Handle(up, List{Kind: Stale, Members: members})
		c.usables = float64(d.servers)
		gs[i] = c
	}
	type sent struct {
		at   time.Duration
		work float64
	}
	var sends []sent
	type due struct {
		at time.Duration
		s  *server
	}
	var out []due
	sigma := math.Sqrt(math.Log(1 + d.cv*d.cv))
	for now := up; ; {
		now += seconds(rng.ExpFloat64() / total)
		if now >= up+s.Cold {
			break
		}
		for len(out) > 0 && out[0].at <= now {
			out[0].s.inflight--
			out = out[1:]
		}
		c := gs[rng.IntN(d.group)]
		x := c.servers[1]
		c.now = now
		if !c.coldRoom(x, 1) {
			continue
		}
		if !d.always && rng.IntN(d.servers) > 0 && !(x.home && rng.IntN(4) == 0) {
			continue
		}
		x.tokens--
		x.inflight++
		out = append(out, due{now + seconds(d.takes), x})
		sends = append(sends, sent{now, math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)})
	}
	lo, sum := 0, 0.0
	for _, x := range sends {
		sum += x.work
		for sends[lo].at < x.at-s.Fall {
			sum -= sends[lo].work
			lo++
		}
		w := d.from + (1-d.from)*(x.at-up).Seconds()/s.Cold.Seconds()
		n := s.FallMultiple * w * d.does * s.Fall.Seconds()
		worst = max(worst, sum/(n+3*math.Sqrt(n)+3))
		q := min(3, int(4*(x.at-up)/s.Cold))
		part[q] += 1 / (s.FallMultiple * w * d.does * s.Cold.Seconds() / 4)
	}
	return worst, part, 0
}

func TestScanColdSums(t *testing.T) {
	if os.Getenv("SCAN") == "" {
		t.Skip()
	}
	for _, always := range []bool{true, false} {
		for _, cv := range []float64{1, 1.5} {
			for _, does := range []float64{18, 14, 11} {
				for _, servers := range []int{60, 200} {
					for _, group := range []int{8, 20, 60, 150, 300, 1000} {
						d := coldDay{group, servers, 0.17, does, 0.17, 0.7, cv, always}
						var ws []float64
						var ps [4]float64
						runs, over := 10, 0
						for seed := range uint64(runs) {
							w, p, _ := d.sums(seed)
							ws = append(ws, w)
							if w > 1 {
								over++
							}
							for i := range ps {
								ps[i] += p[i] / float64(runs)
							}
						}
						slices.Sort(ws)
						fmt.Printf("%5d %4d does %.0f cv %.1f %v | %.2f %.2f %.2f over %d | %.2f\n", d.group, d.servers, d.does, d.cv, d.always,
							ws[runs/2], ws[runs*9/10], ws[runs-1], over, ps)
					}
				}
			}
		}
	}
}
