package ratingserver

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

// alone is one server, in the bubble's time.
func alone(m scenario.Machine) (*Server, *record.Book, func() time.Duration) {
	zero := time.Now()
	clock := func() time.Duration { return time.Since(zero) }
	d := &scenario.Day{Servers: []scenario.Machine{m}, Classes: []scenario.Class{{Share: scenario.Range{Lo: 1, Hi: 1}, WorkMS: scenario.Range{Lo: 40, Hi: 40}}},
		File: &scenario.File{Rules: scenario.Rules{FallMultiple: 2, FallMS: 1500}, Server: scenario.Server{WarmBy: "time"}}}
	b := record.NewBook()
	return NewFleet(d, b, refbucket.New(nil, 0, 0), clock).NewServer(0), b, clock
}

var warm = scenario.Machine{Cores: 2, Speed: 1, Slots: 4, Queue: 2, ThrashAt: 100, ColdFrom: 0.25, Cold: 10 * time.Second, From: -time.Hour}

// Requests in work share the cores; one alone gets no more than one core.
func TestWorkSharesTheCores(t *testing.T) {
	for _, x := range []struct {
		n    int
		slow float64
		want time.Duration // for the last
	}{{1, 1, 100 * time.Millisecond}, {2, 1, 100 * time.Millisecond}, {4, 1, 200 * time.Millisecond},
		{6, 1, 300 * time.Millisecond}, {1, 3, 300 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			s, _, clock := alone(warm)
			s.Change(func(slow, _ *float64, _ *bool) { *slow = x.slow })
			var jobs []*job
			for range x.n {
				jobs = append(jobs, s.admit(0.1, clock()))
			}
			for _, j := range jobs {
				<-j.done
			}
			if got := clock(); math.Abs((got - x.want).Seconds()) > 0.001 {
				t.Errorf("%d requests, %g times as slow: done after %v, wanted %v", x.n, x.slow, got, x.want)
			}
			s.timer.Stop()
		})
	}
}

// A pause, and one that begins within it, keep work waiting until both have ended; a table of
// connections that is three quarters full takes half of the tax.
func TestPauseAndTableTax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		taxed := warm
		taxed.TableTax = 0.4
		s, _, clock := alone(taxed)
		defer s.timer.Stop()
		s.m.Conns, s.fleet.Day.File.Server.Connections = 75, 100
		j := s.admit(0.1, clock())
		time.Sleep(50 * time.Millisecond)
		s.Pause(60 * time.Millisecond)
		time.Sleep(30 * time.Millisecond)
		s.Pause(70 * time.Millisecond)
		<-j.done
		if got, want := clock(), 225*time.Millisecond; math.Abs((got - want).Seconds()) > 0.001 {
			t.Errorf("done after %v, wanted %v", got, want)
		}
	})
}

func TestFullServerTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, clock := alone(warm)
		defer s.timer.Stop()
		for i := range warm.Slots + warm.Queue {
			if s.admit(0.1, clock()) == nil {
				t.Fatalf("request %d is turned away", i)
			}
		}
		if s.admit(0.1, clock()) != nil {
			t.Error("a full server takes one more")
		}
	})
}

// A cold server bears what the settings allow for a second and a half, twice what it does, and what
// chance adds to that; it falls over beyond, also under what it would turn away.
func TestColdServerFallsOverUnderTooMuch(t *testing.T) {
	cold := warm
	cold.From, cold.Slots, cold.Queue = 0, 1, 0
	for _, x := range []struct {
		times float64 // of its present capacity
		falls bool
	}{{1, false}, {2.4, false}, {2.9, true}, {3.5, true}} {
		synctest.Test(t, func(t *testing.T) {
			s, book, clock := alone(cold)
			defer s.timer.Stop()
			const each = 0.02
			for clock() < 4*time.Second && !s.pushed(0, each, clock()) {
				able := 2 * (0.25 + 0.75*clock().Seconds()/10)
				time.Sleep(time.Duration(each / (x.times * able) * float64(time.Second)))
			}
			assert.Equal(t, x.falls, len(book.Fallen) > 0, "sent %g times what it does", x.times)
			for _, f := range book.Fallen {
				n := 2 * 2 * (0.25 + 0.75*f.At.Seconds()/10) * 1.5 / 0.04 // of mean work, as the settings allow
				assert.InDelta(t, (n+2*math.Sqrt(n)+2)*0.04/each, float64(len(f.Sends)), 1, "sends within the time")
			}
		})
	}
}

// A hall drops repeats of a key within its window, and takes a key anew whose first brought nothing.
func TestHallDropsRepeats(t *testing.T) {
	h := &hall{keys: map[string]*seen{}}
	_, mine := h.claim("a", 0, time.Second)
	if !mine {
		t.Fatal("a new key is taken for a repeat")
	}
	if _, mine := h.claim("a", 900*time.Millisecond, time.Second); mine {
		t.Error("a repeat within the window runs")
	}
	if _, mine := h.claim("a", 1100*time.Millisecond, time.Second); !mine {
		t.Error("a repeat beyond the window is dropped")
	}
	k, mine := h.claim("b", 0, time.Second)
	if !mine {
		t.Fatal("another new key is taken for a repeat")
	}
	h.end("b", k, false)
	if _, mine := h.claim("b", 1, time.Second); !mine {
		t.Error("a key whose first brought nothing is dropped")
	}
}
