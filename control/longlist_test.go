package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The tests of this file compare one node on the longest list of a deployment with one on the usual list.
const (
	usualServers   = 200
	longestServers = 3200

	updates          = 10                       // in which half of a list is replaced
	entriesPerUpdate = longestServers / updates // a removed server and an added one for each that is replaced
)

// longListDay plays requests at one node while half of its list is replaced by servers that are warming up.
// Some attempts fail, so that retries that are bound to the scope of a key wait in a full queue.
type longListDay struct {
	h       *harness
	rng     *rand.Rand
	servers int
	started uint32 // highest number of a server
	next    int    // number of the next request
	ended   int    // number of sends that were answered
}

func longListSettings(fleetSize int) Settings {
	s := testSettings()
	s.FleetSize = fleetSize
	s.SlowStartDuration = 20 * time.Second
	s.Classes = append(s.Classes, Class{
		Name:              "pay",
		LatencyObjective:  time.Second,
		Deadline:          3 * time.Second,
		Idempotency:       IdempotentByKey,
		KeyScope:          KeyScopeCell,
		IdempotencyWindow: 2 * time.Second,
		PriorityWeight:    2,
	})
	return s
}

// longListEndpoint returns the entry of a server in one of four zones and in a cell of four.
func longListEndpoint(id uint32) Endpoint {
	return Endpoint{Server: id, HashKey: id * 2654435761, Zone: fmt.Sprint("z", id%4), Cell: int(id / 4), Size: 1}
}

func newLongListDay(t *testing.T, servers, fleetSize int) *longListDay {
	t.Helper()
	var list []Endpoint
	for id := 1; id <= servers; id++ {
		list = append(list, longListEndpoint(uint32(id)))
	}
	return &longListDay{
		h:       newHarness(t, longListSettings(fleetSize), list...),
		rng:     rand.New(rand.NewPCG(9, 9)),
		servers: servers,
		started: uint32(servers),
	}
}

// replace drains some of the first servers and lists as many new ones that are warming up.
func (d *longListDay) replace(first, count int) {
	update := EndpointUpdate{Kind: Delta}
	for id := first; id < first+count; id++ {
		gone := longListEndpoint(uint32(id))
		gone.Condition = Removed
		d.started++
		added := longListEndpoint(d.started)
		added.HasStartedAt, added.StartedAt = true, d.h.now-300*ms
		update.Endpoints = append(update.Endpoints, gone, added)
	}
	d.h.handle(update)
}

// step sends requests, answers the attempts that are out and fires the timers of 50 ms.
func (d *longListDay) step() {
	for range 4 {
		class := []string{"job", "pay"}[d.rng.IntN(2)]
		plan := []string{"low", "high"}[d.rng.IntN(2)]
		d.h.request(fmt.Sprint("r", d.next), class, plan, fmt.Sprint("t", d.rng.IntN(40)))
		d.next++
	}
	for ; d.ended < len(d.h.sends); d.ended++ {
		outcome := []Outcome{OK, OK, OK, OK, OK, Errored, ResetByPeer, Overloaded}[d.rng.IntN(8)]
		d.h.endAttempt(d.h.sends[d.ended].ID, outcome, d.rng.IntN(200))
	}
	d.h.advance(50 * ms)
}

// play replaces half of the list and returns the mean and the maximum number of servers that rules examined for
// one event that is not an update of the list, and the mean for one update.
func (d *longListDay) play() (mean, most, meanOfUpdate float64) {
	const steps = 200
	events, sum, updateSum := 0, uint64(0), uint64(0)
	d.h.onHandled = func(e Event, examined uint64) {
		if _, ok := e.(EndpointUpdate); ok {
			updateSum += examined
			return
		}
		events++
		sum += examined
		most = max(most, float64(examined))
	}
	for step := range steps {
		if step%(steps/updates/2) == 0 && step < steps/2 {
			count := d.servers / 2 / updates
			d.replace(1+step/(steps/updates/2)*count, count)
		}
		d.step()
	}
	return float64(sum) / float64(events), most, float64(updateSum) / updates
}

// Guards against an event whose work grows with the list: at thousands of servers a node would spend its share
// of a core on a few requests and answer none in time.
func TestWorkOfAnEventDoesNotGrowWithTheList(t *testing.T) {
	for _, fleetSize := range []int{6, 300, 900} {
		t.Run(fmt.Sprint(fleetSize, " nodes"), func(t *testing.T) {
			usualMean, usualMost, usualUpdate := newLongListDay(t, usualServers, fleetSize).play()
			mean, most, update := newLongListDay(t, longestServers, fleetSize).play()
			t.Logf("servers examined: mean %.0f, most %.0f, an update %.0f on %d servers; %.0f, %.0f, %.0f on %d",
				usualMean, usualMost, usualUpdate, usualServers, mean, most, update, longestServers)
			if mean > 1.4*usualMean {
				t.Errorf("an event examines %.0f servers of %d, and %.0f of %d", mean, longestServers, usualMean, usualServers)
			}
			if most > longestServers {
				t.Errorf("one event examines %.0f servers of %d", most, longestServers)
			}
			if update > 4*entriesPerUpdate {
				t.Errorf("an update of %d entries examines %.0f servers of %d", entriesPerUpdate, update, longestServers)
			}
		})
	}
}
