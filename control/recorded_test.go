package control

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// record makes the tests write the files under testdata. They were recorded at commit 2d0ce6c and are written
// again only where decisions are meant to change.
var record = flag.Bool("record", false, "write the recorded decisions anew")

// recordedWorkload draws the events of one recorded run. Its requests cover two things that recordings of the
// simulator's messages do not show: the retry budget, and the difference between first attempts and retries
// of clients.
type recordedWorkload struct {
	settings       Settings
	failedFraction float64 // fraction of the attempts that fail
	seed           uint64
}

// recordedSettings returns settings with a class of each idempotency and a plan of each kind of quota.
func recordedSettings(nodes int, clientsMarkRetries bool) Settings {
	s := testSettings()
	s.FleetSize, s.ClientsMarkRetries, s.MaxAttempts = nodes, clientsMarkRetries, 4
	s.Classes = []Class{
		{
			Name:              "job",
			LatencyObjective:  600 * ms,
			Deadline:          4 * time.Second,
			PriorityWeight:    1,
			LateValueFraction: 0.3,
		},
		{
			Name:              "keyed",
			LatencyObjective:  400 * ms,
			Deadline:          2 * time.Second,
			Idempotency:       IdempotentByKey,
			KeyScope:          KeyScopeCell,
			IdempotencyWindow: 700 * ms,
			PriorityWeight:    2,
		},
		{
			Name:              "zoned",
			LatencyObjective:  400 * ms,
			Deadline:          2 * time.Second,
			Idempotency:       IdempotentByKey,
			KeyScope:          KeyScopeZone,
			IdempotencyWindow: 900 * ms,
			PriorityWeight:    0.4,
		},
		{
			Name:             "once",
			LatencyObjective: 800 * ms,
			Deadline:         3 * time.Second,
			Idempotency:      NonIdempotent,
			PriorityWeight:   1.5,
		},
	}
	s.Plans = []Plan{
		{
			Name:             "low",
			PriceFactor:      0.5,
			Rate:             60,
			Burst:            90,
			OverQuotaCost:    0.5,
			CeilingRate:      90,
			CeilingBurst:     120,
			CeilingOverdraft: 30,
		},
		{Name: "high", PriceFactor: 1.5, Rate: 400, Burst: 500, OverQuotaCost: 1},
		{Name: "open", PriceFactor: 1, MaxConcurrent: 6},
	}
	s.ResponsesReportTokens = true
	return s
}

// run passes the workload's events to a controller. It returns the controller, the time at the end, and the
// recording: a line for each event that led to a send or a final response, and every 50 events a line with
// the retry budget and the classifier's state.
func (w recordedWorkload) run(t *testing.T) (*Controller, time.Duration, []byte) {
	t.Helper()
	c, err := New(w.settings, w.seed)
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(w.seed, 77))
	var out bytes.Buffer
	attempts := map[string]int{}
	now := time.Hour
	due := w.events(rng, now)
	for handled := 0; len(due) > 0; handled++ {
		if handled%50 == 0 {
			fmt.Fprintf(&out, "budget %v%s\n", c.retries.budget, w.classifierState(c))
		}
		first := 0
		for i := range due {
			if due[i].at < due[first].at {
				first = i
			}
		}
		next := due[first]
		due = append(due[:first], due[first+1:]...)
		now = max(now, next.at)
		if now > time.Hour+25*time.Second {
			break
		}
		line := ""
		for _, a := range c.Handle(now, next.event) {
			switch a := a.(type) {
			case Send:
				n := attempts[a.ID]
				attempts[a.ID] = n + 1
				line += fmt.Sprintf(" S%s.%d:%d,%d", a.ID, n, a.Server, a.NotAfter.Microseconds())
				latency := time.Duration((0.3 + rng.ExpFloat64()) * float64(90*ms))
				ended := w.response(rng, a, n)
				if ended.Outcome != OK && rng.IntN(2) == 0 { // a fast failure
					latency /= 20
				}
				due = append(due, timedEvent{now + latency, ended})
			case Reject:
				line += fmt.Sprintf(" R%s:%d", a.ID, a.RetryAfter.Milliseconds())
			case Fail:
				line += " F" + a.ID
			case SetTimer:
				due = append(due, timedEvent{now + a.After, Timer{Label: a.Label}})
			}
		}
		if line != "" {
			fmt.Fprintf(&out, "%d%s\n", (now - time.Hour).Microseconds(), line)
		}
	}
	return c, now, out.Bytes()
}

