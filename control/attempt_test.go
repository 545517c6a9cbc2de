package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestRepeatsFollowTheEffect(t *testing.T) {
	for _, k := range []struct {
		name  string
		class Class
		why   Outcome
		again bool // another attempt is sent
		end   string
	}{
		{"free", Class{Idempotency: Idempotent}, Errored, true, ""},
		{"unsafe maybe run", Class{Idempotency: NonIdempotent}, Errored, false, "control.Fail"},
		{"unsafe never ran", Class{Idempotency: NonIdempotent}, Overloaded, true, ""},
		{"keyed in window", Class{Idempotency: IdempotentByKey, KeyScope: KeyScopeCell, IdempotencyWindow: time.Minute}, ResetByPeer, true, ""},
		{"keyed too late", Class{Idempotency: IdempotentByKey, KeyScope: KeyScopeCell, IdempotencyWindow: ms}, ResetByPeer, false, "control.Fail"},
		{"keyed by all, too late", Class{Idempotency: IdempotentByKey, IdempotencyWindow: ms}, ResetByPeer, false, "control.Reject"},
	} {
		s := testSettings()
		k.class.Name, k.class.LatencyObjective, k.class.Deadline = "job", 2*time.Second, 6*time.Second
		s.Classes = []Class{k.class}
		g := newHarness(t, s, endpoints(1, 2, 3, 4)...)
		g.request("a", "job", "low", "x")
		g.now += 10 * ms
		g.endAttempt("a", k.why, 0)
		if again := g.attempts["a"] == 2; again != k.again {
			t.Errorf("%s: sent %d times", k.name, g.attempts["a"])
		}
		if got := fmt.Sprintf("%T", g.finalAnswers["a"]); k.end != "" && got != k.end {
			t.Errorf("%s: ended with %s", k.name, got)
		}
	}
}

// A repeat whose server may drop it says until when, and no other attempt does.
func TestRepeatTellsItsWindow(t *testing.T) {
	for _, k := range []struct {
		name    string
		effect  Idempotency
		why     Outcome
		bounded bool
	}{
		{"keyed, may have run", IdempotentByKey, ResetByPeer, true},
		{"keyed, may still run", IdempotentByKey, TimedOut, true},
		{"keyed, never ran", IdempotentByKey, ConnectFailed, false},
		{"unsafe, never ran", NonIdempotent, Overloaded, false},
		{"free", Idempotent, ResetByPeer, false},
	} {
		s := testSettings()
		s.Classes[0].Idempotency, s.Classes[0].IdempotencyWindow = k.effect, 100*ms
		g := newHarness(t, s, endpoints(1, 2, 3, 4)...)
		g.request("a", "job", "low", "x")
		begun := g.now
		g.now += 10 * ms
		g.endAttempt("a", k.why, 0)
		if len(g.sends) != 2 || g.sends[0].NotAfter != 0 {
			t.Fatalf("%s: %+v", k.name, g.sends)
		}
		want := time.Duration(0)
		if k.bounded {
			want = begun + 100*ms
		}
		if got := g.sends[1].NotAfter; got != want {
			t.Errorf("%s: until %v, not %v", k.name, got, want)
		}
	}
}

func TestKeyedRepeatStaysInItsGroup(t *testing.T) {
	for scope, same := range map[KeyScope]func(a, b Endpoint) bool{
		KeyScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
		KeyScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
	} {
		s := testSettings()
		s.Classes[0].Idempotency, s.Classes[0].KeyScope, s.Classes[0].IdempotencyWindow = IdempotentByKey, scope, time.Minute
		list := endpoints(1, 2, 3, 4, 5, 6)
		g := newHarness(t, s, list...)
		for i := 0; i < 30; i++ {
			id := fmt.Sprint(scope, "-", i)
			g.request(id, "job", "low", "x")
			g.endAttempt(id, TimedOut, 0)
			if g.attempts[id] == 2 {
				a, b := g.sends[len(g.sends)-2].Server, g.sends[len(g.sends)-1].Server
				if !same(list[a-1], list[b-1]) {
					t.Fatalf("scope %v: from server %d to %d", scope, a, b)
				}
				g.endAttempt(id, OK, 0)
			}
		}
	}
}

func TestAttemptLimitAndOneAtATime(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	g.request("a", "job", "low", "x")
	for i := 0; i < 3; i++ {
		if g.attempts["a"] != i+1 {
			t.Fatalf("%d attempts after %d failures", g.attempts["a"], i)
		}
		g.endAttempt("a", Overloaded, 0)
	}
	if _, ok := g.finalAnswers["a"].(Reject); !ok || g.attempts["a"] != 3 {
		t.Errorf("%d attempts, ended with %v", g.attempts["a"], g.finalAnswers["a"])
	}
}

