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

// Observe takes the outcome of n attempts at a server of a zone that ended at a time: whether they succeeded, and in how
// many seconds in the mean. Reports of other nodes count like own attempts where at is when those ended.
func (p *Policy) Observe(at time.Duration, zone string, server uint64, n float64, good bool, seconds float64) {
	z := p.byName[zone]
	if z == nil || !(n > 0) {
		return
	}
	b := int64(at / evidenceBin)
	c := &z.evidenceByBin[((b%evidenceBins)+evidenceBins)%evidenceBins]
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

// evidence is the outcome of the attempts in the window.
type evidence struct {
	n, failing float64 // attempts, and the fraction that failed
	low, high  float64 // bounds of that fraction
	servers    float64
	failed     float64 // fraction of the servers seen that mostly fail
	answer     float64 // s, mean; 0 is none
}

func (z *Zone) evidence(now time.Duration) (e evidence) {
	var good, bad, seconds float64
	by := map[uint64][2]float64{}
	for i := range z.evidenceByBin {
		c := &z.evidenceByBin[i]
		if c.servers == nil || c.at <= int64(now/evidenceBin)-evidenceBins {
			continue
		}
		good, bad, seconds = good+c.good, bad+c.bad, seconds+c.seconds
		for s, n := range c.servers {
			by[s] = [2]float64{by[s][0] + n[0], by[s][1] + n[1]}
		}
	}
	for _, n := range by {
		e.servers++
		if n[1] > n[0] {
			e.failed++
		}
	}
	e.failed /= math.Max(1, e.servers)
	e.n = good + bad
	if e.n == 0 {
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

// bounds returns the Wilson score interval of a fraction that was observed n times.
func bounds(part, n float64) (low, high float64) {
	z2 := confidenceDeviations * confidenceDeviations
	mid := (part + z2/(2*n)) / (1 + z2/n)
	half := confidenceDeviations / (1 + z2/n) * math.Sqrt(part*(1-part)/n+z2/(4*n*n))
	return math.Max(0, mid-half), math.Min(1, mid+half)
}

// evidenceElsewhere returns the evidence of all zones but one, without those that are evacuated; n is 0 where there is none.
func (p *Policy) evidenceElsewhere(seen []evidence, but int) (e evidence) {
	var bad, seconds, answers float64
	for i, z := range p.zones {
		if i == but || z.state == Evacuated || seen[i].n == 0 {
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

// elsewhere reports whether the other zones fail so much less that an evacuation helps. Without evidence of them, or where
// they fail too, the fault may be this node's or everywhere.
func elsewhere(e, rest evidence) bool {
	return rest.n >= minAttempts && e.failing-rest.failing >= minFailureRateGap && rest.high < e.low
}
