package prefetch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The next window of a calendar, overlaps made one, is what a look at every moment finds.
func TestNextWindowIsWhatEveryMomentSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Site
		for range rapid.IntRange(1, 4).Draw(t, "windows") {
			w := Window{First: time.Unix(rapid.Int64Range(0, 100).Draw(t, "first"), 0), ForS: float64(rapid.IntRange(1, 20).Draw(t, "for"))}
			if rapid.Bool().Draw(t, "repeats") {
				w.EachS = w.ForS + float64(rapid.IntRange(15, 60).Draw(t, "more"))
			}
			s.Windows = append(s.Windows, w)
		}
		gone := func(sec int64) bool { // in the second that begins then
			for _, w := range s.Windows {
				into := sec - w.First.Unix()
				if w.EachS > 0 && into >= 0 {
					into %= int64(w.EachS)
				}
				if into >= 0 && float64(into) < w.ForS {
					return true
				}
			}
			return false
		}
		at := rapid.Int64Range(0, 300).Draw(t, "at")
		next, ok := s.Next(time.Duration(at)*time.Second, 0)
		for sec := at; sec < at+400; sec++ {
			at := time.Duration(sec) * time.Second
			switch inside := ok && at >= next.From && at < next.To; {
			case ok && at >= next.To:
				if at == next.To && next.Length() < 300*time.Second {
					require.False(t, gone(sec), "it ends at %v and goes on", next.To)
				}
				return
			default:
				require.Equal(t, gone(sec), inside, "second %d, next %v", sec, next)
			}
		}
	})
}

func TestCalendarSaysWhatIsWrong(t *testing.T) {
	for text, key := range map[string]string{
		"[a]\nnodes=['x']\nwindows=[{first=2300-01-01T00:00:00Z, for_s=60}]":                             "windows.0.first",
		"[a]\nnodes=['x']\nwindow=1":                                                                     "a.window",
		"[a]\nnodes=[]":                                                                                  "nodes",
		"[a]\nnodes=['x']\n[b]\nnodes=['x']":                                                             "nodes",
		"[a]\nnodes=['x']\nwindows=[{first=2026-01-01T00:00:00Z, for_s=0}]":                              "windows.0.for_s",
		"[a]\nnodes=['x']\nwindows=[{first=2026-01-01T00:00:00Z, for_s=60, every_s=60}]":                 "windows.0.every_s",
		"[a]\nnodes=['x']\nwindows=[{first=2026-01-01T00:00:00Z, for_s=nan}]":                            "windows.0.for_s",
		"[a]\nnodes=['x']\nwindows=[{for_s=60}]":                                                         "windows.0.first",
		"[a]\nnodes=['x']\nwindows=[{first=2026-01-01T00:00:00Z, for_s=60, every_s=5400.5, sure = 1.5}]": "windows.0.sure",
		"[a": "document",
	} {
		_, err := ParseCalendar([]byte(text))
		var e *CalendarError
		if assert.ErrorAs(t, err, &e, text) {
			assert.Equal(t, key, e.Key, text)
		}
	}
}

func FuzzCalendar(f *testing.F) {
	f.Add([]byte("[pass]\nnodes = ['n1']\nwindows = [{first = 2026-01-01T00:00:00Z, for_s = 60, every_s = 5400}]"), int64(1e18))
	f.Fuzz(func(t *testing.T, text []byte, at int64) {
		c, err := ParseCalendar(text)
		if err != nil {
			return
		}
		for _, s := range c {
			at := time.Duration(at & math.MaxInt64 / 2)
			if next, ok := s.Next(at, time.Second); ok && (next.To <= at || next.Length() <= 0 || next.Length() > lengthMost) {
				t.Fatalf("at %v: %v", at, next)
			}
		}
	})
}

// Fleet time is within what the clock says of itself, whatever the trips take.
func TestClockKeepsToItsError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		off := time.Duration(rapid.Int64Range(-int64(30*time.Second), int64(30*time.Second)).Draw(t, "off"))
		drift := rapid.Float64Range(-driftMost, driftMost).Draw(t, "drift")
		fleet := func(now time.Duration) time.Duration { return now + off + time.Duration(drift*float64(now)) }
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "readings") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "pause"))
			there := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "there"))
			back := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "back"))
			c.Read(now, now+there+back, fleet(now+there))
			now += there + back
			at, most := c.At(now)
			if wrong := (at - fleet(now)).Abs(); wrong > most+time.Microsecond {
				t.Fatalf("%v wrong, %v at most by its word", wrong, most)
			}
		}
	})
}

// What is chosen is there in time, fresh in its window, within the budget, and one at a time; and on
// few items worth no less than half of the best choice.
func TestChoiceCanBeCarriedOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []Item
		for i := range rapid.IntRange(0, 9).Draw(t, "items") {
			items = append(items, Item{Key: uint64(i), Worth: float64(rapid.IntRange(0, 20).Draw(t, "worth")), Bytes: rapid.IntRange(1, 400).Draw(t, "bytes"),
				Useful: time.Duration(rapid.IntRange(0, 30).Draw(t, "useful")) * time.Second, Until: time.Duration(rapid.IntRange(0, 5).Draw(t, "until")) * time.Second})
		}
		now, from := time.Hour, time.Hour+time.Duration(rapid.IntRange(1, 20).Draw(t, "in"))*time.Second
		link := Link{Rate: 100, Bytes: rapid.IntRange(0, 2000).Draw(t, "budget")}
		valid := func(plan []Fetch) bool {
			free, bytes := now, 0
			for _, f := range plan {
				bytes += f.Bytes
				if f.Begin < free || f.Done > from-Margin || f.Useful > 0 && f.Begin < from+f.Until-f.Useful {
					return false
				}
				free = f.Done
			}
			return bytes <= link.Bytes
		}
		worth := func(plan []Fetch) (w float64) {
			for _, f := range plan {
				w += f.Worth
			}
			return w
		}
		plan, left := Choose(now, from, link, items)
		require.True(t, valid(plan), "%v", plan)
		require.Len(t, items, len(plan)+len(left))
		best, single := 0.0, 0.0
		for set := range 1 << len(items) {
			var some []Item
			for i, it := range items {
				if set>>i&1 == 1 {
					some = append(some, it)
				}
			}
			if p, rest := Choose(now, from, link, some); len(rest) == 0 {
				if best = math.Max(best, worth(p)); len(p) == 1 {
					single = math.Max(single, worth(p))
				}
			}
		}
		require.GreaterOrEqual(t, math.Max(worth(plan), single)+1e-9, best/2)
	})
}