// Guards against a storm of fast errors that uses up the further attempts, or puts servers
// aside that still serve half of what they are sent: twelve requests are open at a time.
func TestStormOfFastErrorsIsRiddenOut(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 6
	g := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	rng := rand.New(rand.NewPCG(1, 2))
	type outcome struct {
		at  time.Duration
		id  string
		why Outcome
	}
	var due []outcome
	tries, seen, asked, failed := make(map[uint32]int), 0, 0, 0
	for len(g.finalAnswers) < 2000 {
		for ; asked-len(g.finalAnswers) < 12; asked++ {
			g.request(fmt.Sprint(asked), "job", "low", "x")
		}
		for ; seen < len(g.sends); seen++ {
			o := outcome{g.now + 50*ms, g.sends[seen].ID, OK}
			if srv := g.sends[seen].Server; srv > 1 && rng.IntN(2) == 0 {
				o.at, o.why = g.now+ms, Errored
			}
			tries[g.sends[seen].Server]++
			due = append(due, o)
		}
		first := 0
		for i, o := range due {
			if o.at < due[first].at {
				first = i
			}
		}
		o := due[first]
		due = slices.Delete(due, first, first+1)
		g.advance(o.at - g.now)
		g.endAttempt(o.id, o.why, 0)
	}
	for _, end := range g.finalAnswers {
		if _, ok := end.(Send); !ok {
			failed++
		}
	}
	if failed > 60 {
		t.Errorf("%d of 2000 not served; tries by server: %v", failed, tries)
	}
}

// What a group may save up for further attempts is bounded, whatever its size, and so is what all
// of it may send again when every server fails at once.
func TestSumOfFurtherAttempts(t *testing.T) {
	for _, group := range []int{1, 3, 20, 80, 300} {
		s := fleetSettings(group)
		s.Classes[0].Idempotency, s.MaxAttempts = Idempotent, 5
		sum := 0
		for i := 0; i < group; i++ {
			c, err := New(s, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			g := &harness{t: t, controller: c, now: time.Hour, finalAnswers: map[string]Action{}, attempts: map[string]int{}, timers: map[uint64]time.Duration{}}
			g.handle(EndpointUpdate{Kind: Cached, Endpoints: endpoints(1, 2, 3, 4, 5, 6)})
			c.concurrency.bound, c.traffic.latency = 50, 0.2
			for j := 0; j < 10; j++ { // each fails after as long as an answer takes
				g.request(fmt.Sprint(j), "job", "low", fmt.Sprint(j))
			}
			for told := 0; told < len(g.sends); told++ {
				g.now += 200 * ms
				g.endAttempt(g.sends[told].ID, Errored, 0)
			}
			sum += len(g.sends) - 10
		}
		// Each of few has twenty, each of many three, and one for ten requests.
		if most := max(4*20, 3*group) + group*2; sum > most || sum < group {
			t.Errorf("%d gateways: %d further attempts, at most %d", group, sum, most)
		}
	}
}

// Clients that give up before an answer is due make time-outs that tell nothing: neither is the bound
// cut by them nor a server ejected, while time-outs of those who waited as long as they want an
// answer within do both.
func TestTimeOutsOfHastyClientsSpeakAgainstNobody(t *testing.T) {
	for _, k := range []struct {
		ttl   time.Duration
		blame bool
	}{{250 * ms, false}, {3 * time.Second, true}} {
		g := newHarness(t, testSettings(), endpoints(1, 2)...)
		g.runWithLatency(10*time.Second, 100*ms, func(uint32) time.Duration { return 200 * ms })
		g.controller.concurrency.bound, g.controller.interval.saturated = 8, false
		cuts, aside := g.controller.counts.cuts, false
		for i := 0; i < 40; i++ {
			id := fmt.Sprint("hasty", i)
			g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: id, TimeLeft: k.ttl, Tokens: 1, TenantNodes: 2})
			if g.attempts[id] == 0 {
				continue // kept out by the cut bound
			}
			g.advance(k.ttl)
			g.endAttempt(id, TimedOut, 0)
			aside = aside || g.controller.AvoidedServers(g.now) > 0
		}
		if blamed := g.controller.counts.cuts > cuts || g.controller.concurrency.bound < 8; blamed != k.blame {
			t.Errorf("after time-outs of %v the bound is %.1f", k.ttl, g.controller.concurrency.bound)
		}
		if aside != k.blame {
			t.Errorf("by time-outs of %v a server is put aside: %v", k.ttl, aside)
		}
	}
}
