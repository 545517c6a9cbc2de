package main

import (
	"context"
	"fmt"
	"os"

	"sloestile/internal/testbed/report"
	"sloestile/internal/testbed/scenario"
)

// growthCmd plays a scenario with its own number of servers and with the usual one, at the same traffic and the same
// capacity of all servers together.
type growthCmd struct {
	common
	File  string   `arg:"" help:"The scenario."`
	Seeds string   `help:"Seeds, as 1..3." default:"1..3"`
	Usual int      `help:"Usual number of servers; the scenario's is a multiple of it." default:"200"`
	Set   []string `help:"Set a key of the scenario, as seconds=16." sep:"none" placeholder:"KEY=VALUE"`
}

// Run plays both sizes in turn on each seed, and holds the large one against the operators' table.
func (g *growthCmd) Run(ctx context.Context) error {
	from, to, err := span(g.Seeds)
	if err != nil {
		return err
	}
	large, err := scenario.Read(g.File, g.Set...)
	if err != nil {
		return err
	}
	servers := int(large.Fleet.Servers.Hi)
	if g.Usual < 1 || servers%g.Usual != 0 {
		return fmt.Errorf("usual: %d servers are no multiple of %d", servers, g.Usual)
	}
	cores := large.Server.Cores * servers / g.Usual
	usual, err := scenario.Read(g.File, append(g.Set, fmt.Sprintf("fleet.servers = %d", g.Usual), fmt.Sprintf("server.cores = %d", cores))...)
	if err != nil {
		return err
	}
	d, err := g.deploy(ctx, g.Root, large.Disks())
	if err != nil {
		return err
	}
	plays, failed := [2][]report.Play{}, false
	for seed := from; seed <= to; seed++ {
		for i, f := range []*scenario.File{usual, large} {
			p, err := g.play(ctx, f, seed, d)
			if err != nil {
				return err
			}
			last, passed := report.Last(p.Day, p.Verdict)
			fmt.Printf("%d servers, seed %d: %s\n", int(f.Fleet.Servers.Hi), seed, last)
			failed = failed || !passed
			plays[i] = append(plays[i], p)
		}
	}
	beyond := report.Sizes(os.Stdout, report.MeanSize(g.Usual, plays[0]), report.MeanSize(servers, plays[1]))
	if failed || len(beyond) > 0 {
		fmt.Printf("FAIL growth of %s: beyond the limit: %v\n", large.Name, beyond)
		return errFailed
	}
	fmt.Printf("PASS growth of %s\n", large.Name)
	return nil
}
