// Command banyanquayd is the node daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor"
)

// startTimeout limits the start of the daemon.
const startTimeout = 15 * time.Second

// args is the daemon's command line.
type args struct {
	Settings string `arg:"positional,required,env:BANYANQUAY_NODE_FILE" help:"settings file"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description returns the introduction of the help text.
func (args) Description() string {
	return "banyanquayd routes requests to pipelines of model servers.\n"
}

func main() {
	// SIGHUP ends a process that doesn't handle it, and may come while the node starts
	// or stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var a args
	arg.MustParse(&a)
	os.Exit(run(a, hangups))
}

// run returns the exit code.
func run(a args, hangups <-chan os.Signal) int {
	settings, err := loader.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if a.Check {
		fmt.Printf("%s: no faults\n", a.Settings)
		return 0
	}
	logger, stop, err := newLogger(settings.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer stop()
	return serve(newApp(a.Settings, settings, logger, hangups))
}

// newLogger returns a logger and a function that flushes it.
func newLogger(cfg loader.Log) (*zap.Logger, func(), error) {
	if cfg.Rate > 0 {
		return recorder.Bounded(os.Stdout, cfg.Level, cfg.Rate)
	}
	logger, err := recorder.Logger(cfg.Format, cfg.Level)
	return logger, func() {}, err
}

// newApp returns the node that the settings configure.
func newApp(path string, settings loader.Settings, logger *zap.Logger, hangups <-chan os.Signal) *fx.App {
	counters := counter.New()
	counters.Publish()
	if !settings.Relay.Enabled {
		return supervisor.New(supervisor.Config{Settings: settings, Logger: logger, Counters: counters})
	}
	latencies := counter.NewLatencies()
	latencies.Publish()
	memory := supervisor.RelayBudget(settings.Relay, counters.Memory)
	return supervisor.NewRelay(supervisor.RelayConfig{
		Settings: settings, Path: path, Hangups: hangups, Logger: logger, Counters: counters, Latencies: latencies,
		Platform: newPlatform(settings, counters, memory), Memory: memory,
	})
}

// serve runs the daemon until a signal or a failure and returns the exit code.
func serve(app *fx.App) int {
	// SIGTERM is handled from here on: the node may accept requests before it has started.
	stopped := app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := (<-stopped).ExitCode
	stopCtx, stop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer stop()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}