// Of many edges that ask at once none starves, the one that goes first has at least half, and ordinary
// talk keeps the rest of the link.
func TestSourceIsShared(t *testing.T) {
	s, bytes := NewSource(50_000, 0), map[int]int{}
	for e := range 5 {
		for range 200 {
			require.True(t, s.Ask(e, time.Duration(10+e)*time.Second, 1000))
		}
	}
	now := time.Duration(0)
	for now < 4*time.Second {
		e, again, ok := s.Next(now)
		if require.True(t, ok); e < 0 {
			now = again
			continue
		}
		bytes[e] += 1000
	}
	total := 0
	for _, b := range bytes {
		total += b
	}
	assert.InDelta(t, 4*50_000, total, 10_000)
	assert.GreaterOrEqual(t, bytes[0], total/2)
	assert.Positive(t, bytes[1])
	assert.False(t, s.Ask(edgesMost+1, 0, 1) && s.Ask(0, 0, 1) && func() bool {
		for range queueMost {
			if !s.Ask(0, 0, 1) {
				return false
			}
		}
		return true
	}(), "a queue without a bound")
}

// What is learnt of a customer by part of the cycle tells what it asks there; memory stays bounded.
func TestDemandLearnsTheCycle(t *testing.T) {
	const cycle = 10 * time.Minute
	d, rng := NewDemand(cycle, 100, 0), rand.New(rand.NewPCG(1, 1))
	rate := func(now time.Duration) float64 { // 5 a second in the first half of each cycle, else 1
		if now%cycle < cycle/2 {
			return 5
		}
		return 1
	}
	for now := time.Duration(0); now < 6*cycle; now += 100 * time.Millisecond {
		if rng.Float64() < rate(now)/10 {
			d.Saw(now, 1, 1)
		}
		if now%time.Second == 0 {
			d.Saw(now, uint64(1000+now), 1)
		}
	}
	// At the end of a slow half; in a minute the fast half has begun for two minutes.
	units, spare := d.Expect(6*cycle, 1, time.Minute, 2*time.Minute)
	assert.InDelta(t, 600, units, 120)
	assert.InDelta(t, spareRoots*math.Sqrt(units), spare, 1e-9)
	slow, _ := d.Expect(6*cycle, 1, 6*time.Minute, 2*time.Minute)
	assert.InDelta(t, 120, slow, 60)
	assert.Equal(t, 100, d.Len())
	none, _ := d.Expect(6*cycle, 12345, time.Minute, time.Minute)
	assert.Zero(t, none)
}

// The link goes early, late, never, twice, without a window, outside of its clock; each has its state.
func TestUplinkThroughItsTroubles(t *testing.T) {
	window := Span{From: 100 * time.Second, To: 130 * time.Second, Sure: 1}
	for name, c := range map[string]struct {
		gone [][2]float64 // s, from and to
		want []State
	}{
		"known":        {[][2]float64{{100, 130}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"early":        {[][2]float64{{95, 130}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"much early":   {[][2]float64{{91, 130}}, []State{Fetching, Ready, Surprised, Cut, Returning, Clear}},
		"late":         {[][2]float64{{104, 130}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"never":        {nil, []State{Fetching, Ready, Surprised, Returning, Clear}},
		"back early":   {[][2]float64{{100, 110}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"flaps":        {[][2]float64{{100, 110}, {112, 130}}, []State{Fetching, Ready, Cut, Returning, Cut, Returning, Clear}},
		"back, away":   {[][2]float64{{100, 105}, {115, 130}}, []State{Fetching, Ready, Cut, Returning, Clear, Cut, Returning, Clear}},
		"no window":    {[][2]float64{{20, 40}, {100, 130}}, []State{Surprised, Returning, Clear, Fetching, Ready, Cut, Returning, Clear}},
		"outlasts it":  {[][2]float64{{100, 160}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"while asking": {[][2]float64{{81, 101}}, []State{Fetching, Surprised, Cut, Returning, Clear}},
	} {
		t.Run(name, func(t *testing.T) {
			u, got := NewUplink(20*time.Second, 0.5, 0), []State(nil)
			for now := time.Duration(0); now < 200*time.Second; now += 100 * time.Millisecond {
				there := true
				for _, g := range c.gone {
					there = there && (now.Seconds() < g[0] || now.Seconds() >= g[1])
				}
				if there {
					u.Heard(now)
				}
				if state, _, _ := u.State(); state == Fetching && there && now >= 85*time.Second {
					u.Fetched(0)
				} else if now < 85*time.Second {
					u.Fetched(3)
				}
				if change, changed, _ := u.Step(now, now, 10*time.Millisecond, window, now < window.To); changed {
					got = append(got, change.To)
					require.NotEmpty(t, change.Reason)
				}
			}
			assert.Equal(t, c.want, got)
		})
	}
}
