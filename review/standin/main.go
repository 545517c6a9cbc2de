// Command standin plays the cases of the review: it starts an edge node with the command of the deploy file, and is its
// clients, its rating servers and its discovery.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case. It exits with 0 if the rule held.
const (
	exitBroken    = 1
	exitNotPlayed = 2
)

// longestPlay is the time after which a case is given up.
const longestPlay = 100 * time.Second

// play is what a case has: its record, its folder for temporary files, and whether its disruption is played.
type play struct {
	record  *record
	folder  string
	trouble bool

	mu       sync.Mutex
	broken   int         // times that the rule was broken
	children []*exec.Cmd // processes that the case started
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	p.mu.Lock()
	p.broken++
	p.mu.Unlock()
	p.record.printf("BROKEN: "+format, args...)
}

// start starts a process that ends with the case.
func (p *play) start(cmd *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.children = append(p.children, cmd)
	return nil
}

// end kills the processes that the case started, and removes its temporary files.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cmd := range p.children {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
	p.children = nil
	_ = os.RemoveAll(p.folder)
}

var cases = map[string]func(*play) error{}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		work, err := time.ParseDuration(os.Args[3])
		if err == nil {
			err = serveRating(os.Args[2], work)
		}
		fmt.Fprintln(os.Stderr, "rating server:", err)
		os.Exit(exitNotPlayed)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the project")
		os.Exit(exitNotPlayed)
	}
	broken, err := playCase(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		os.Exit(exitNotPlayed)
	case broken > 0:
		os.Exit(exitBroken)
	}
}

// playCase plays a case, with its record in the folder, and returns how often the rule was broken.
func playCase(run func(*play) error, folder string) (broken int, err error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 0, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return 0, err
	}
	p := &play{record: r, folder: temporary, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.end()
	ended := make(chan error, 1)
	go func() { ended <- run(p) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case err = <-ended:
	case s := <-signals:
		err = fmt.Errorf("ended by a signal: %v", s)
	case <-time.After(longestPlay):
		err = fmt.Errorf("not over in %v", longestPlay)
	}
	if err != nil {
		r.printf("not played: %v", err)
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.printf("%d breaks of the rule; with the disruption: %v", p.broken, p.trouble)
	return p.broken, nil
}