// timedEvent is an event with the time at which the controller is to handle it.
type timedEvent struct {
	at    time.Duration
	event Event
}

// events draws the requests of 20 s and adds fixed events: endpoint updates, an outlier report, rules and a
// zone evacuation.
func (w recordedWorkload) events(rng *rand.Rand, now time.Duration) (due []timedEvent) {
	list := endpoints(1, 2, 3, 4, 5, 6, 7, 8)
	due = append(due, timedEvent{now, EndpointUpdate{Kind: Complete, Endpoints: list}})
	list[2].StartedAt, list[2].HasStartedAt = now+6*time.Second, true
	due = append(due, timedEvent{now + 6*time.Second, EndpointUpdate{Kind: Delta, Endpoints: list[2:3]}})
	due = append(due, timedEvent{now + 12*time.Second, EndpointUpdate{
		Kind:      Delta,
		Endpoints: []Endpoint{{Server: 5, Zone: "z1", Cell: 2, Size: 1, Condition: Draining}},
	}})
	due = append(due, timedEvent{
		now + 8*time.Second,
		OutlierReport{Server: 4, Reporters: 4, Until: now + 11*time.Second},
	})
	due = append(due, timedEvent{now + 14*time.Second, Rules{
		Version:       3,
		PriceFactor:   []float64{1, 1, 1},
		QuotaFactor:   []float64{0.5, 1, 1},
		MaxAttempts:   []int{2, 0, 3, 0},
		MaxInFlight:   40,
		CrossZoneCost: map[string]float64{"z2": 0.2},
	}})
	due = append(due, timedEvent{now + 17*time.Second, ZoneEvacuation{Evacuated: map[string]float64{"z2": 0.6}}})
	for i, at := 0, now; at < now+20*time.Second; i++ {
		at += time.Duration(rng.ExpFloat64() * float64(9*ms))
		due = append(due, timedEvent{at, w.request(rng, i)})
	}
	return due
}

// classifierState returns what the classifier of attempts has learned, by class: the usual time left, the
// most frequent other one, and their votes.
func (w recordedWorkload) classifierState(c *Controller) string {
	var text strings.Builder
	for i := range c.env.settings.Classes {
		u := c.classifier.byClass[&c.env.settings.Classes[i]]
		fmt.Fprintf(&text, " %d,%d,%d,%d",
			u.timeLeft.Microseconds(), u.votes, u.recurring.Microseconds(), u.recurringVotes)
	}
	return text.String()
}

// request draws a request. Where clients don't mark their retries, only the time left distinguishes them from
// first attempts.
func (w recordedWorkload) request(rng *rand.Rand, i int) Request {
	class := w.settings.Classes[rng.IntN(len(w.settings.Classes))]
	plan := w.settings.Plans[rng.IntN(len(w.settings.Plans))].Name
	r := Request{
		ID:           fmt.Sprint(i),
		Class:        class.Name,
		Plan:         plan,
		Tenant:       fmt.Sprint(rng.IntN(12)),
		TimeLeft:     class.Deadline,
		Tokens:       1 + 3*rng.Float64(),
		TenantNodes:  w.settings.FleetSize,
		StreamedBody: rng.IntN(40) == 0,
	}
	switch rng.IntN(10) {
	case 0: // a retry
		r.TimeLeft = time.Duration(float64(class.Deadline) * (0.2 + 0.7*rng.Float64()))
		r.Retry = w.settings.ClientsMarkRetries
	case 1, 2, 3: // an impatient client; all have nearly one time left, which changes once during the run
		r.TimeLeft = class.Deadline/3 + time.Duration(rng.IntN(3800))*time.Microsecond
		if i > 1100 {
			r.TimeLeft -= 100 * ms
		}
	case 4: // a retry after the Retry-After of an immediate rejection
		r.TimeLeft = class.Deadline - time.Second - time.Duration(rng.IntN(30))*ms
		r.Retry = w.settings.ClientsMarkRetries
	}
	return r
}

