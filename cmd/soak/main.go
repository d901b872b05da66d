// Command soak runs nodes as processes on loopback, injects random faults, and checks
// the nodes' guarantees. It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/gravitational/trace"

	"banyanquay/internal/soaker"
)

// args is the command line.
type args struct {
	Daemon  string        `arg:"--daemon,required" help:"program of a node"`
	Dir     string        `arg:"--dir,required" help:"directory for settings and logs; a seed without a fault leaves nothing there"`
	Seed    uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds   int           `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	Time    time.Duration `arg:"--time" default:"20s" help:"how long faults come in each run"`
	Nodes   int           `arg:"--nodes" default:"5" help:"nodes"`
	Engines int           `arg:"--engines" default:"4" help:"engines of each of three data centres"`
	Callers int           `arg:"--callers" default:"12" help:"callers, each with one request at a time"`
	Slack   float64       `arg:"--retry-slack" default:"100" help:"retries that all nodes together may send to a service in 10 s beside a fifth of its requests"`
	Slow    float64       `arg:"--slow" default:"0.1" help:"share of requests whose endpoint works for 1 to 9 s, and share of those whose body is sent within up to 4 s"`
	TTL     time.Duration `arg:"--address-ttl" default:"2500ms" help:"how long callers may keep an answer with addresses"`
	Memory  int           `arg:"--memory" default:"184" help:"memory limit of a node in MB; the platform's sizes are 136, 184, 284 and 536"`
	Port    int           `arg:"--port" help:"first of some hundred ports; if 0, any that are free"`
	Only    []string      `arg:"--only,separate" help:"kind of fault; repeatable, all if there is none"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := a.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run runs the seeds one after the other. It deletes the directory of a seed
// without violations.
func (a args) run(ctx context.Context) error {
	only, err := soaker.ParseKinds(a.Only)
	if err != nil {
		return err
	}
	failed := 0
	for i := range a.Seeds {
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err(), "stopped after %d seeds", i)
		}
		seed := a.Seed + uint64(i)
		dir := filepath.Join(a.Dir, fmt.Sprintf("seed%d", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return trace.ConvertSystemError(err)
		}
		report, err := soaker.Run(ctx, soaker.Config{
			Daemon: a.Daemon, Dir: dir, Seed: seed, Time: a.Time, Nodes: a.Nodes, Engines: a.Engines,
			Callers: a.Callers, RetrySlack: a.Slack, SlowShare: a.Slow, AddressTTL: a.TTL, MemoryMB: a.Memory, Port: a.Port, Only: only,
		})
		if err != nil {
			return trace.Wrap(err, "seed %d", seed)
		}
		fmt.Printf("seed %d: %d nodes, %s\n", seed, a.Nodes, report.Summary())
		if len(report.Violations) > 0 {
			failed++
			fmt.Printf("%s  logs: %s\n", report.Details(), dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	if failed > 0 {
		return trace.BadParameter("%d of %d seeds violated a guarantee", failed, a.Seeds)
	}
	return nil
}
