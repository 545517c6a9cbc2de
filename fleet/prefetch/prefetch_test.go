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

// Guards against errors in finding and merging windows: compares the next outage with a scan of the windows
// second by second.
func TestNextOutageMatchesScanOfEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Site
		for range rapid.IntRange(1, 4).Draw(t, "windows") {
			w := Window{FirstStart: time.Unix(rapid.Int64Range(0, 100).Draw(t, "first"), 0), LengthSeconds: float64(rapid.IntRange(1, 20).Draw(t, "length"))}
			if rapid.Bool().Draw(t, "repeats") {
				w.PeriodSeconds = w.LengthSeconds + float64(rapid.IntRange(15, 60).Draw(t, "gap"))
			}
			s.Windows = append(s.Windows, w)
		}
		down := func(sec int64) bool { // reports whether the link is down in that second
			for _, w := range s.Windows {
				sinceStart := sec - w.FirstStart.Unix()
				if w.PeriodSeconds > 0 && sinceStart >= 0 {
					sinceStart %= int64(w.PeriodSeconds)
				}
				if sinceStart >= 0 && float64(sinceStart) < w.LengthSeconds {
					return true
				}
			}
			return false
		}
		at := rapid.Int64Range(0, 300).Draw(t, "at")
		next, ok := s.Next(time.Duration(at)*time.Second, 0)
		for sec := at; sec < at+400; sec++ {
			at := time.Duration(sec) * time.Second
			switch inside := ok && at >= next.Start && at < next.End; {
			case ok && at >= next.End:
				if at == next.End && next.Length() < 300*time.Second {
					require.False(t, down(sec), "the outage ends at %v but a window continues", next.End)
				}
				return
			default:
				require.Equal(t, down(sec), inside, "second %d, next %v", sec, next)
			}
		}
	})
}

// Guards against an invalid calendar that is accepted, or an error that does not name the key to correct.
func TestCalendarErrorNamesTheKey(t *testing.T) {
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

// Guards against a calendar that is accepted but leads to an invalid outage.
func FuzzCalendar(f *testing.F) {
	f.Add([]byte("[pass]\nnodes = ['n1']\nwindows = [{first = 2026-01-01T00:00:00Z, for_s = 60, every_s = 5400}]"), int64(1e18))
	f.Fuzz(func(t *testing.T, text []byte, at int64) {
		c, err := ParseCalendar(text)
		if err != nil {
			return
		}
		for _, s := range c {
			at := time.Duration(at & math.MaxInt64 / 2)
			if next, ok := s.Next(at, time.Second); ok && (next.End <= at || next.Length() <= 0 || next.Length() > maxWindowLength) {
				t.Fatalf("at %v: %v", at, next)
			}
		}
	})
}

// Guards against a reported maximum error that the fleet time exceeds, for any delays and drift.
func TestClockErrorIsWithinReportedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		offset := time.Duration(rapid.Int64Range(-int64(30*time.Second), int64(30*time.Second)).Draw(t, "offset"))
		drift := rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(t, "drift")
		fleetTime := func(now time.Duration) time.Duration { return now + offset + time.Duration(drift*float64(now)) }
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "readings") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "pause"))
			requestDelay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "request delay"))
			replyDelay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "reply delay"))
			c.AddReading(now, now+requestDelay+replyDelay, fleetTime(now+requestDelay))
			now += requestDelay + replyDelay
			estimate, maxError := c.FleetTime(now)
			if deviation := (estimate - fleetTime(now)).Abs(); deviation > maxError+time.Microsecond {
				t.Fatalf("fleet time is wrong by %v, the reported maximum is %v", deviation, maxError)
			}
		}
	})
}

// Guards against plans that miss the deadline, fetch items that expire too soon, exceed the volume, or fetch
// two items at once. For a few items the plan, or the best single item, has at least half of the value of
// the best feasible set.
func TestChosenFetchesMeetTheirTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []Item
		for i := range rapid.IntRange(0, 9).Draw(t, "items") {
			items = append(items, Item{Key: uint64(i), Value: float64(rapid.IntRange(0, 20).Draw(t, "value")), Bytes: rapid.IntRange(1, 400).Draw(t, "bytes"),
				MaxAge: time.Duration(rapid.IntRange(0, 30).Draw(t, "max age")) * time.Second, NeededFor: time.Duration(rapid.IntRange(0, 5).Draw(t, "needed for")) * time.Second})
		}
		now, outageStart := time.Hour, time.Hour+time.Duration(rapid.IntRange(1, 20).Draw(t, "starts in"))*time.Second
		link := Link{BytesPerSecond: 100, MaxBytes: rapid.IntRange(0, 2000).Draw(t, "budget")}
		valid := func(plan []Fetch) bool {
			free, bytes := now, 0
			for _, f := range plan {
				bytes += f.Bytes
				if f.StartAt < free || f.DoneAt > outageStart-FetchMargin || f.MaxAge > 0 && f.StartAt < outageStart+f.NeededFor-f.MaxAge {
					return false
				}
				free = f.DoneAt
			}
			return bytes <= link.MaxBytes
		}
		value := func(plan []Fetch) (total float64) {
			for _, f := range plan {
				total += f.Value
			}
			return total
		}
		plan, skipped := Choose(now, outageStart, link, items)
		require.True(t, valid(plan), "%v", plan)
		require.Len(t, items, len(plan)+len(skipped))
		best, single := 0.0, 0.0
		for set := range 1 << len(items) {
			var subset []Item
			for i, item := range items {
				if set>>i&1 == 1 {
					subset = append(subset, item)
				}
			}
			if subsetPlan, rest := Choose(now, outageStart, link, subset); len(rest) == 0 {
				if best = math.Max(best, value(subsetPlan)); len(subsetPlan) == 1 {
					single = math.Max(single, value(subsetPlan))
				}
			}
		}
		require.GreaterOrEqual(t, math.Max(value(plan), single)+1e-9, best/2)
	})
}

