package zone

import (
	"math"
	"time"
)

// counts is the evidence of one bin.
type counts struct {
	at        int64 // the bin's number
	good, bad float64
	seconds   float64 // of good answers
	servers   map[uint64][2]float64
}

// Saw takes how attempts at a server of a zone ended: n of them, good or not, in the mean time of
// good ones in seconds. Others' word counts like one's own where it comes with its own age: at is
// when they ended.
func (p *Policy) Saw(at time.Duration, zone string, server uint64, n float64, good bool, seconds float64) {
	z := p.of[zone]
	if z == nil || !(n > 0) {
		return
	}
	b := int64(at / bin)
	c := &z.seen[((b%bins)+bins)%bins]
	if c.at > b {
		return // older than what is counted there
	}
	if c.at != b || c.servers == nil {
		*c = counts{at: b, servers: make(map[uint64][2]float64)}
	}
	s := c.servers[server]
	if good {
		c.good += n
		c.seconds += n * seconds
		s[0] += n
	} else {
		c.bad += n
		s[1] += n
	}
	c.servers[server] = s
}

// evidence is what the last second says of a zone.
type evidence struct {
	n, failing float64 // attempts, and the part that failed
	low, high  float64 // bounds of that part
	servers    float64
	failed     float64 // part of the servers seen that fail mostly
	answer     float64 // s, mean; 0 is none
}

func (z *Zone) evidence(now time.Duration) (e evidence) {
	var good, bad, seconds float64
	by := map[uint64][2]float64{}
	for i := range z.seen {
		c := &z.seen[i]
		if c.servers == nil || c.at <= int64(now/bin)-bins {
			continue
		}
		good, bad, seconds = good+c.good, bad+c.bad, seconds+c.seconds
		for s, n := range c.servers {
			by[s] = [2]float64{by[s][0] + n[0], by[s][1] + n[1]}
		}
	}
	for _, n := range by {
		if e.servers++; n[1] > n[0] {
			e.failed++
		}
	}
	e.failed /= math.Max(1, e.servers)
	if e.n = good + bad; e.n == 0 {
		e.high = 1
		return e
	}
	e.failing = bad / e.n
	e.low, e.high = bounds(e.failing, e.n)
	if good > 0 {
		e.answer = seconds / good
	}
	return e
}

// bounds are Wilson's of a part seen in n.
func bounds(part, n float64) (low, high float64) {
	z2 := confident * confident
	mid := (part + z2/(2*n)) / (1 + z2/n)
	half := confident / (1 + z2/n) * math.Sqrt(part*(1-part)/n+z2/(4*n*n))
	return math.Max(0, mid-half), math.Min(1, mid+half)
}

// rest is what the other zones that are not left say together; n is 0 where there is none.
func (p *Policy) rest(seen []evidence, but int) (e evidence) {
	var bad, seconds, answers float64
	for i, z := range p.zones {
		if i == but || z.state == Left || seen[i].n == 0 {
			continue
		}
		e.n += seen[i].n
		bad += seen[i].n * seen[i].failing
		seconds += seen[i].answer * seen[i].n * (1 - seen[i].failing)
		answers += seen[i].n * (1 - seen[i].failing)
		e.servers += seen[i].servers
	}
	e.high = 1
	if e.n > 0 {
		e.failing = bad / e.n
		e.low, e.high = bounds(e.failing, e.n)
	}
	if answers > 0 {
		e.answer = seconds / answers
	}
	return e
}

// elsewhere tells whether the others do so much better that leaving a zone helps. Where nothing is
// seen of them, or they fail as well, what is seen speaks of this node, or of all.
func elsewhere(e, rest evidence) bool {
	return rest.n >= enough && e.failing-rest.failing >= better && rest.high < e.low
}
