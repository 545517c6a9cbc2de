package scale

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Limits of the machine that a run may use.
const (
	memoryPart    = 0.5      // of the machine's memory, that the tool and its processes stay under
	memoryNear    = 0.9      // of that, at which a run ends
	availablePart = 1.0 / 16 // of the machine's memory, that must stay available whoever uses it
	watchEvery    = 250 * time.Millisecond
)

// LimitError says that a run ended itself, as it came near a limit of the machine.
type LimitError struct {
	What      string
	Have, Max float64
	Unit      Unit
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: %s %s, the limit is %s %s; choose fewer sweeps by --only or a larger machine", e.What,
		number(e.Have), e.Unit, number(e.Max), e.Unit)
}

// LateError says that a generator in real time fell behind its schedule, so that what it measured
// says nothing of the program.
type LateError struct {
	Sweep     string
	Lag, Most time.Duration
}

func (e *LateError) Error() string {
	return fmt.Sprintf("%s: the generator was %v late, %v is allowed; run it again with less beside it", e.Sweep, e.Lag, e.Most)
}

// Memory is the memory of the machine and what this process holds of it, in bytes.
type Memory struct {
	Total, Available, Own float64
}

// ReadMemory reads the present figures.
func ReadMemory() (Memory, error) {
	machine, err := readKB("/proc/meminfo", "MemTotal", "MemAvailable")
	if err != nil {
		return Memory{}, err
	}
	own, err := readKB("/proc/self/status", "VmRSS")
	if err != nil {
		return Memory{}, err
	}
	return Memory{Total: machine[0], Available: machine[1], Own: own[0]}, nil
}

// readKB reads lines of the form "key: 12 kB" and gives bytes.
func readKB(path string, keys ...string) ([]float64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	values := make([]float64, len(keys))
	found := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		for i, key := range keys {
			if name != key {
				continue
			}
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %s: %w", path, key, err)
			}
			values[i] = kb * 1024
			found++
		}
	}
	if found != len(keys) {
		return nil, fmt.Errorf("%s: not all of %v are there", path, keys)
	}
	return values, nil
}

// near gives the limit that the run has come near to; nil is none. What became unavailable since the
// start counts as the run's, with the processes that it started.
func near(start, now Memory) error {
	most := start.Total * memoryPart * memoryNear
	if used := max(now.Own, start.Available-now.Available); used > most {
		return &LimitError{What: "memory in use", Have: used, Max: most, Unit: Bytes}
	}
	if least := start.Total * availablePart; now.Available < least {
		return &LimitError{What: "memory in use on the machine", Have: now.Total - now.Available, Max: now.Total - least, Unit: Bytes}
	}
	return nil
}

// watch ends a run's context where memory comes near its limit, until the context ends.
func watch(ctx context.Context, end context.CancelCauseFunc, read func() (Memory, error)) error {
	start, err := read()
	if err != nil {
		return err
	}
	go func() {
		look := time.NewTicker(watchEvery)
		defer look.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-look.C:
			}
			now, err := read()
			if err == nil {
				err = near(start, now)
			}
			if err != nil {
				end(err)
				return
			}
		}
	}()
	return nil
}