// response draws the end of an attempt.
func (w recordedWorkload) response(rng *rand.Rand, a Send, n int) AttemptEnded {
	e := AttemptEnded{
		ID:           a.ID,
		Attempt:      n,
		Server:       a.Server,
		Outcome:      OK,
		Done:         true,
		MeterReading: 1 + rng.IntN(130),
		Tokens:       1 + 3*rng.Float64(),
	}
	if rng.Float64() < w.failedFraction {
		outcomes := []Outcome{Errored, Overloaded, TimedOut, ConnectFailed, ResetByPeer, Cancelled, NeverSent}
		e.Outcome, e.Done, e.Tokens, e.MeterReading = outcomes[rng.IntN(len(outcomes))], false, 0, 0
		e.BodyConsumed = rng.IntN(30) == 0
	}
	return e
}

func recordedWorkloads() map[string]recordedWorkload {
	return map[string]recordedWorkload{
		"two-nodes-half-failed":    {recordedSettings(2, true), 0.5, 11},
		"many-nodes-third-failed":  {recordedSettings(300, true), 0.33, 12},
		"two-nodes-unmarked":       {recordedSettings(2, false), 0.12, 13},
		"twelve-nodes-unmarked":    {recordedSettings(12, false), 0.25, 14},
		"one-node-most-fail-early": {recordedSettings(1, false), 0.7, 15},
	}
}

// compareRecorded compares got with a file under testdata, or writes it there with -record.
func compareRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *record {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	if bytes.Equal(want, got) {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range min(len(wantLines), len(gotLines)) {
		require.Equal(t, wantLines[i], gotLines[i], "%s, line %d", name, i+1)
	}
	require.Len(t, gotLines, len(wantLines), name)
}

// The decisions of recorded runs, which cover the retry budget and the classification of clients' attempts,
// are those of the recordings.
func TestDecisionsAreAsRecorded(t *testing.T) {
	for name, w := range recordedWorkloads() {
		_, _, got := w.run(t)
		compareRecorded(t, "decisions-"+name+".txt", got)
	}
}

// The stored forms have the recorded bytes: a snapshot, a handover, and the tokens that remain at the end of
// a handover. Snapshots and handovers are read and written back byte for byte.
func TestHandoverIsAsRecorded(t *testing.T) {
	w := recordedWorkloads()["two-nodes-half-failed"]
	c, now, _ := w.run(t)
	snapshot, err := c.Snapshot(now)
	require.NoError(t, err)
	compareRecorded(t, "kept.json", snapshot)
	handedOver, err := c.Handover(now)
	require.NoError(t, err)
	compareRecorded(t, "handover.json", handedOver)
	remaining, err := c.RemainingTokens(now)
	require.NoError(t, err)
	compareRecorded(t, "rest.json", remaining)
	for _, raw := range [][]byte{snapshot, handedOver} {
		var h handover
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		require.NoError(t, decoder.Decode(&h))
		encoded, err := json.Marshal(h)
		require.NoError(t, err)
		require.Equal(t, string(raw), string(encoded))
	}
}

// A process that restores the recorded handover or snapshot decides as recorded.
func TestSuccessorDecidesAsRecorded(t *testing.T) {
	w := recordedWorkloads()["two-nodes-half-failed"]
	for _, name := range []string{"handover", "kept"} {
		raw, err := os.ReadFile(filepath.Join("testdata", name+".json"))
		require.NoError(t, err)
		c, err := New(w.settings, 5)
		require.NoError(t, err)
		now := time.Hour + 26*time.Second
		if name == "handover" {
			require.NoError(t, c.RestoreHandover(now, raw))
		} else {
			require.NoError(t, c.RestoreSnapshot(now, raw, time.Minute))
		}
		var out bytes.Buffer
		rng := rand.New(rand.NewPCG(5, 5))
		c.Handle(now, EndpointUpdate{Kind: Cached, Endpoints: endpoints(1, 2, 3, 4, 5, 6, 7, 8)})
		for i := range 600 {
			now += time.Duration(rng.ExpFloat64() * float64(12*ms))
			for _, a := range c.Handle(now, w.request(rng, i)) {
				switch a := a.(type) {
				case Send:
					fmt.Fprintf(&out, "S%s:%d\n", a.ID, a.Server)
					c.Handle(now+30*ms, w.response(rng, a, 0))
				case Reject:
					fmt.Fprintf(&out, "R%s:%d\n", a.ID, a.RetryAfter.Milliseconds())
				case Fail:
					fmt.Fprintf(&out, "F%s\n", a.ID)
				}
			}
		}
		compareRecorded(t, "successor-"+name+".txt", out.Bytes())
	}
}
