// Command edgenode is one edge node: it takes requests from clients and passes
// them on to app servers as the control module decides.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"sloestile/internal/config"
	"sloestile/internal/node"
)

const (
	gcPercent          = 400 // per cent by which the heap may grow: memory is there, CPU is scarce
	heapMemoryFraction = 0.6 // of the memory limit that the heap may come to
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Guards against a SIGHUP that ends the program: it is never left to its default, also
	// not while the node starts or drains.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	fleet := flag.String("fleet", os.Getenv("NODE_FLEET"), "fleet file; none is everything off")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "edgenode [-fleet FILE]: serve as NODE_CONFIG says\nedgenode check FILE: tell whether a fleet file can be used\n")
	}
	flag.Parse()
	switch args := flag.Args(); {
	case len(args) == 2 && args[0] == "check":
		os.Exit(checkFleetFile(args[1]))
	case len(args) > 0:
		flag.Usage()
		os.Exit(2)
	}
	if err := run(ctx, hup, *fleet); err != nil {
		slog.Error("edgenode failed", "error", err)
		os.Exit(1)
	}
}

// check tells whether a fleet file can be used, without starting.
func checkFleetFile(path string) int {
	if _, err := config.LoadFleet(path); err != nil {
		fmt.Fprintln(os.Stderr, "edgenode:", err)
		return 1
	}
	fmt.Println(path, "can be used")
	return 0
}

// load reads the node's configuration and, where one is named, its fleet file.
func load(path, fleet string) (config.Config, error) {
	cfg, err := config.Load(path)
	if err == nil && fleet != "" {
		cfg.Fleet, err = config.LoadFleet(fleet)
	}
	return cfg, err
}

func run(ctx context.Context, hup <-chan os.Signal, fleet string) error {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return &config.EnvironmentError{Variable: "NODE_CONFIG", Err: errors.New("it names no configuration file")}
	}
	cfg, err := load(path, fleet)
	if err != nil {
		return err
	}
	if err := cfg.FromEnvironment(os.Getenv); err != nil {
		return err
	}
	if cfg.Disk, err = openDisk(); err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Max(1, math.Ceil(cfg.Cores))))
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		fraction := heapMemoryFraction
		if cfg.SocketFD > 0 { // a second process may run beside this one
			fraction /= 2
		}
		debug.SetMemoryLimit(int64(fraction * float64(cfg.MemoryMB<<20)))
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			reload(n, path, fleet)
		}
	}()
	return n.Run(ctx)
}

// reload reads the configuration again. Once it was read anew the file goes before the
// environment; a file that can't be used changes nothing.
func reload(n *node.Node, path, fleet string) {
	cfg, err := load(path, fleet)
	if err != nil {
		slog.Error("reload failed, the old configuration stays", "error", err)
		return
	}
	n.Reload(cfg)
}
