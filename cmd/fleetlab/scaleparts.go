package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// scaleParts is the number of processes among which the quick form divides sweeps and events. Each measures its own CPU
// time and heap, so that the parts don't show in each other's figures.
const scaleParts = 3

// scalePart is what one process measures, and what came of it.
type scalePart struct {
	names  []string
	output bytes.Buffer // the table, without the last line
	result scalePartResult
}

// scalePartResult is the part of the JSON file that the verdict is made of.
type scalePartResult struct {
	Passed bool              `json:"passed"`
	Last   string            `json:"last"`
	Costs  []json.RawMessage `json:"costs"`
	Events []json.RawMessage `json:"events"`
}

// divides reports whether the sweeps are divided among processes: in the quick form, where nothing else is asked for.
func (s *scaleCmd) divides() bool {
	return s.Quick && len(s.Only) == 0 && !s.Processes && s.JSON == "" && s.Report == ""
}

// runParts measures the quick form by several processes at once and prints one verdict. A part that was stopped fails the
// whole.
func (s *scaleCmd) runParts(ctx context.Context) error {
	begun := time.Now()
	dir, err := os.MkdirTemp("", "fleetlab-scale-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	parts := divideScale(scaleParts)
	group, ctx := errgroup.WithContext(ctx)
	for i := range parts {
		group.Go(func() error { return s.runPart(ctx, &parts[i], filepath.Join(dir, strconv.Itoa(i)+".json")) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return printParts(os.Stdout, parts, time.Since(begun))
}

// divideScale deals the names of all sweeps and events out.
func divideScale(n int) []scalePart {
	parts := make([]scalePart, n)
	next := 0
	deal := func(name string) {
		parts[next%n].names = append(parts[next%n].names, name)
		next++
	}
	for _, sweep := range sweeps() {
		deal(sweep.Name)
	}
	for _, event := range events() {
		deal(event.Name)
	}
	return parts
}

// runPart runs one part to its end. That its figures fail is no error here.
func (s *scaleCmd) runPart(ctx context.Context, part *scalePart, file string) error {
	runtime.LockOSThread() // the child is ended with the thread that started it
	defer runtime.UnlockOSThread()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{"scale", "--quick", "--most", s.limit().String(), "--json", file}
	if s.Seeds != "" {
		args = append(args, "--seeds", s.Seeds)
	}
	for _, name := range part.names {
		args = append(args, "--only", name)
	}
	child := exec.CommandContext(ctx, self, args...)
	child.Stdout = &part.output
	child.Stderr = os.Stderr
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runErr := child.Run()
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("scale of %v: %w (%w)", part.names, runErr, err)
	}
	return json.Unmarshal(raw, &part.result)
}

// printParts prints the tables of all parts and the verdict of the run.
func printParts(out io.Writer, parts []scalePart, took time.Duration) error {
	costs, figures := 0, 0
	failed := ""
	for i := range parts {
		part := &parts[i]
		table := bytes.TrimSuffix(part.output.Bytes(), []byte(part.result.Last+"\n"))
		if _, err := out.Write(table); err != nil {
			return err
		}
		costs += len(part.result.Costs)
		figures += len(part.result.Events)
		if !part.result.Passed && failed == "" {
			failed = part.result.Last
		}
	}
	if failed != "" {
		fmt.Fprintln(out, failed)
		return errFailed
	}
	_, err := fmt.Fprintf(out, "PASS scale: quick, %d costs and %d figures of events, %d processes, %v, none grows more than is stated\n",
		costs, figures, len(parts), took.Round(time.Second))
	return err
}
