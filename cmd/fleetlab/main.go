// Command fleetlab plays scenarios against real processes of the edge node and says what came of
// them.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/proc"
	"sloestile/internal/testbed/report"
	"sloestile/internal/testbed/scenario"
	"sloestile/internal/testbed/virtual"
)

// Exit codes: a play may pass, fail, or not be possible.
const (
	exitFailed = 1
	exitUnable = 2
)

// errFailed is a play that was possible and did not pass.
var errFailed = errors.New("failed")

type cli struct {
	Run     runCmd     `cmd:"" help:"Play one seed of a scenario and judge it."`
	Compare compareCmd `cmd:"" help:"Play two sides in turn on the same seeds."`
	Growth  growthCmd  `cmd:"" help:"Play a scenario with its servers and with the usual number, and compare what a node needs with the limits."`
	Virtual virtualCmd `cmd:"" help:"Play a scenario's tries in virtual time against ways to share quotas."`
	Work    workCmd    `cmd:"" help:"Play machines that are taken out for work in virtual time, against the best order found."`
	Scale   scaleCmd   `cmd:"" help:"Measure how each cost grows with the size of the fleet, against the target's budget."`
	List    listCmd    `cmd:"" help:"List the scenarios."`
}

type common struct {
	Root    string `help:"Folder of the program's deploy file." default:"." type:"existingdir"`
	NoBuild bool   `help:"Play what was built before."`
	Logs    string `help:"Keep the processes' logs in this folder." type:"path"`
	Again   int    `help:"Play a day again, so often at most, in which the tool itself was late." default:"2"`
	Report  string `help:"Write report.md and plots into this folder." type:"path"`
}

type runCmd struct {
	common
	File string   `arg:"" help:"The scenario."`
	Seed uint64   `help:"Draws the deployment and its day." default:"1"`
	Set  []string `help:"Set a key of the scenario, as fleet.nodes=6." sep:"none" placeholder:"KEY=VALUE"`
	JSON string   `help:"Write every figure to this file." type:"path"`
}

type compareCmd struct {
	common
	File           string   `arg:"" help:"The scenario."`
	Plays          int      `help:"Plays of each side on each seed." default:"1"`
	Seeds          string   `help:"Seeds, as 1..5." default:"1..3"`
	With           []string `help:"Set a key on the one side." sep:"none" placeholder:"KEY=VALUE"`
	Against        []string `help:"Set a key on the other side." sep:"none" placeholder:"KEY=VALUE"`
	AgainstProgram string   `help:"Another checkout whose program is the other side." type:"existingdir"`
}

type virtualCmd struct {
	File   string   `arg:"" help:"The scenario."`
	Nodes  []int    `help:"Sizes of the fleet, in nodes; servers grow with them." default:"300"`
	Report string   `help:"Draw how each figure grows with the size into this folder." type:"path"`
	Seeds  string   `help:"Seeds, as 1..5." default:"1..3"`
	Ways   []string `help:"Ways to share." default:"alone,lease,notices"`
	Loss   float64  `help:"Part of the messages that is lost."`
	Set    []string `help:"Set a key of the scenario, as seconds=8." sep:"none" placeholder:"KEY=VALUE"`
}

type listCmd struct {
	Dir string `arg:"" optional:"" help:"Folder of the scenarios." default:"scenarios"`
}

func main() {
	proc.ReapIfAsked()
	var c cli
	parser := kong.Must(&c, kong.Name("fleetlab"), kong.Description("Plays fleets of edge nodes through failures."), kong.UsageOnError())
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(exitUnable)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	switch err := k.Run(); {
	case errors.Is(err, errFailed):
		os.Exit(exitFailed)
	case err != nil:
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(exitUnable)
	}
}

