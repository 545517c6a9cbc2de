package outage

import (
	"math/rand/v2"
	"time"
)

// noRegion is the value of links.cutRegion while all regions are connected.
const noRegion = -1

// links is the simulated transport between nodes: one-way delays, loss and a region that is cut off.
type links struct {
	sameZone   time.Duration // least one-way delays
	sameRegion time.Duration
	far        time.Duration // between regions
	tail       float64       // mean of the exponential part of a delay, as a part of the least delay
	lossNear   float64       // part of the messages that are lost within a region
	lossFar    float64       // and between regions
	cutRegion  int           // has no link to the others; noRegion is none
}

// usualLinks are links between regions 80 ms apart.
func usualLinks() links {
	return links{sameZone: 250 * time.Microsecond, sameRegion: time.Millisecond, far: 80 * time.Millisecond,
		tail: 0.2, lossNear: 0.001, lossFar: 0.01, cutRegion: noRegion}
}

// poorLinks are slow and lossy links between regions: 250 ms one way with a long tail, and a tenth of
// the messages lost.
func poorLinks() links {
	l := usualLinks()
	l.far, l.tail, l.lossFar = 250*time.Millisecond, 0.4, 0.1
	return l
}

// delay draws the one-way delay of a message.
func (l *links) delay(f fleetSize, rng *rand.Rand, from, to int) time.Duration {
	least := l.sameRegion
	switch {
	case f.zoneOf(from) == f.zoneOf(to):
		least = l.sameZone
	case f.regionOf(from) != f.regionOf(to):
		least = l.far
	}
	return time.Duration(float64(least) * (1 + l.tail*rng.ExpFloat64()))
}

// connected reports whether packets can pass between two nodes.
func (l *links) connected(f fleetSize, from, to int) bool {
	return l.cutRegion == noRegion || (f.regionOf(from) == l.cutRegion) == (f.regionOf(to) == l.cutRegion)
}

// lost draws whether a message is lost on its way.
func (l *links) lost(f fleetSize, rng *rand.Rand, from, to int) bool {
	if !l.connected(f, from, to) {
		return true
	}
	if f.regionOf(from) != f.regionOf(to) {
		return rng.Float64() < l.lossFar
	}
	return rng.Float64() < l.lossNear
}
