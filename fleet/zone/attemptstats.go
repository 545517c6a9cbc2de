package zone

import (
	"math"
	"time"
)

// counts is the evidence of one bin.
type outcomeBin struct {
	number            int64 // the bin's number
	succeeded, failed float64
	responseSeconds   float64 // of good answers
	servers           map[uint64][2]float64
}

// Observe takes the outcome of n attempts at a server of a zone that ended at a time: whether they succeeded, and in how
// many seconds in the mean. Reports of other nodes count like own attempts where at is when those ended.
func (p *Policy) Observe(endedAt time.Duration, zone string, server uint64, attempts float64, success bool, responseSeconds float64) {
	z := p.byName[zone]
	if z == nil || !(attempts > 0) {
		return
	}
	number := int64(endedAt / binWidth)
	bin := &z.bins[((number%binCount)+binCount)%binCount]
	if bin.number > number {
		return // older than what is counted there
	}
	if bin.number != number || bin.servers == nil {
		*bin = outcomeBin{number: number, servers: make(map[uint64][2]float64)}
	}
	outcomes := bin.servers[server]
	if success {
		bin.succeeded += attempts
		bin.responseSeconds += attempts * responseSeconds
		outcomes[0] += attempts
	} else {
		bin.failed += attempts
		outcomes[1] += attempts
	}
	bin.servers[server] = outcomes
}

// evidence is the outcome of the attempts in the window.
type attemptStats struct {
	attempts, failureRate           float64 // attempts, and the fraction that failed
	failureRateLow, failureRateHigh float64 // bounds of that fraction
	servers                         float64
	failingServers                  float64 // fraction of the servers seen that mostly fail
	responseSeconds                 float64 // s, mean; 0 is none
}

func (z *Zone) attemptStats(now time.Duration) (stats attemptStats) {
	var succeeded, failed, responseSeconds float64
	byServer := map[uint64][2]float64{}
	for i := range z.bins {
		bin := &z.bins[i]
		if bin.servers == nil || bin.number <= int64(now/binWidth)-binCount {
			continue
		}
		succeeded, failed, responseSeconds = succeeded+bin.succeeded, failed+bin.failed, responseSeconds+bin.responseSeconds
		for server, outcomes := range bin.servers {
			byServer[server] = [2]float64{byServer[server][0] + outcomes[0], byServer[server][1] + outcomes[1]}
		}
	}
	for _, outcomes := range byServer {
		stats.servers++
		if outcomes[1] > outcomes[0] {
			stats.failingServers++
		}
	}
	stats.failingServers /= math.Max(1, stats.servers)
	stats.attempts = succeeded + failed
	if stats.attempts == 0 {
		stats.failureRateHigh = 1
		return stats
	}
	stats.failureRate = failed / stats.attempts
	stats.failureRateLow, stats.failureRateHigh = wilsonInterval(stats.failureRate, stats.attempts)
	if succeeded > 0 {
		stats.responseSeconds = responseSeconds / succeeded
	}
	return stats
}

// bounds returns the Wilson score interval of a fraction that was observed n times.
func wilsonInterval(fraction, n float64) (low, high float64) {
	zSquared := confidenceZScore * confidenceZScore
	mid := (fraction + zSquared/(2*n)) / (1 + zSquared/n)
	half := confidenceZScore / (1 + zSquared/n) * math.Sqrt(fraction*(1-fraction)/n+zSquared/(4*n*n))
	return math.Max(0, mid-half), math.Min(1, mid+half)
}

// evidenceElsewhere returns the evidence of all zones but one, without those that are evacuated; n is 0 where there is none.
func (p *Policy) statsOfOthers(byZone []attemptStats, excluded int) (stats attemptStats) {
	var failed, responseSeconds, succeeded float64
	for i, z := range p.zones {
		if i == excluded || z.state == Evacuated || byZone[i].attempts == 0 {
			continue
		}
		stats.attempts += byZone[i].attempts
		failed += byZone[i].attempts * byZone[i].failureRate
		responseSeconds += byZone[i].responseSeconds * byZone[i].attempts * (1 - byZone[i].failureRate)
		succeeded += byZone[i].attempts * (1 - byZone[i].failureRate)
		stats.servers += byZone[i].servers
	}
	stats.failureRateHigh = 1
	if stats.attempts > 0 {
		stats.failureRate = failed / stats.attempts
		stats.failureRateLow, stats.failureRateHigh = wilsonInterval(stats.failureRate, stats.attempts)
	}
	if succeeded > 0 {
		stats.responseSeconds = responseSeconds / succeeded
	}
	return stats
}

// elsewhere reports whether the other zones fail so much less that an evacuation helps. Without evidence of them, or where
// they fail too, the fault may be this node's or everywhere.
func othersHealthier(stats, others attemptStats) bool {
	return others.attempts >= minAttempts && stats.failureRate-others.failureRate >= minFailureRateGap && others.failureRateHigh < stats.failureRateLow
}
