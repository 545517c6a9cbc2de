package zone

import (
	"math"
	"time"
)

// outcomeBin counts the attempts at a zone that ended within one bin of time.
type outcomeBin struct {
	number            int64                 // number of the bin, counted from time 0
	succeeded, failed float64               // attempts
	responseSeconds   float64               // sum over the successful attempts
	servers           map[uint64][2]float64 // successful and failed attempts, by server
}

// Observe records attempts at a server of a zone that ended at the given time: their number, whether they succeeded,
// and their mean response time. Attempts that other nodes report count like own ones if endedAt is the time at which
// they ended. Unknown zones and numbers that are not positive are ignored.
func (p *Policy) Observe(endedAt time.Duration, zone string, server uint64, attempts float64, success bool, responseSeconds float64) {
	z := p.byName[zone]
	if z == nil || !(attempts > 0) {
		return
	}
	number := int64(endedAt / binWidth)
	bin := &z.bins[((number%binCount)+binCount)%binCount]
	if bin.number > number {
		return // older than the window
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

// attemptStats summarizes the attempts at one or more zones in the window.
type attemptStats struct {
	attempts, failureRate           float64 // number of attempts, and the fraction that failed
	failureRateLow, failureRateHigh float64 // confidence bounds of the failure rate
	servers                         float64 // number of servers with attempts
	failingServerFraction           float64 // fraction of these servers at which most attempts failed
	responseSeconds                 float64 // mean response time of successful attempts; 0 means there are none
}

// attemptStats returns the statistics of a zone for the window that ends now. Without attempts, the failure rate is 0
// with bounds of 0 and 1.
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
			stats.failingServerFraction++
		}
	}
	stats.failingServerFraction /= math.Max(1, stats.servers)
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

// wilsonInterval returns the Wilson score interval of a fraction that was observed in n attempts.
func wilsonInterval(fraction, n float64) (low, high float64) {
	zSquared := confidenceZScore * confidenceZScore
	mid := (fraction + zSquared/(2*n)) / (1 + zSquared/n)
	half := confidenceZScore / (1 + zSquared/n) * math.Sqrt(fraction*(1-fraction)/n+zSquared/(4*n*n))
	return math.Max(0, mid-half), math.Min(1, mid+half)
}

// statsOfOthers returns the combined statistics of all zones except the one at index excluded and the evacuated ones.
// It does not set failingServerFraction.
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

// othersHealthier reports whether the failure rate of the other zones is so much lower that an evacuation helps. If
// they have too few attempts or fail too, the cause may be this node or lie outside the zone.
func othersHealthier(stats, others attemptStats) bool {
	return others.attempts >= minAttempts && stats.failureRate-others.failureRate >= minFailureRateGap && others.failureRateHigh < stats.failureRateLow
}
