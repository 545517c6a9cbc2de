// Package machine is the arithmetic of one rating server: cores shared among the requests in work, a
// queue, warmth, faults. It has no sockets, goroutines or clocks: times are the play's and are given.
package machine

import (
	"math"
	"time"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// Machine is one rating server. It is not safe for concurrent use.
type Machine struct {
	scenario.Machine
	Slow   float64 // factor on the time of all work
	Errors float64 // part of the answers that are errors, beside the usual
	Paused bool
	Held   int           // pauses by chance that last
	Conns  int           // that are open
	Since  time.Duration // start of the process
	server *scenario.Server
	cold   bool
	warmed float64 // core-seconds done since the start
	work   []*Job  // in slots
	queue  []*Job
	at     time.Duration // up to which work is done
	budget budget

	Bears func(n float64) float64 // requests of mean work within the rule's time, while it is cold, where the settings allow n
}

// Job is one request in work or waiting. End is called once, when its work has ended.
type Job struct {
	All, Left float64 // core-seconds
	Gone      bool    // its client has gone; a server may still work on it
	End       func(record.Outcome)
}

// New makes a server of a day, as it is when its process starts.
func New(d *scenario.Day, i int) *Machine {
	m := &Machine{Machine: d.Servers[i], Slow: 1, server: &d.File.Server, budget: newBudget(d), Bears: Allows}
	m.Since, m.cold = m.From, m.From >= 0
	return m
}

// Restart starts the process again, cold.
func (m *Machine) Restart(now time.Duration) {
	m.cold, m.warmed, m.Since, m.at = true, 0, now, now
	m.Slow, m.Errors, m.Paused = 1, 0, false
	m.budget.sends = nil
}

// Die ends all requests with the process.
func (m *Machine) Die() {
	for _, j := range append(m.work, m.queue...) {
		j.End(record.Died)
	}
	m.work, m.queue = nil, nil
}

// Warmth is the part of its capacity that the server has reached.
func (m *Machine) Warmth(now time.Duration) float64 {
	if !m.cold {
		return 1
	}
	x := (now - m.Since).Seconds() / m.Cold.Seconds()
	if m.server.WarmBy == "requests" {
		x = math.Max(x, m.warmed/(float64(m.Cores)*m.Speed*m.Cold.Seconds()/2))
	}
	if x >= 1 {
		m.cold, m.budget.sends = false, nil
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*x
}

// Capacity is the core-seconds a second that the server does now at best.
func (m *Machine) Capacity(now time.Duration) float64 {
	held := float64(len(m.work)+len(m.queue)) / float64(m.Cores)
	thrash := 1 + m.Thrash*math.Max(0, held-m.ThrashAt)
	full := float64(m.Conns) / math.Max(1, float64(m.server.Connections))
	tax := m.TableTax * math.Max(0, math.Min(1, 2*full-1))
	return float64(m.Cores) * m.Speed * m.Warmth(now) * (1 - tax) / thrash / m.Slow
}

// each is the core-seconds a second that each request in work gets.
func (m *Machine) each(now time.Duration) float64 {
	if m.Paused || m.Held > 0 || len(m.work) == 0 {
		return 0
	}
	c := m.Capacity(now)
	return math.Min(c/float64(m.Cores), c/float64(len(m.work)))
}

// Advance does the work up to now and ends what is done.
func (m *Machine) Advance(now time.Duration) {
	rate := m.each(m.at)
	d := math.Max(0, (now-m.at).Seconds()) * rate
	m.at = now
	kept := m.work[:0]
	for _, j := range m.work {
		j.Left -= d
		m.warmed += d
		if j.Left > 1e-7 {
			kept = append(kept, j)
			continue
		}
		j.End(record.Served)
	}
	m.work = kept
	for len(m.work) < m.Slots && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if j.Gone && m.server.DropsExpired {
			j.End(record.GivenUp)
			continue
		}
		m.work = append(m.work, j)
	}
}

// longestStep bounds how long a cold server goes with the capacity of one moment.
const longestStep = 50 * time.Millisecond

// Next is after which time Advance is due; ok is false while nothing is done.
func (m *Machine) Next(now time.Duration) (wait time.Duration, ok bool) {
	rate, least := m.each(now), math.Inf(1)
	if rate == 0 {
		return 0, false
	}
	for _, j := range m.work {
		least = math.Min(least, j.Left)
	}
	wait = time.Duration(least / rate * float64(time.Second))
	if m.cold {
		wait = min(wait, longestStep)
	}
	return max(wait, 0), true
}

// Admit takes a request up to which the server was advanced; it gives nil where there is no room.
func (m *Machine) Admit(work float64, end func(record.Outcome)) *Job {
	j := &Job{Left: work, All: work, End: end}
	switch {
	case len(m.work) < m.Slots:
		m.work = append(m.work, j)
	case len(m.queue) < m.Queue:
		m.queue = append(m.queue, j)
	default:
		return nil
	}
	return j
}

// Burden adds work that no request answers for: it is taken from all in work alike.
func (m *Machine) Burden(work float64) {
	for _, j := range m.work {
		j.Left += work / float64(len(m.work))
	}
}

// Left is the core-seconds that the server still has to do.
func (m *Machine) Left() (sum float64) {
	for _, j := range m.work {
		sum += j.Left
	}
	for _, j := range m.queue {
		sum += j.Left
	}
	return sum
}
