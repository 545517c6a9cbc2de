// Command edgenode is one edge node: it accepts requests from clients and forwards them to rating servers. Package
// control makes the decisions.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"sloestile/internal/config"
	"sloestile/internal/logging"
	"sloestile/internal/node"
)

const (
	gcPercent          = 400                    // heap growth in percent between collections; high because CPU is scarcer than memory
	logFlushTimeout    = 100 * time.Millisecond // time for the last lines of the log
	heapMemoryFraction = 0.6                    // fraction of the memory limit that the Go runtime may use
)

func main() {
	ctx := terminationContext()
	logWriter := logging.NewWriter(os.Stderr)
	log.SetOutput(logWriter) // that of slog too
	// The default action of SIGHUP ends the program, so it is caught at all times, also while the node starts or
	// drains.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	fleet := flag.String("fleet", os.Getenv("NODE_FLEET"), "fleet file, which enables optional parts; without one all are off")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "edgenode [-fleet FILE]: serve with the configuration file named by NODE_CONFIG\nedgenode check FILE: validate a fleet file\n")
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
		logWriter.Flush(logFlushTimeout)
		os.Exit(1)
	}
	logWriter.Flush(logFlushTimeout)
}

// terminationContext returns a context that ends at the first SIGTERM or interrupt. The signals stay caught until the
// process has ended: the default action of a further one would end the process with its requests, or with a failure.
func terminationContext() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel(&node.ShutdownSignal{At: time.Now()})
	}()
	return ctx
}

// checkFleetFile validates a fleet file without starting a node and returns the exit code.
func checkFleetFile(path string) int {
	if _, err := config.LoadFleet(path); err != nil {
		fmt.Fprintln(os.Stderr, "edgenode:", err)
		return 1
	}
	fmt.Println(path, "can be used")
	return 0
}

// load reads the node's configuration file and its fleet file; fleet is "" if there is none.
func load(path, fleet string) (config.Config, error) {
	cfg, err := config.Load(path)
	if err == nil && fleet != "" {
		cfg.Fleet, err = config.LoadFleet(fleet)
	}
	return cfg, err
}

// run serves until ctx ends. At each signal from hup it reads the configuration again.
func run(ctx context.Context, hup <-chan os.Signal, fleet string) error {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return &config.EnvironmentError{Variable: "NODE_CONFIG", Err: errors.New("it must name the configuration file")}
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
		if cfg.SocketFD > 0 { // during a handover a second process shares the memory limit
			fraction /= 2
		}
		debug.SetMemoryLimit(int64(fraction * float64(cfg.MemoryMB<<20)))
	}
	select {
	case <-ctx.Done():
		return nil // told to end before clients could connect
	default:
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

// reload reads the configuration again for a SIGHUP. Unlike at the start, the environment does not override the file.
// An invalid file changes nothing.
func reload(n *node.Node, path, fleet string) {
	cfg, err := load(path, fleet)
	if err != nil {
		slog.Error("reload failed, the old configuration stays", "error", err)
		return
	}
	n.Reload(cfg)
}
