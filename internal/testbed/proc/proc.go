// Package proc starts and ends the processes of a play. None of them outlives the tool, also where
// that is killed: the kernel ends each with it, and a reaper that waits for the tool's end removes
// what else it left.
package proc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ReapVariable names, in the environment of the reaper, the folder that it removes at the end.
const ReapVariable = "FLEETLAB_REAP"

// ReapIfAsked turns this process into a reaper where the environment says so. A program that uses
// Guard calls it first of all.
func ReapIfAsked() {
	dir := os.Getenv(ReapVariable)
	if dir == "" {
		return
	}
	groups := map[int]bool{} // process groups that run
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		switch g, err := strconv.Atoi(in.Text()); {
		case err == nil && g > 1:
			groups[g] = true
		case err == nil && g < -1:
			delete(groups, -g)
		}
	}
	for g := range groups {
		_ = syscall.Kill(-g, syscall.SIGKILL)
	}
	_ = os.RemoveAll(dir)
	os.Exit(0)
}

// Guard owns a play's folder and processes.
type Guard struct {
	Dir    string
	mu     sync.Mutex
	reaper *exec.Cmd
	tell   io.WriteCloser
	starts chan func()
}

// NewGuard makes a folder and the reaper that removes it, and ends what was started, when the tool
// is gone.
func NewGuard() (*Guard, error) {
	dir, err := os.MkdirTemp("", "fleetlab-")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	g := &Guard{Dir: dir, reaper: exec.Command(self), starts: make(chan func())}
	g.reaper.Env = append(os.Environ(), ReapVariable+"="+dir)
	g.reaper.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal is the tool's
	if g.tell, err = g.reaper.StdinPipe(); err != nil {
		return nil, err
	}
	if err := g.reaper.Start(); err != nil {
		return nil, fmt.Errorf("starting the reaper: %w", err)
	}
	go g.starter()
	return g, nil
}

// starter starts all processes from one thread that lives as long as the guard: the kernel ends a
// child with the thread that started it.
func (g *Guard) starter() {
	runtime.LockOSThread()
	for f := range g.starts {
		f()
	}
}

// Close ends all processes and removes the folder.
func (g *Guard) Close() error {
	close(g.starts)
	_ = g.tell.Close()
	return g.reaper.Wait()
}

// Process is one process of a play.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Spec is how a process is started.
type Spec struct {
	Command     string // for /bin/sh, as the deploy file has it
	Root        string // the folder it starts in
	Env         []string
	Log         string // file that its output is added to
	Descriptors int
}

// Start starts a process.
func (g *Guard) Start(s Spec) (*Process, error) {
	log, err := os.OpenFile(s.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; %s", s.Descriptors, s.Command))
	c.Dir, c.Env, c.Stdout, c.Stderr = s.Root, s.Env, log, log
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	g.starts <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("starting %s: %w", s.Command, err)
	}
	g.note(c.Process.Pid)
	p := &Process{cmd: c, done: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		g.note(-c.Process.Pid)
		close(p.done)
	}()
	return p, nil
}

// note tells the reaper of a process that runs, or by its negative that it has ended.
func (g *Guard) note(pid int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintln(g.tell, pid)
}

// Signal sends a signal; to a process that has ended it does nothing.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err tells how an ended process ended.
func (p *Process) Err() error { return p.err }

// Kill ends a process outright and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Usage is what the kernel tells of a process.
type Usage struct {
	RSS         int64 // bytes
	CPU         time.Duration
	Descriptors int
}

const ticks = 100 // of the kernel's clock of processes, a second

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return Usage{}, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 22 {
		return Usage{}, errors.New("stat is not in its form")
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	pages, err3 := strconv.ParseInt(f[21], 10, 64)
	fds, err4 := os.ReadDir(filepath.Join(dir, "fd"))
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return Usage{}, err
	}
	return Usage{pages * int64(os.Getpagesize()), time.Duration(user+system) * time.Second / ticks, len(fds)}, nil
}

// Run runs a command of the deploy file to its end; what it printed is in the error.
func Run(ctx context.Context, root, command string) error {
	c := exec.CommandContext(ctx, "/bin/sh", "-c", command)
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w: %s", command, err, out)
	}
	return nil
}
