// Command standin2 plays the cases 6 to 10 of the review: it starts the edge node by the command of the deploy file and
// is its discovery, its rating servers and its clients. The script of a case calls it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// playLimit is the longest time of a case.
const playLimit = 115 * time.Second

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// line writes one line with the time since the start in milliseconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.file, format+"\n", args...)
}

// result is how a case ended: the breaks of its rule, or the reason why it could not run.
type result struct {
	broken []string
	cannot error
}

var cases = map[string]func(*record, bool) result{
	"subset-key":   playSubsetKey,
	"memory":       playMemory,
	"long-answers": playLongAnswers,
	"late-body":    playLateBody,
	"options":      playOptions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin2 CASE RECORD: play a case from the project's root")
		os.Exit(exitCannot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// endEarly ends a case that takes too long or is told to end, with all that it started.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(playLimit):
	}
	endStarted()
	fmt.Println("ended early")
	os.Exit(exitCannot)
}

// run plays a case and returns its exit code.
func run(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", name, trouble)
	go endEarly()
	res := cases[name](r, trouble)
	switch {
	case len(res.broken) > 0:
		for _, b := range res.broken {
			r.line("broken: %s", b)
		}
		fmt.Printf("%s: rule broken %d times, first: %s\n", name, len(res.broken), res.broken[0])
		return exitBroken
	case res.cannot != nil:
		r.line("could not run: %v", res.cannot)
		fmt.Printf("%s: could not run: %v\n", name, res.cannot)
		return exitCannot
	}
	r.line("rule held")
	fmt.Printf("%s: rule held\n", name)
	return exitHeld
}
