// Package refbucket keeps the true stores of the customers' quotas and the meter that reads them: the
// platform's own account, of which nodes hear only what the meter tells.
package refbucket

import (
	"math"
	"sync"
	"time"
)

// Quota is what a plan gives each of its customers: units a second, and units held at most.
type Quota struct{ Rate, Burst float64 }

// Store is one customer's account.
type Store struct {
	q     Quota
	level float64
	at    time.Duration
	used  map[int]float64 // units sent on, by meter period
}

func (s *Store) fill(now time.Duration) {
	s.level = math.Min(s.q.Burst, s.level+s.q.Rate*(now-s.at).Seconds())
	s.at = now
}

// Ledger holds the stores of all customers. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	stores       []Store
	period, late time.Duration
}

// New makes the accounts, full, one for each quota given. A period of zero is no meter.
func New(quotas []Quota, period, late time.Duration) *Ledger {
	l := &Ledger{period: period, late: late}
	for _, q := range quotas {
		l.stores = append(l.stores, Store{q: q, level: q.Burst, used: make(map[int]float64)})
	}
	return l
}

// Take counts a try at its first send. It is inside the quota where the store holds its units,
// which it then takes; else it takes nothing.
func (l *Ledger) Take(customer int, units float64, now time.Duration) (inside bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.stores[customer]
	s.fill(now)
	if l.period > 0 {
		p := int(now / l.period)
		s.used[p] += units
		delete(s.used, p-int(l.late/l.period)-8)
	}
	if s.level < units {
		return false
	}
	s.level -= units
	return true
}

// Settle takes the true units of a try that was inside in place of its guess; the store may go
// below nothing.
func (l *Ledger) Settle(customer int, guess, real float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.stores[customer]
	s.fill(now)
	s.level = math.Min(s.q.Burst, s.level+guess-real)
}

// Room is the part of a customer's store that is unused.
func (l *Ledger) Room(customer int, now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.stores[customer]
	s.fill(now)
	return s.level / s.q.Burst
}

// Used is the customer's use in percent of its rate over the last period that the meter has told;
// ok is false until there is one.
func (l *Ledger) Used(customer int, now time.Duration) (percent int, ok bool) {
	if l.period == 0 || now < l.period+l.late {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.stores[customer]
	last := int((now-l.late)/l.period) - 1
	return int(math.Round(100 * s.used[last] / (s.q.Rate * l.period.Seconds()))), true
}
