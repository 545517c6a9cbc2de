package scale

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// leastRuns is how often a timed measurement is made at least.
const leastRuns = 2

// CPUTime is the time that all threads of this process have run so far. Unlike the time on the wall
// it does not grow while others have the cores.
func CPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		panic(err) // the clock is part of every Linux
	}
	return time.Duration(t.Nano())
}

// CPUOf gives the CPU time of work. Garbage from before it is collected first.
func CPUOf(work func()) time.Duration {
	runtime.GC()
	before := CPUTime()
	work()
	return CPUTime() - before
}

// LeastCPU prepares and runs work several times and gives the least CPU time of a run: what others
// on the machine add, by cold caches and interrupts, varies and is never negative. Once all runs
// together have taken the given time none is added to the first two. An error is the context's.
func LeastCPU(ctx context.Context, runs int, most time.Duration, prepare func() (work func())) (time.Duration, error) {
	least := time.Duration(0)
	begun := time.Now()
	for i := range runs {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		if i >= leastRuns && time.Since(begun) > most {
			break
		}
		if took := CPUOf(prepare()); i == 0 || took < least {
			least = took
		}
	}
	return least, nil
}

// Heap is the number of bytes that are reachable on the heap.
func Heap() float64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held is free only after a second collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// What is small on the heap is built often, so that what others put there does not show.
const (
	smallHeap  = 1 << 20
	heapCopies = 64
)

// HeapOf gives how many bytes of the heap what build makes holds. Whatever else the caller holds must
// stay reachable meanwhile.
func HeapOf(build func() any) float64 {
	once := heapOf(build, 1)
	if once >= smallHeap {
		return once
	}
	return heapOf(build, heapCopies) / heapCopies
}

func heapOf(build func() any, copies int) float64 {
	held := make([]any, copies)
	before := Heap()
	for i := range held {
		held[i] = build()
	}
	after := Heap()
	runtime.KeepAlive(held)
	return max(0, after-before)
}