// Guards against a starved edge and an exceeded bandwidth when many edges fetch at once. The edge whose
// outage starts first gets at least half.
func TestSourceSharesBandwidth(t *testing.T) {
	source, bytes := NewSource(50_000, 0), map[int]int{}
	for edge := range 5 {
		for range 200 {
			require.True(t, source.Enqueue(edge, time.Duration(10+edge)*time.Second, 1000))
		}
	}
	now := time.Duration(0)
	for now < 4*time.Second {
		edge, retryAt, ok := source.Next(now)
		if require.True(t, ok); edge < 0 {
			now = retryAt
			continue
		}
		bytes[edge] += 1000
	}
	total := 0
	for _, b := range bytes {
		total += b
	}
	assert.InDelta(t, 4*50_000, total, 10_000)
	assert.GreaterOrEqual(t, bytes[0], total/2)
	assert.Positive(t, bytes[1])
	assert.False(t, source.Enqueue(maxEdges+1, 0, 1) && source.Enqueue(0, 0, 1) && func() bool {
		for range maxQueuedRequests {
			if !source.Enqueue(0, 0, 1) {
				return false
			}
		}
		return true
	}(), "the queue of one edge is not bounded")
}

// Guards against estimates that ignore the phase of the cycle, and against unbounded memory.
func TestDemandLearnsRatePerPhase(t *testing.T) {
	const cycle = 10 * time.Minute
	d, rng := NewDemand(cycle, 100, 0), rand.New(rand.NewPCG(1, 1))
	rate := func(now time.Duration) float64 { // requests/s: 5 in the first half of each cycle, else 1
		if now%cycle < cycle/2 {
			return 5
		}
		return 1
	}
	for now := time.Duration(0); now < 6*cycle; now += 100 * time.Millisecond {
		if rng.Float64() < rate(now)/10 {
			d.Observe(now, 1, 1)
		}
		if now%time.Second == 0 {
			d.Observe(now, uint64(1000+now), 1)
		}
	}
	// A slow half ends now. The first period starts in one minute, in the fast half, and the second in six
	// minutes, in the next slow half. Each lasts two minutes.
	tokens, margin := d.Expect(6*cycle, 1, time.Minute, 2*time.Minute)
	assert.InDelta(t, 600, tokens, 120)
	assert.InDelta(t, marginRoots*math.Sqrt(tokens), margin, 1e-9)
	slow, _ := d.Expect(6*cycle, 1, 6*time.Minute, 2*time.Minute)
	assert.InDelta(t, 120, slow, 60)
	assert.Equal(t, 100, d.Len())
	unknown, _ := d.Expect(6*cycle, 12345, time.Minute, time.Minute)
	assert.Zero(t, unknown)
}

// Guards against a wrong sequence of states when the link is lost early, late, never, twice, or outside
// planned outages.
func TestUplinkStatesForEachOutage(t *testing.T) {
	outage := Outage{Start: 100 * time.Second, End: 130 * time.Second, Probability: 1}
	for name, c := range map[string]struct {
		down [][2]float64 // periods without the link, from and to, s
		want []State
	}{
		"as planned":                   {[][2]float64{{100, 130}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"5 s early":                    {[][2]float64{{95, 130}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"9 s early":                    {[][2]float64{{91, 130}}, []State{Fetching, Ready, Surprised, Cut, Returning, Clear}},
		"4 s late":                     {[][2]float64{{104, 130}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"link stays up":                {nil, []State{Fetching, Ready, Surprised, Returning, Clear}},
		"restored early":               {[][2]float64{{100, 110}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"lost again while returning":   {[][2]float64{{100, 110}, {112, 130}}, []State{Fetching, Ready, Cut, Returning, Cut, Returning, Clear}},
		"lost again after the return":  {[][2]float64{{100, 105}, {115, 130}}, []State{Fetching, Ready, Cut, Returning, Clear, Cut, Returning, Clear}},
		"lost outside outages as well": {[][2]float64{{20, 40}, {100, 130}}, []State{Surprised, Returning, Clear, Fetching, Ready, Cut, Returning, Clear}},
		"lasts longer":                 {[][2]float64{{100, 160}}, []State{Fetching, Ready, Cut, Returning, Clear}},
		"lost while fetching":          {[][2]float64{{81, 101}}, []State{Fetching, Surprised, Cut, Returning, Clear}},
	} {
		t.Run(name, func(t *testing.T) {
			uplink, got := NewUplink(20*time.Second, 0.5, 0), []State(nil)
			for now := time.Duration(0); now < 200*time.Second; now += 100 * time.Millisecond {
				up := true
				for _, period := range c.down {
					up = up && (now.Seconds() < period[0] || now.Seconds() >= period[1])
				}
				if up {
					uplink.Received(now)
				}
				if state, _, _ := uplink.State(); state == Fetching && up && now >= 85*time.Second {
					uplink.SetMissing(0)
				} else if now < 85*time.Second {
					uplink.SetMissing(3)
				}
				if change, changed, _ := uplink.Step(now, now, 10*time.Millisecond, outage, now < outage.End); changed {
					got = append(got, change.To)
					require.NotEmpty(t, change.Reason)
				}
			}
			assert.Equal(t, c.want, got)
		})
	}
}
