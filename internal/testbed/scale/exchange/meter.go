package exchange

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// sampleEach is how many calls of a kind there are to one that is timed. It is prime, so that it does
// not fall into step with a fleet's rounds.
const sampleEach = 13

// cpuMeter estimates the CPU time of many short calls by the thread's own clock, so that other threads of
// the process and of the machine do not count. Marking by the garbage collector in its own threads is not
// in it. The caller holds its thread by runtime.LockOSThread.
type cpuMeter struct {
	calls, sampled int
	spent          time.Duration // of those sampled
	began          time.Duration
	timing         bool
	overhead       time.Duration // of reading the clock
}

func newCPUMeter() cpuMeter {
	least := time.Hour
	for range 100 {
		from := threadCPU()
		least = min(least, threadCPU()-from)
	}
	return cpuMeter{overhead: least}
}

func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // each Linux has it
	}
	return time.Duration(t.Nano())
}

// begin and end enclose a call.
func (m *cpuMeter) begin() {
	m.calls++
	if m.timing = m.calls%sampleEach == 0; m.timing {
		m.began = threadCPU()
	}
}

func (m *cpuMeter) end() {
	if m.timing {
		m.sampled++
		m.spent += max(0, threadCPU()-m.began-m.overhead)
	}
}

// reset forgets what was measured.
func (m *cpuMeter) reset() { *m = cpuMeter{overhead: m.overhead} }

// seconds is the estimate of all calls' CPU time. It is NaN before a call was sampled.
func (m *cpuMeter) seconds() float64 {
	if m.sampled == 0 {
		return math.NaN()
	}
	return m.spent.Seconds() * float64(m.calls) / float64(m.sampled)
}