// deploy reads a checkout's deploy file and builds it, unless that is not wanted; for disks that fail,
// the program that is made for the lab.
func (c *common) deploy(ctx context.Context, root string, disks bool) (*testbed.Deploy, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	d, err := testbed.ReadDeploy(root)
	if err != nil {
		return nil, err
	}
	if disks {
		d = d.Lab()
	}
	if c.Logs != "" {
		if err := os.MkdirAll(c.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	if !c.NoBuild {
		say("building")
		return d, d.Make(ctx)
	}
	return d, nil
}

// play plays one seed, telling on standard error how long it still takes.
func (c *common) play(ctx context.Context, f *scenario.File, seed uint64, d *testbed.Deploy) (report.Play, error) {
	day, err := f.Draw(seed)
	if err != nil {
		return report.Play{}, err
	}
	for again := 0; ; again++ {
		end := time.Now().Add(day.Length)
		v, err := testbed.Play(ctx, day, testbed.Options{Deploy: d, Logs: c.Logs, Progress: func(what string) {
			say(fmt.Sprintf("%s, seed %d: %s, about %v left", f.Name, seed, what, time.Until(end).Round(time.Second)))
		}})
		if err != nil || v.Void == "" || again >= c.Again {
			return report.Play{Day: day, Verdict: v}, err
		}
		fmt.Printf("%s, seed %d is played again: %s\n", f.Name, seed, v.Void)
	}
}

// say tells progress to a person, and to nobody else.
func say(what string) {
	if s, err := os.Stderr.Stat(); err == nil && s.Mode()&os.ModeCharDevice != 0 {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%s", what)
	}
}

func (r *runCmd) Run(ctx context.Context) error {
	f, err := scenario.Read(r.File, r.Set...)
	if err != nil {
		return err
	}
	d, err := r.deploy(ctx, r.Root, f.Disks())
	if err != nil {
		return err
	}
	p, err := r.play(ctx, f, r.Seed, d)
	if err != nil {
		return err
	}
	say("")
	report.Table(os.Stdout, p.Day, p.Verdict)
	if r.JSON != "" {
		if err := report.JSON(r.JSON, p.Day, p.Verdict); err != nil {
			return err
		}
	}
	if r.Report != "" {
		if err := report.Write(r.Report, []report.Play{p}); err != nil {
			return err
		}
	}
	last, passed := report.Last(p.Day, p.Verdict)
	fmt.Println(last)
	if !passed {
		return errFailed
	}
	return nil
}

// Run plays both sides in turn on each seed, so that a change of the machine's speed meets both.
func (r *compareCmd) Run(ctx context.Context) error {
	from, to, err := span(r.Seeds)
	if err != nil {
		return err
	}
	files, programs := [2]*scenario.File{}, [2]*testbed.Deploy{}
	for i, set := range [][]string{r.With, r.Against} {
		if files[i], err = scenario.Read(r.File, set...); err != nil {
			return err
		}
	}
	for i, root := range []string{r.Root, cmp.Or(r.AgainstProgram, r.Root)} {
		if programs[i], err = r.deploy(ctx, root, files[i].Disks()); err != nil {
			return err
		}
	}
	var sides [2][]judge.Figures
	var plays []report.Play
	for seed := from; seed <= to; seed++ {
		for range r.Plays {
			for side := range sides {
				p, err := r.play(ctx, files[side], seed, programs[side])
				if ctx.Err() != nil && len(sides[1]) > 0 { // what was measured is kept
					return r.done(plays, sides)
				}
				if err != nil {
					return err
				}
				last, _ := report.Last(p.Day, p.Verdict)
				fmt.Printf("%s seed %d: %s\n", [2]string{"with", "against"}[side], seed, last)
				sides[side] = append(sides[side], p.Verdict.Figures)
				if side == 0 {
					plays = append(plays, p)
				}
			}
		}
	}
	return r.done(plays, sides)
}

func (r *compareCmd) done(plays []report.Play, sides [2][]judge.Figures) error {
	n := len(sides[1])
	report.Compare(os.Stdout, sides[0][:n], sides[1])
	if r.Report != "" {
		return report.Write(r.Report, plays)
	}
	return nil
}

// span reads seeds as A..B.
func span(s string) (from, to uint64, err error) {
	a, b, ok := strings.Cut(s, "..")
	if !ok {
		b = a
	}
	from, err1 := strconv.ParseUint(a, 10, 64)
	to, err2 := strconv.ParseUint(b, 10, 64)
	if err := errors.Join(err1, err2); err != nil || to < from {
		return 0, 0, fmt.Errorf("seeds: %q is not A..B", s)
	}
	return from, to, nil
}

// Run plays each way on each seed and prints each figure's median and spread.
func (r *virtualCmd) Run() error {
	from, to, err := span(r.Seeds)
	if err != nil {
		return err
	}
	ways, err := virtual.Ways(r.Ways)
	if err != nil {
		return err
	}
	sizes := map[virtual.Way][][]judge.Figures{}
	for _, nodes := range r.Nodes {
		plays, err := r.plays(nodes, from, to, ways)
		if err != nil {
			return err
		}
		for _, w := range ways {
			sizes[w] = append(sizes[w], plays[w])
			report.Spreads(os.Stdout, fmt.Sprintf("%s, %d nodes, %d seeds", w, nodes, to-from+1), plays[w])
		}
	}
	fmt.Println("no late-seeing policy for plays in virtual time: they have no servers")
	if r.Report == "" {
		return nil
	}
	for _, w := range ways {
		if err := report.Growth(filepath.Join(r.Report, string(w)), r.Nodes, sizes[w], "messages", "bytes", "age_p99", "over_units", "refused_with_room"); err != nil {
			return err
		}
	}
	return nil
}

// plays plays all seeds at one size of the fleet.
func (r *virtualCmd) plays(nodes int, from, to uint64, ways []virtual.Way) (map[virtual.Way][]judge.Figures, error) {
	f, err := scenario.Read(r.File, append(r.Set, fmt.Sprintf("fleet.nodes = %d", nodes), fmt.Sprintf("fleet.servers = %d", max(1, nodes*2/3)))...)
	if err != nil {
		return nil, err
	}
	plays := map[virtual.Way][]judge.Figures{}
	for seed := from; seed <= to; seed++ {
		d, err := f.Draw(seed)
		if err != nil {
			return nil, err
		}
		for _, w := range ways {
			plays[w] = append(plays[w], virtual.Run(d, w, r.Loss))
		}
	}
	return plays, nil
}

func (l *listCmd) Run() error {
	paths, err := filepath.Glob(filepath.Join(l.Dir, "*.toml"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("no scenario in %s", l.Dir)
	}
	for _, p := range paths {
		f, err := scenario.Read(p)
		if err != nil {
			return err
		}
		fmt.Printf("%-16s %4.0f s  %s\n", f.Name, f.Seconds, f.About)
	}
	return nil
}
