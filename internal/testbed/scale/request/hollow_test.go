package request

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/control"
)

const ms = time.Millisecond

// fixed is servers that answer after a time of their own; others never do.
type fixed map[uint32]time.Duration

func (f fixed) Serve(_ time.Duration, server uint32, _ float64) time.Duration {
	if took, ok := f[server]; ok {
		return took
	}
	return time.Hour
}

func hollow(t *testing.T, servers Servers, list ...control.Endpoint) *Node {
	t.Helper()
	set, err := Settings(1)
	require.NoError(t, err)
	n, err := NewNode(set, 7, NewClock(start), servers, quotaUsed)
	require.NoError(t, err)
	n.List(control.EndpointUpdate{Kind: control.Complete, Endpoints: list})
	return n
}

func ask(id, class string, ttl time.Duration) control.Request {
	return control.Request{ID: id, Class: class, Plan: "basic", Tenant: "tenant", TimeLeft: ttl, Tokens: 1, TenantNodes: 1}
}

func TestRequestIsSentAndAnswered(t *testing.T) {
	n := hollow(t, fixed{1: 30 * ms}, members(1, 1)...)
	n.Begin(ask("a", "rate", time.Second))
	assert.Equal(t, 1, n.counts.Sends)
	assert.Equal(t, []time.Duration{0}, n.counts.Waits)
	n.clock.Run(n.clock.Now() + 29*ms)
	assert.Zero(t, n.counts.Answered)
	n.clock.Run(n.clock.Now() + ms)
	assert.Equal(t, 1, n.counts.Answered)
	assert.Empty(t, n.exchanges)
}

// An attempt ends with the client's time, as one that timed out, and the request has its one final
// answer.
func TestAttemptEndsWithTheClientsTime(t *testing.T) {
	n := hollow(t, fixed{}, members(2, 1)...)
	n.Begin(ask("a", "rate", 2*time.Second))
	n.clock.Run(n.clock.Now() + 3*time.Second)
	assert.Zero(t, n.counts.Answered)
	assert.Equal(t, 1, n.counts.Failed+n.counts.Refused)
	assert.Empty(t, n.exchanges)
}

// A request that waits for a place is sent when an answer makes one, or ended by its timer: the
// controller's timers are driven.
func TestControllersTimersAreDriven(t *testing.T) {
	n := hollow(t, fixed{}, members(1, 1)...)
	for i := range 40 {
		n.Begin(ask(fmt.Sprint(i), "rate", 2*time.Second))
	}
	waiting := len(n.exchanges) - n.counts.Sends
	require.Positive(t, waiting)
	n.clock.Run(n.clock.Now() + 1900*ms)
	assert.Equal(t, waiting, n.counts.Failed+n.counts.Refused)
}

func TestNothingIsSentToAServerThatIsNotUp(t *testing.T) {
	list := members(2, 1)
	n := hollow(t, fixed{1: ms, 2: ms}, list...)
	list[0].Condition = control.Draining
	n.List(control.EndpointUpdate{Kind: control.Delta, Endpoints: list[:1]})
	load := NewLoad(100, 10, 1, 1)
	require.NoError(t, n.Run(context.Background(), 200, load.gap, load.next))
	assert.Zero(t, n.counts.SentTo[1])
	assert.Positive(t, n.counts.SentTo[2])
}

// What a controller was told makes a second one do the same.
func TestRecordingDoesTheSameWorkAgain(t *testing.T) {
	s := standard(50, 3)
	f, err := newFleet(s)
	require.NoError(t, err)
	require.NoError(t, f.run(context.Background(), 300, 200))
	assert.Equal(t, segments*200, f.node.counts.Requests)
	c, err := control.New(f.recording.settings, f.recording.seed)
	require.NoError(t, err)
	sends := make(map[uint32]int)
	from := f.recording.segments[0].from
	for i, x := range f.recording.told {
		for _, a := range c.Handle(x.at, x.event) {
			if a, ok := a.(control.Send); ok && i >= from {
				sends[a.Server]++
			}
		}
	}
	assert.Equal(t, f.node.counts.SentTo, sends)
}

func TestModelQueuesBehindItsCores(t *testing.T) {
	m := NewModel(1)
	for range serverCores {
		m.Serve(start, 1, 1)
	}
	free := m.free[1]
	first := min(free[0], free[1], free[2], free[3])
	assert.GreaterOrEqual(t, m.Serve(start, 1, 1), first-start)
	assert.Less(t, m.Serve(start+time.Hour, 1, 1), 10*serviceTime, "idle again")
	var sum time.Duration
	const draws = 20000
	for i := range draws {
		sum += m.Serve(start+time.Duration(i)*time.Hour, 2, 1)
	}
	assert.InEpsilon(t, float64(serviceTime)/(1-othersPart), float64(sum)/draws, 0.05)
}

// A run in which most requests were refused is an error, not a figure.
func TestRunOfRefusalsIsNoMeasurement(t *testing.T) {
	s := standard(2, 1)
	s.rate = 2000
	f, err := newFleet(s)
	require.NoError(t, err)
	var unserved *UnservedError
	require.ErrorAs(t, f.run(context.Background(), 500, 500), &unserved)
}

func TestSettingsAreThoseOfTheProgram(t *testing.T) {
	s, err := Settings(5800)
	require.NoError(t, err)
	assert.Equal(t, 5800, s.FleetSize)
	assert.Equal(t, 6990, s.MaxTenants, "a sixth of 128 MB, 3,200 bytes each")
	assert.False(t, s.PollDiscovery)
}
