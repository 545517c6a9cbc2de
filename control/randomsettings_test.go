package control

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomSettings draws settings with a class of each idempotency and key scope, and four kinds of plans.
func randomSettings(rng *rand.Rand) Settings {
	s := Settings{
		FleetSize:                []int{1, 2, 4, 60, 300, 100000}[rng.IntN(6)],
		Zone:                     "z1",
		MaxAttempts:              1 + rng.IntN(5),
		SendsRetryAfter:          rng.IntN(2) == 0,
		MaxRetryAfter:            time.Second,
		SlowStartDuration:        10 * time.Second,
		SlowStartInitialFraction: 0.2,
		OverloadWindow:           time.Second,
		OverloadFactor:           2,
		ResponsesReportTokens:    rng.IntN(2) == 0,
		PollDiscovery:            rng.IntN(2) == 0,
		MaxPollInterval:          10 * time.Second,
		CanCancel:                rng.IntN(2) == 0,
		HealthChecks:             rng.IntN(2) == 0,
		MaxRequestTokens:         4,
	}
	if rng.IntN(4) > 0 {
		s.MeterPeriod = time.Second
	}
	for idempotency := Idempotent; idempotency <= NonIdempotent; idempotency++ {
		for scope := KeyScopeAll; scope <= KeyScopeCell; scope++ {
			s.Classes = append(s.Classes, Class{
				Name:              fmt.Sprint("c", idempotency, scope),
				LatencyObjective:  time.Duration(200+rng.IntN(1500)) * ms,
				Deadline:          time.Duration(2000+rng.IntN(4000)) * ms,
				Idempotency:       idempotency,
				KeyScope:          scope,
				PriorityWeight:    1,
				IdempotencyWindow: time.Duration(500+rng.IntN(3000)) * ms,
				Stream:            rng.IntN(5) == 0,
			})
		}
	}
	s.Plans = []Plan{
		{Name: "rate", PriceFactor: 1, Rate: 20, Burst: 40},
		{Name: "slots", PriceFactor: 0.5, MaxConcurrent: 3},
		{Name: "both", PriceFactor: 2, Rate: 10, Burst: 10, MaxConcurrent: 4},
		{
			Name: "ceiling", PriceFactor: 1.5, Rate: 20, Burst: 20,
			CeilingRate: 40, CeilingBurst: 40, CeilingOverdraft: 4,
		},
	}
	return s
}
